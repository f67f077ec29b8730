// What a node does when lists arrive at the same time as requests, a new configuration or its start. The test
// scripts discovery.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <cstdio>

#include "node_case.h"

namespace shorelead::node {
namespace {

std::string host(const std::string& id, const Peer& peer, const std::string& health = "ready") {
  return R"({"host":")" + id + R"(","dial":")" + peer.dial() + R"(","health":")" + health + R"("})";
}

std::string list(int version, bool whole, const std::string& hosts) {
  return R"({"seq":)" + std::to_string(version) + R"(,"whole":)" + (whole ? "true" : "false") +
         R"(,"hosts":[)" + hosts + "]}\n";
}

std::string ask_ready(Line& probe) {
  probe.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  return status_of(probe.answer());
}

void wait_ready(Line& probe) {
  const auto hangs = std::chrono::steady_clock::now() + std::chrono::seconds(kHangSeconds);
  while (ask_ready(probe) != "HTTP/1.1 200") {
    if (std::chrono::steady_clock::now() > hangs) FAIL() << "never ready";
  }
}

// Serves `count` requests at the only backend that may receive any.
void served_by(Line& client, Line& there, int count) {
  for (int n = 0; n < count; ++n) {
    client.write(get("/safe"));
    ASSERT_FALSE(there.request().empty()) << n;
    there.write(kOk);
    ASSERT_EQ(status_of(client.answer()), "HTTP/1.1 200") << n;
  }
}

// A backend that a whole list does not name is gone even if it still answers, and its connection is closed.
TEST(ListCrossings, BackendMissingInTheFirstWholeListGetsNothingNew) {
  Peer gone;
  Peer stays;
  Node node;
  node.know("s-gone", gone);
  node.timeouts.list = 0;
  node.start();
  Line client = node.client();
  client.write(get("/safe"));
  Line kept = gone.accept();
  kept.request();
  kept.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  Line watch = node.discovery.accept();
  watch.request();
  watch.write(first_line(list(8, true, host("s-stays", stays))));
  EXPECT_EQ(kept.rest(), "") << "closed by the node with nothing more on it";
  client.write(get("/safe"));
  Line there = stays.accept();
  EXPECT_FALSE(there.request().empty());
  there.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  served_by(client, there, 20);
}

// SIGHUP while the old discovery is in the middle of a response; the new one reports drains right after.
TEST(ListCrossings, DiscoveryChangeDuringAResponseAppliesTheNewDrains) {
  Peer drains;
  Peer stays;
  Peer elsewhere;
  Node node;
  node.know("s-1", drains);
  node.know("s-2", stays);
  node.config.known.version = 7;
  Config next = node.config;
  next.discovery = Poco::Net::SocketAddress("127.0.0.1", elsewhere.port());
  node.read_again = [&] { return next; };
  node.timeouts.list = 0;
  node.start();
  Line client = node.client();
  Line watch = node.discovery.accept();
  watch.request();
  const std::string old = first_line(list(8, true, host("s-1", drains)));  // without s-2
  watch.write(old.substr(0, old.size() / 2));
  ::kill(::getpid(), SIGHUP);
  Line moved = elsewhere.accept();
  EXPECT_TRUE(holds(moved.request(), "from=7 "));
  EXPECT_EQ(watch.rest(), "") << "left by the node";
  moved.write(first_line(list(9, false, host("s-1", drains, "draining"))));
  Line probe = node.client();
  wait_ready(probe);
  client.write(get("/safe"));
  Line there = stays.accept();
  there.request();
  there.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  served_by(client, there, 20);
}

// A reload that changes no address, or whose file is invalid, leaves a call in progress alone.
TEST(ListCrossings, ReloadDuringACallLeavesItOpen) {
  Peer backend;
  Node node;
  node.know("s-1", backend);
  std::atomic<int> reads{0};
  node.read_again = [&] {
    if (++reads == 1) throw FieldError("broken on purpose");
    return node.config;
  };
  node.start();
  Line watch = node.discovery.accept();
  watch.request();
  const std::string answer = first_line(list(8, true, host("s-1", backend)));
  watch.write(answer.substr(0, answer.size() / 2));
  Line probe = node.client();
  for (int read = 1; read <= 2; ++read) {
    ::kill(::getpid(), SIGHUP);
    while (reads < read) ask_ready(probe);
  }
  watch.write(answer.substr(answer.size() / 2));
  wait_ready(probe);
  watch.reset();
  Line anew = node.discovery.accept();
  EXPECT_TRUE(holds(anew.request(), "from=8 ")) << "the list counted";
}

// A new process where lists are pushed; it may have stored a list with one backend.
struct Pushed {
  Pushed() {
    node.know("s-1", backend);
    node.config.settings.list_on_request = false;
    node.timeouts.list = 0;
    node.timeouts.pushed_list = 1e9;
  }
  Line start() {
    node.start();
    return node.client();
  }
  Peer backend;
  Node node;
};

// While discovery is down it receives no changes, so none can bind: the stored list may be used.
TEST(ListCrossings, UnreachableDiscoveryLeavesTheStoredListInUse) {
  for (const bool refused : {true, false}) {
    Pushed p;
    if (refused) p.node.discovery.close();
    Line probe = p.start();
    if (!refused) {
      Line watch = p.node.discovery.accept();
      watch.request();
      EXPECT_EQ(ask_ready(probe), "HTTP/1.1 503") << "an answer may come";
      watch.reset();
    }
    wait_ready(probe);
  }
}

// But if discovery responds, in whatever way, its list counts and is waited for.
TEST(ListCrossings, ReachableDiscoveryIsWaitedFor) {
  const std::string news = first_line(list(8, true, ""));
  const std::string answers[] = {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
                                 news.substr(0, news.size() - 9)};
  for (const std::string& answer : answers) {
    Pushed p;
    Line probe = p.start();
    Line none = p.node.discovery.accept();
    none.request();
    none.reset();
    Line watch = p.node.discovery.accept();
    watch.request();
    watch.write(answer);
    if (answer != answers[1]) {
      EXPECT_EQ(watch.rest(), "");  // the node has read it
    }
    Line again = p.node.client();
    for (int turn = 0; turn < 50; ++turn) ask_ready(again);
    EXPECT_EQ(ask_ready(again), "HTTP/1.1 503");
  }
}

// With the real timeouts, in real time; each figure is printed.
TEST(ListCrossings, NodeIsReadyInTimeWhateverDiscoveryDoes) {
  enum class Does { kRefuses, kSaysNothing, kTurnsAway, kBegins };
  const char* const names[] = {"refuses calls", "says nothing", "turns calls away", "begins an answer"};
  for (const bool pushed : {false, true}) {
    for (const Does does : {Does::kRefuses, Does::kSaysNothing, Does::kTurnsAway, Does::kBegins}) {
      Peer backend;
      Node node;
      node.know("s-1", backend);
      node.config.settings.list_on_request = !pushed;
      const auto begun = std::chrono::steady_clock::now();
      if (does == Does::kRefuses) node.discovery.close();
      std::thread discovery([&] {
        std::vector<Line> lines;
        while (does != Does::kRefuses) {
          auto line = node.discovery.accept_until_stopped();
          if (!line) return;
          if (does == Does::kTurnsAway) line->write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
          if (does == Does::kBegins)
            line->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{");
          lines.push_back(std::move(*line));
        }
      });
      node.start();
      Line probe = node.client();
      wait_ready(probe);
      const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
      std::printf("measured: lists %s, discovery %s: ready after %.2f s\n", pushed ? "pushed" : "asked",
                  names[static_cast<int>(does)], took.count());
      EXPECT_LT(took.count(), 6) << pushed << names[static_cast<int>(does)];
      node.discovery.stop();
      discovery.join();
    }
  }
}

}  // namespace
}  // namespace shorelead::node
