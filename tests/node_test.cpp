// The whole node over loopback, against small peers that each test scripts. Time limits only end tests that
// hang.
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <string>
#include <thread>

#include "node/config.h"
#include "node/server.h"
#include "node_case.h"

namespace shorelead::node {
namespace {

TEST(Node, ForwardsARequestAndItsResponse) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(post("/unsafe/x?user=u1", "hello", "X-Timeout-Ms: 9000\r\nX-Custom: c\r\n"));
  Line there = backend.accept();
  const std::string request = there.request();
  EXPECT_EQ(request.rfind("POST /unsafe/x?user=u1 HTTP/1.1\r\n", 0), 0U) << request;
  EXPECT_TRUE(holds(request, "X-Request-ID: r"));
  EXPECT_TRUE(holds(request, "X-Custom: c\r\n"));
  EXPECT_TRUE(holds(request, "X-Timeout-Ms: "));
  EXPECT_FALSE(holds(request, "X-Timeout-Ms: 9000\r\n"));
  EXPECT_TRUE(request.ends_with("\r\n\r\nhello"));
  there.write(kOk);
  const std::string answer = client.answer();
  EXPECT_EQ(status_of(answer), "HTTP/1.1 200");
  EXPECT_TRUE(holds(answer, "X-Own: v\r\n"));
  EXPECT_TRUE(answer.ends_with("\r\n\r\nbody"));
}

// Routes determine the class by host, path, method and header fields; anything else gets a 404. A reload
// applies to requests that are read after it.
TEST(Node, RoutesDetermineTheClass) {
  const auto routes_to = [](const std::string& path, int request_class) {
    auto routes = std::make_shared<Routes>();
    std::vector<routing::Refusal> refusals;
    routes->table = routing::Table::compile({{"", path, {}, {}, 0}}, refusals);
    routes->routes.push_back({"r", "f:1", request_class});
    return routes;
  };
  Peer backend;
  Node node;
  node.know("s-1", backend);
  node.config.routes = routes_to("/a/{id}", 1);  // unsafe
  Config fresh = node.config;
  fresh.routes = routes_to("/b/*", 0);  // safe
  std::atomic<int> reads = 0;
  node.read_again = [&] {
    ++reads;
    return fresh;
  };
  node.start();
  Line client = node.client();
  client.write(get("/safe"));
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 404");
  client.write(get("/a/7"));
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 400");  // a GET does not fit an unsafe class
  client.write(post("/a/7", "x"));
  Line there = backend.accept();
  EXPECT_EQ(there.request().rfind("POST /a/7 HTTP/1.1\r\n", 0), 0U);
  ::kill(::getpid(), SIGHUP);  // while a request of the old routes is in progress
  while (reads == 0) std::this_thread::yield();
  there.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  client.write(get("/b/c/d"));
  EXPECT_TRUE(holds(there.request(), "GET /b/c/d"));
  there.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  client.write(post("/a/7", "x"));
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 404");
}

TEST(Node, KeepsBothConnectionsAndTheOrderOfRequests) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(get("/safe/1") + get("/safe/2") + get("/safe/3"));
  Line there = backend.accept();
  for (const char n : {'1', '2', '3'}) {
    const std::string request = there.request();
    EXPECT_TRUE(holds(request, std::string("/safe/") + n)) << request;
    there.write(std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n") + n);
    EXPECT_TRUE(client.answer().ends_with(std::string("\r\n\r\n") + n));
  }
}

TEST(Node, ForwardsChunkedBodiesBothWays) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(
      "POST /keyed HTTP/1.1\r\nHost: a\r\nX-Request-ID: r\r\nIdempotency-Key: k\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
  Line there = backend.accept();
  EXPECT_TRUE(there.request().ends_with("\r\n\r\nabc"));
  there.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  EXPECT_TRUE(client.answer().ends_with("\r\n\r\nok"));
}

// Rule "no effect twice": an unsafe request that was written completely is not sent again, however it ended.
TEST(Node, AnUnsafeRequestThatMayHaveRunIsNotRetried) {
  const std::vector<std::function<void(Line&)>> ends = {
      [](Line& there) { there.reset(); },
      [](Line& there) { there.close(); },
      [](Line& there) {  // a truncated 200
        there.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        there.close();
      },
      [](Line& there) { there.write("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"); },
      [](Line& there) { there.write("HTTP/1.1 503 Oops\r\nContent-Length: 0\r\n\r\n"); },
      [](Line& there) { there.write("not http\r\n\r\n"); },
  };
  for (const auto& end : ends) {
    Peer backend;
    Node node;
    node.know("s-1", backend);
    node.know("s-2", backend);
    node.start();
    Line client = node.client();
    client.write(post("/unsafe", "x"));
    Line there = backend.accept();
    there.request();
    end(there);
    EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 502");
  }
}

TEST(Node, AnUnsafeRequestThatCannotHaveRunIsRetried) {
  Peer dead;
  Peer backend;
  const std::string away = "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
  {
    Node node;  // rejected by the backend
    node.know("s-1", backend);
    node.know("s-2", backend);
    node.start();
    Line client = node.client();
    client.write(post("/unsafe", "x"));
    Line first = backend.accept();
    first.request();
    first.write(away);
    Line second = backend.accept();
    second.request();
    second.write(kOk);
    EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  }
  Node node;  // the connection is refused
  node.know("s-1", dead);
  node.know("s-2", backend);
  dead.close();
  node.start();
  for (int i = 0; i < 3; ++i) {
    Line client = node.client();
    client.write(post("/unsafe", "x", "Connection: close\r\n"));
    Line there = backend.accept();
    there.request();
    there.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  }
}

TEST(Node, RefusesAtOnceWithRetryAfterIfNoBackendIsLeft) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(get("/safe"));
  Line there = backend.accept();
  there.request();
  there.write("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
  const std::string answer = client.answer();
  EXPECT_EQ(status_of(answer), "HTTP/1.1 503");
  EXPECT_TRUE(holds(answer, "Retry-After: 0.600\r\n")) << answer;
}

// Guards against reusing a connection that the backend has closed, or on which it sent unexpected data: the
// request would end with a reset, after which it may have run.
TEST(Node, ClosedConnectionsAndThoseWithUnexpectedDataAreNotReused) {
  const std::vector<std::function<void(Line&)>> events = {
      [](Line& there) { there.close(); },
      [](Line& there) { there.reset(); },
      [](Line& there) { there.write("HTTP/1.1 408 Timeout\r\nContent-Length: 0\r\n\r\n"); },
  };
  for (const auto& event : events) {
    Served served;
    auto& [backend, node, client] = served;
    client.write(post("/unsafe/1", "x"));
    Line there = backend.accept();
    there.request();
    there.write(kOk);
    EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
    event(there);
    client.write(post("/unsafe/2", "x"));
    Line again = backend.accept();
    EXPECT_TRUE(holds(again.request(), "/unsafe/2"));
    again.write(kOk);
    EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  }
}

// After extra bytes behind a response, the start of the connection's next response could not be found.
TEST(Node, ExtraBytesAfterAResponseCloseItsConnection) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(get("/safe"));
  Line there = backend.accept();
  there.request();
  there.write(kOk + "more");
  EXPECT_TRUE(client.answer().ends_with("\r\n\r\nbody"));
  EXPECT_EQ(there.rest(), "");
}

TEST(Node, AClientThatDisconnectsCancelsItsAttempt) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(get("/safe"));
  Line there = backend.accept();
  there.request();
  client.close();
  EXPECT_EQ(there.rest(), "");  // closed by the node
}

TEST(Node, RefusesInvalidRequestsWithTheirStatus) {
  Peer backend;
  Node node;
  node.know("s-1", backend);
  node.start();
  const std::vector<std::pair<std::string, std::string>> cases = {
      {get("/unheard"), "404"},
      {get("/"), "404"},
      {get("/unsafe"), "400"},
      {post("/safe", "x"), "400"},
      {post("/unsafe", "x", "Idempotency-Key: k\r\n"), "400"},
      {post("/keyed", "x"), "400"},
      {get("/safe", "X-Timeout-Ms: soon\r\n"), "400"},
      {get("/safe", "X-Timeout-Ms: 0\r\n"), "400"},
      {get("/safe", "X-Timeout-Ms: -5\r\n"), "400"},
      {"GET /safe HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
      {post("/unsafe", "x", "Content-Length: 1\r\n"), "400"},
      {get("/safe", "X-Request-ID: r2\r\n"), "400"},
      {get("/safe", "X-Cost: much\r\n"), "400"},
      {get("/safe", "X-Cost: -1\r\n"), "400"},
      {get("/safe", "Content-Length: 1\r\n") + "x", "400"},
      {"GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: r\r\nContent-Length: 70000\r\n\r\n", "400"},
      {"POST /unsafe HTTP/1.1\r\nHost: a\r\nContent-Length: 99000000\r\n\r\n", "413"},
      {"GET /" + std::string(20000, 'a'), "431"},
  };
  for (const auto& [text, status] : cases) {
    Line client = node.client();
    client.write(text);
    const std::string answer = client.answer();
    EXPECT_EQ(status_of(answer), "HTTP/1.1 " + status) << text.substr(0, 200);
    if (status == "413" || status == "431") {
      EXPECT_TRUE(holds(answer, "Connection: close\r\n"));
      EXPECT_EQ(client.rest(), "");
    }
  }
}

TEST(Node, IsReadyOnceDiscoveryHasSentAList) {
  Peer backend;
  Node node;
  node.start();
  Line probe = node.client();
  const std::string ask = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
  probe.write(ask);
  EXPECT_EQ(status_of(probe.answer()), "HTTP/1.1 503");
  Line watch = node.discovery.accept();
  EXPECT_TRUE(holds(watch.request(), "GET /api/targets?watch=1&from=0 "));
  const std::string line = R"({"seq":7,"whole":true,"hosts":[{"host":"s-1","dial":")" + backend.dial() +
                           R"(","health":"ready"}]})"
                           "\n";
  watch.write(first_line(line));
  std::string answer;
  do {
    probe.write(ask);
    answer = probe.answer();
  } while (status_of(answer) == "HTTP/1.1 503");
  EXPECT_EQ(status_of(answer), "HTTP/1.1 200");
  // The list is used.
  Line client = node.client();
  client.write(get("/safe"));
  Line there = backend.accept();
  there.request();
  there.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  // After a broken watch, the next one continues from the last version.
  watch.reset();
  Line anew = node.discovery.accept();
  EXPECT_TRUE(holds(anew.request(), "from=7 "));
}

// Rule "drains are kept": idle connections to a draining backend are closed, and requests go to others.
TEST(Node, ADrainingBackendGetsNoNewRequests) {
  Peer leaving;
  Peer staying;
  Node node;
  node.know("s-1", leaving);
  node.start();
  Line watch = node.discovery.accept();
  watch.request();
  Line client = node.client();
  client.write(get("/safe/1"));
  Line there = leaving.accept();
  there.request();
  there.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  const std::string line = R"({"seq":7,"whole":false,"hosts":[{"host":"s-1","dial":")" + leaving.dial() +
                           R"(","health":"draining"},{"host":"s-2","dial":")" + staying.dial() +
                           R"(","health":"ready"}]})"
                           "\n";
  watch.write(first_line(line));
  EXPECT_EQ(there.rest(), "");  // closed by the node
  for (int i = 0; i < 3; ++i) {
    client.write(get("/safe/2", "Connection: keep-alive\r\n"));
    Line other = staying.accept();
    other.request();
    other.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  }
}

// Guards against running out of descriptors: idle clients are evicted so that new ones are served.
TEST(Node, IdleClientsAreEvictedForNewOnes) {
  Peer backend;
  Node node;
  node.know("s-1", backend);
  node.config.limits.sockets = 48;  // 16 connections beside the node's own
  node.start();
  const std::string ask = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
  std::vector<Line> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(node.client());
    clients.back().write(ask);
    EXPECT_FALSE(clients.back().answer().empty()) << i;
  }
  Line last = node.client();
  last.write(get("/safe"));
  Line there = backend.accept();
  there.request();
  there.write(kOk);
  const std::string answer = last.answer();
  EXPECT_EQ(status_of(answer), "HTTP/1.1 200");
  // When descriptors are short, the response announces the close, so that no request is lost.
  EXPECT_TRUE(holds(answer, "Connection: close\r\n"));
}

// Guards against being blocked by clients that connect and send nothing: they are evicted for others. While
// all silent clients are newer than `speak` a request is refused, so it is repeated with pauses until they
// are old enough; repeated without pauses, all attempts fell into that time on a busy machine.
TEST(Node, SilentClientsAreEvictedForNewOnes) {
  Peer backend;
  Node node;
  node.know("s-1", backend);
  node.config.limits.sockets = 48;  // 16 connections beside the node's own
  node.start();
  std::thread serving([&backend] {
    while (std::optional<Line> there = backend.accept_until_stopped()) {
      there->request();
      there->write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    }
  });
  std::vector<Line> silent;
  for (int i = 0; i < 40; ++i) silent.push_back(node.client());
  std::string status = "HTTP/1.1 503";
  for (int tries = 0; tries < 400 && status == "HTTP/1.1 503"; ++tries) {
    if (tries > 0) std::this_thread::sleep_for(std::chrono::milliseconds(20));
    Line last = node.client();
    last.write(get("/safe"));
    status = status_of(last.answer());
  }
  EXPECT_EQ(status, "HTTP/1.1 200");
  node.stop();
  EXPECT_GT(node.server->counters().evicted, 0U);
  backend.stop();
  serving.join();
}

// Guards against taking a different request for a repeat: the id of an open request does not reach a backend.
TEST(Node, TheIdOfAnOpenRequestIsRefused) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(get("/safe", "", "X-Request-ID: same\r\n"));
  Line there = backend.accept();
  there.request();
  Line other = node.client();
  for (int i = 0; i < 2; ++i) {
    other.write(get("/safe", "", "X-Request-ID: same\r\n"));
    EXPECT_EQ(status_of(other.answer()), "HTTP/1.1 409");
  }
  there.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  other.write(get("/safe", "", "X-Request-ID: same\r\n"));  // free again
  there.request();
  there.write(kOk);
  EXPECT_EQ(status_of(other.answer()), "HTTP/1.1 200");
}

// With more clients than descriptors, each gets a complete response, even if it is a refusal.
TEST(Node, EveryClientIsAnsweredWhenDescriptorsRunOut) {
  Peer backend;
  Node node;
  constexpr int kClients = 20;
  for (int i = 0; i < kClients; ++i)
    node.know("s-" + std::to_string(i), backend);  // so that none is overloaded
  node.config.limits.sockets = 48;                 // 16 connections beside the node's own
  node.start();
  std::thread serving([&backend] {
    while (std::optional<Line> there = backend.accept_until_stopped()) {
      there->request();
      there->write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    }
  });
  std::vector<Line> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(node.client());
    clients.back().write(get("/safe"));
  }
  int served = 0;
  for (Line& client : clients) {
    const std::string status = status_of(client.answer());
    EXPECT_TRUE(status == "HTTP/1.1 200" || status == "HTTP/1.1 503") << status;
    served += status == "HTTP/1.1 200";
  }
  EXPECT_GT(served, 0);
  backend.stop();
  serving.join();
}

// Guards against a spinning reactor: POCO keeps polling for a removed write observer.
TEST(Node, DoesNotWakeUpWhileIdle) {
  Node node;
  node.config.settings.list_on_request = false;
  node.start();
  Line watch = node.discovery.accept();  // nothing is sent in either direction
  watch.request();
  const std::string ask = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
  Line probe = node.client();
  for (int i = 0; i < 5; ++i) {
    probe.write(ask);
    probe.answer();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  node.stop();
  EXPECT_LT(node.loop->wakeups(), 1000U);  // a spinning reactor makes some hundred thousand
}

// On SIGHUP the watch moves to the new address of discovery and continues from the last version; the list and
// requests in progress stay. An invalid configuration changes nothing.
TEST(Node, AReloadMovesTheWatchAndKeepsRequestsInProgress) {
  Peer backend;
  Peer elsewhere;
  Node node;
  node.know("s-1", backend);
  node.config.known.version = 7;
  Config next = node.config;
  next.discovery = Poco::Net::SocketAddress("127.0.0.1", elsewhere.port());
  int reads = 0;
  node.read_again = [&] {
    if (++reads == 1) throw FieldError("broken on purpose");
    return next;
  };
  node.start();
  Line watch = node.discovery.accept();
  watch.request();
  Line client = node.client();
  client.write(get("/safe/1"));
  Line there = backend.accept();
  there.request();
  ::kill(::getpid(), SIGHUP);
  const std::string line = R"({"seq":9,"whole":false,"hosts":[]})"
                           "\n";
  watch.write(first_line(line));  // the old watch still works after the invalid file
  Line probe = node.client();
  do {
    probe.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  } while (status_of(probe.answer()) == "HTTP/1.1 503");
  ::kill(::getpid(), SIGHUP);
  Line moved = elsewhere.accept();
  EXPECT_TRUE(holds(moved.request(), "GET /api/targets?watch=1&from=9 "));
  EXPECT_EQ(watch.rest(), "");  // closed by the node
  there.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  client.write(get("/safe/2"));
  there.request();  // on the same connection
  there.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  EXPECT_EQ(reads, 2);
}

// On SIGTERM the node is not ready, but serves new clients, closes each connection, and then ends.
TEST(Node, ServesClientsDuringTheShutdown) {
  Peer backend;
  Node node;
  node.know("s-1", backend);
  node.timeouts.accept_on = 3000;  // ample for the steps below on a slow machine
  node.start();
  Line busy = node.client();
  busy.write(get("/safe/1"));
  Line there = backend.accept();
  there.request();
  ::kill(::getpid(), SIGTERM);
  Line probe = node.client();
  std::string answer;
  do {
    probe = node.client();
    probe.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    answer = probe.answer();
  } while (!holds(answer, "Connection: close\r\n"));
  EXPECT_EQ(status_of(answer), "HTTP/1.1 503");
  Line late = node.client();
  late.write(get("/safe/2"));
  Line second = backend.accept();
  second.request();
  second.write(kOk);
  answer = late.answer();
  EXPECT_EQ(status_of(answer), "HTTP/1.1 200");
  EXPECT_TRUE(holds(answer, "Connection: close\r\n"));
  EXPECT_EQ(late.rest(), "");
  there.write(kOk);
  EXPECT_EQ(status_of(busy.answer()), "HTTP/1.1 200");
  busy.close();
  late.close();
  probe.close();
  node.thread.join();  // the process ends by itself
}

}  // namespace
}  // namespace shorelead::node
