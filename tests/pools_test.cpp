// A node with several pools from a .shore file, over loopback against peers that the test scripts: where
// requests go, and what a reload must not change.
#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "node/language_binding.h"
#include "node/server.h"
#include "peer.h"

namespace shorelead::node {
namespace {

const std::string kHead =
    "node n0 { listen 127.0.0.1:1; seed 1f; sockets 256 }\n"
    "class look { effect safe; aim 15 s; give_up 20 s }\n"
    "class check { effect keyed; window 10 s; aim 15 s; give_up 20 s }\n"
    "class charge { effect unsafe; aim 15 s; give_up 20 s }\n"
    "shared usual { probing no; attempts 5; connect_within 10 s; idle 60 s; advise_wait 600 ms\n"
    "  cold { share 100 %; warm_up 1 s; fall_multiple 3; fall_span 1 s } }\n";

std::string pool(const std::string& name, const std::string& rest) {
  return "pool " + name + " { use usual; " + rest + " }\n";
}
std::string backend(const Peer& peer, const std::string& rest = "") {
  return "box s-" + std::to_string(peer.port()) + " { dial " + peer.dial() + " " + rest + "}";
}
std::string route(const std::string& name, const std::string& to) {
  return "route " + name + " { path /" + name + "/*; class " + name + "; " + to + " }\n";
}
Config read(const std::string& text) {
  language::Reader reader;
  reader.read = [&text](const std::string&) { return std::optional(text); };
  reader.glob = [](const std::string& path) { return std::vector{path}; };
  Config config = load_shore("t.shore", {}, reader);
  config.listen = Poco::Net::SocketAddress("127.0.0.1", 0);
  for (PoolConfig& one : config.pools) one.host.settle = 0;  // tests send again at once
  return config;
}

class Node {
 public:
  explicit Node(const std::string& text) : config(read(text)) {
    server = std::make_unique<Server>(*loop, config);
    loop->on_signals([this](int signal) {
      if (signal == SIGHUP) server->reload([this] { return read(next); });
      pools = static_cast<int>(server->pools());
      generation = static_cast<int>(server->generation());
      ++signals;
    });
    server->open();
    thread = std::thread([this] { loop->run(); });
  }
  ~Node() {
    loop->stop();
    thread.join();
  }

  // Returns once the node has read the file; loading of lists may still go on.
  void reload(const std::string& text) {
    next = text;
    tell(SIGHUP);
  }
  void tell(int signal) {
    const int before = signals;
    ::kill(::getpid(), signal);
    while (signals == before) std::this_thread::yield();
  }
  bool comes_to(int wanted_pools, int wanted_generation) {
    for (int n = 0; n < 2000; ++n) {
      tell(SIGUSR1);
      if (pools == wanted_pools && generation == wanted_generation) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }
  Line client() const { return Line::connect(server->port()); }

  const Config config;
  std::string next;
  std::unique_ptr<Loop> loop = std::make_unique<Loop>();
  std::unique_ptr<Server> server;
  std::atomic<int> signals = 0;
  std::atomic<int> pools = 0;
  std::atomic<int> generation = 0;
  std::thread thread;
};

std::string ask(const std::string& method, const std::string& path, const std::string& fields = "") {
  static int last = 0;
  return method + " " + path + " HTTP/1.1\r\nHost: a\r\nX-Request-ID: p" + std::to_string(++last) + "\r\n" +
         fields + (method == "POST" ? "Content-Length: 0\r\n\r\n" : "\r\n");
}
const std::string kKey = "Idempotency-Key: k\r\n";
const std::string kAgain = kKey + "X-Retried: 1\r\n";
const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::string status(Line& client) { return client.answer().substr(9, 3); }

// Sends a request through to that peer, which accepts a connection for it, and its response back.
Line first(Line& client, const std::string& text, Peer& peer) {
  client.write(text);
  Line there = peer.accept();
  EXPECT_FALSE(there.request().empty());
  there.write(kOk);
  EXPECT_EQ(status(client), "200");
  return there;
}

// Sends a request through to that peer and its response back; the caller keeps the connection to the peer.
void pass(Line& client, const std::string& text, Line& there) {
  client.write(text);
  EXPECT_FALSE(there.request().empty());
  there.write(kOk);
  EXPECT_EQ(status(client), "200");
}

// A reload must not touch requests in progress: one accepted under the old generation ends there, once,
// though its pool is gone from the file; the next goes to the new pool; and the old pool ends.
TEST(Pools, RequestEndsUnderTheGenerationThatReadIt) {
  Peer old;
  Peer fresh;
  Node node(kHead + pool("a", backend(old)) + route("charge", "pool a"));
  Line client = node.client();
  client.write(ask("POST", "/charge/1"));
  Line there = old.accept();
  ASSERT_FALSE(there.request().empty());
  node.reload(kHead + pool("b", backend(fresh)) + route("charge", "pool b"));
  Line other = node.client();
  other.write(ask("POST", "/charge/2"));
  Line at_fresh = fresh.accept();
  ASSERT_FALSE(at_fresh.request().empty());
  EXPECT_EQ(node.pools, 2);
  there.write(kOk);
  EXPECT_EQ(status(client), "200");
  at_fresh.write(kOk);
  EXPECT_EQ(status(other), "200");
  EXPECT_TRUE(node.comes_to(2, 2));  // the class check keeps generation 1 for its window of 10 s
}

// The same with a backend that fails during the request after its pool was removed: it may have run, so it is
// answered as failed and no backend of the new pool sees it.
TEST(Pools, UnsafeRequestOfARemovedPoolIsNotSentElsewhere) {
  Peer old;
  Peer fresh;
  Node node(kHead + pool("a", backend(old)) + route("charge", "pool a"));
  Line client = node.client();
  client.write(ask("POST", "/charge/1"));
  Line there = old.accept();
  ASSERT_FALSE(there.request().empty());
  node.reload(kHead + pool("b", backend(fresh)) + route("charge", "pool b"));
  there.reset();
  EXPECT_EQ(status(client), "502");
  Line other = node.client();
  other.write(ask("POST", "/charge/2"));
  Line at_fresh = fresh.accept();
  const std::string first = at_fresh.request();
  EXPECT_NE(first.find("/charge/2"), std::string::npos) << first;
  at_fresh.write(kOk);
  EXPECT_EQ(status(other), "200");
}

// Without keyed classes nothing keeps an old generation: its pool ends as soon as it has no requests.
TEST(Pools, RemovedPoolWithoutRequestsEnds) {
  Peer old;
  Peer fresh;
  std::string head = kHead;
  head.erase(head.find("class check"), head.find("class charge") - head.find("class check"));
  Node node(head + pool("a", backend(old)) + route("charge", "pool a"));
  node.reload(head + pool("b", backend(fresh)) + route("charge", "pool b"));
  EXPECT_TRUE(node.comes_to(1, 2));
}

// A pool whose definition is unchanged keeps what it has learned and its connections, even if it is renamed:
// the old connection carries the next request.
TEST(Pools, UnchangedPoolKeepsItsConnectionsAcrossReloadAndRename) {
  Peer a;
  Peer b;
  const std::string pools = pool("a", backend(a)) + pool("b", backend(b));
  Node node(kHead + pools + route("look", "pool a") + route("charge", "pool b"));
  Line client = node.client();
  Line there = first(client, ask("GET", "/look/1"), a);
  node.reload(kHead + pool("renamed", backend(a)) + pool("b", backend(b) + "; attempts 2") +
              route("look", "pool renamed") + route("charge", "pool b"));
  pass(client, ask("GET", "/look/2"), there);
  // The class of the other pool changes, which does not matter here.
  std::string head = kHead;
  head.replace(head.find("charge { effect unsafe; aim 15 s"), 32, "charge { effect unsafe; aim 14 s");
  node.reload(head + pool("renamed", backend(a)) + pool("b", backend(b)) + route("look", "pool renamed") +
              route("charge", "pool b"));
  pass(client, ask("GET", "/look/3"), there);
}

// A backend that the file now lists as draining gets nothing new, and the pool goes on.
TEST(Pools, ReloadedFileDrainsABackend) {
  Peer a;
  Peer b;
  Node node(kHead + pool("a", backend(a)) + route("look", "pool a"));
  Line client = node.client();
  client.write(ask("GET", "/look/1"));
  Line there = a.accept();
  ASSERT_FALSE(there.request().empty());
  node.reload(kHead + pool("a", backend(a, "; draining yes ") + "; " + backend(b)) + route("look", "pool a"));
  for (int n = 0; n < 3; ++n) {
    Line other = node.client();
    other.write(ask("GET", "/look/2"));
    Line at_b = b.accept();
    EXPECT_FALSE(at_b.request().empty());
    at_b.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(status(other), "200");
  }
  there.write(kOk);  // its request completes
  EXPECT_EQ(status(client), "200");
}

// Requests that the old generation could serve must not be refused: a pool without a list is waited for.
TEST(Pools, NewGenerationWaitsForTheListsOfItsPools) {
  Peer a;
  Peer discovery;
  Peer b;
  Node node(kHead + pool("a", backend(a)) + route("look", "pool a"));
  Line client = node.client();
  Line there = first(client, ask("GET", "/look/1"), a);
  node.reload(kHead + pool("b", "discovery " + discovery.dial()) + route("look", "pool b"));
  Line watch = discovery.accept();
  watch.request();
  pass(client, ask("GET", "/look/2"), there);
  const std::string line = "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"s-9\",\"dial\":\"" + b.dial() +
                           "\",\"health\":\"ready\"}]}\n";
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", line.size());
  watch.write(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + size.data() + line +
              "\r\n");
  EXPECT_TRUE(node.comes_to(2, 2));
  Line at_b = first(client, ask("GET", "/look/3"), b);
}

// An invalid file changes nothing, and requests go on.
TEST(Pools, InvalidFileChangesNothing) {
  Peer a;
  Node node(kHead + pool("a", backend(a)) + route("look", "pool a"));
  node.reload(kHead + pool("a", backend(a)) + route("look", "pool nobody"));
  EXPECT_EQ(node.generation, 1);
  Line client = node.client();
  Line there = first(client, ask("GET", "/look/1"), a);
}

// The same if the mistake shows only when a pool is created: TLS keys that cannot be read.
TEST(Pools, UnusableTlsKeysChangeNothing) {
  Peer a;
  Node node(kHead + pool("a", backend(a)) + route("look", "pool a"));
  node.reload(kHead + pool("b", "registry { endpoints 127.0.0.1:1; prefix /b/; ca /nowhere/ca.pem }") +
              route("look", "pool b"));
  EXPECT_EQ(node.generation, 1);
  EXPECT_EQ(node.pools, 1);
  Line client = node.client();
  Line there = first(client, ask("GET", "/look/1"), a);
}

// The fallback serves for a pool without ready backends, and new keys, but no client's repeat of a keyed
// request, whose first try may have run in its own pool, which knows the key.
TEST(Pools, FallbackPoolServesNewKeysButNoRepeats) {
  Peer away;
  Peer spare;
  Node node(kHead + pool("a", backend(away, "; draining yes ") + "; fallback b") + pool("b", backend(spare)) +
            route("check", "pool a"));
  Line client = node.client();
  Line there = first(client, ask("POST", "/check/1", kKey), spare);
  client.write(ask("POST", "/check/2", kAgain));
  EXPECT_EQ(status(client), "503");
  // What the spare sees next is the next new one.
  client.write(ask("POST", "/check/3", "Idempotency-Key: other\r\n"));
  EXPECT_NE(there.request().find("/check/3"), std::string::npos);
  there.write(kOk);
  EXPECT_EQ(status(client), "200");
}

// The same when the pool's last ready backend goes and comes back: a count wrong by one drain would keep
// requests at the fallback.
TEST(Pools, FallbackPoolServesOnlyWhileNoBackendIsReady) {
  Peer a;
  Peer spare;
  const auto text = [&](const std::string& drains) {
    return kHead + pool("a", backend(a, drains) + "; fallback b") + pool("b", backend(spare)) +
           route("look", "pool a");
  };
  Node node(text(""));
  const auto goes_to = [&](Peer& peer) {
    Line client = node.client();
    client.write(ask("GET", "/look/1"));
    Line there = peer.accept();
    EXPECT_FALSE(there.request().empty());
    there.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(status(client), "200");
  };
  for (int n = 0; n < 2; ++n) {
    goes_to(a);
    node.reload(text("; draining yes "));
    goes_to(spare);
    node.reload(text(""));
  }
}

// A key must not run in two pools: after a swap a client's repeat goes where its first try went, for the
// window; new requests go by the new generation.
TEST(Pools, RepeatAfterASwapGoesToThePoolOfTheFirstTry) {
  Peer a;
  Peer b;
  const std::string pools = pool("a", backend(a)) + pool("b", backend(b));
  Node node(kHead + pools + route("check", "pool a") + route("look", "pool b"));
  Line client = node.client();
  client.write(ask("POST", "/check/1", kKey));
  Line at_a = a.accept();
  ASSERT_FALSE(at_a.request().empty());
  node.reload(kHead + pools + route("check", "pool b") + route("look", "pool a"));
  client.close();  // the client gives up and tries again
  Line again = node.client();
  Line repeat = first(again, ask("POST", "/check/1", kAgain), a);
  Line at_b = first(again, ask("POST", "/check/2", "Idempotency-Key: other\r\n"), b);
}

// A node that starts while its registry is down serves from the saved list.
TEST(Pools, StartsFromTheSavedListWhileTheRegistryIsDown) {
  Peer a;
  Peer nobody;
  const std::string away = nobody.dial();
  nobody.close();
  const std::string path = testing::TempDir() + "/shorelead-kept-" + std::to_string(::getpid());
  membership::Member kept;
  kept.host = "s-1";
  kept.dial = a.dial();
  kept.health = "ready";
  ASSERT_FALSE(membership::store_saved_list(path, membership::saved_list_text({kept}, 1000)));
  Node node(kHead + pool("a", "registry { endpoints " + away + "; prefix \"/b/\" }; keep \"" + path + "\"") +
            route("look", "pool a"));
  Line client = node.client();
  Line there = first(client, ask("GET", "/look/1"), a);
  ::unlink(path.c_str());
}

// A client keeps its side of a split, by the header's value, across connections and reloads.
TEST(Pools, SplitKeepsItsClients) {
  Peer a;
  Peer b;
  const auto text = [&](int part) {
    return kHead + pool("a", backend(a)) + pool("b", backend(b)) +
           route("look", "split a " + std::to_string(100 - part) + " %; split b " + std::to_string(part) +
                             " %; by X-Client-ID");
  };
  Node node(text(30));
  std::atomic<bool> over = false;
  const auto serve = [&over](Peer& peer, std::atomic<int>& count) {
    return std::thread([&] {
      while (std::optional<Line> there = peer.accept_until_stopped()) {
        if (over || there->request().empty()) continue;
        ++count;
        there->write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
      }
    });
  };
  std::atomic<int> to_a = 0;
  std::atomic<int> to_b = 0;
  std::thread serving_a = serve(a, to_a);
  std::thread serving_b = serve(b, to_b);
  Line client = node.client();
  const auto goes_to_b = [&](int n) {
    const int before = to_b;
    client.write(ask("GET", "/look/1", "X-Client-ID: c" + std::to_string(n) + "\r\n"));
    EXPECT_EQ(status(client), "200");
    return to_b > before;
  };
  std::vector<bool> side;
  for (int n = 0; n < 40; ++n) side.push_back(goes_to_b(n));
  EXPECT_GT(std::count(side.begin(), side.end(), true), 3);
  EXPECT_GT(std::count(side.begin(), side.end(), false), 12);
  node.reload(text(60));
  for (int n = 0; n < 40; ++n) {
    const bool now = goes_to_b(n);
    EXPECT_TRUE(now || !side[static_cast<std::size_t>(n)]) << n;  // clients on the growing side stay there
  }
  over = true;
  a.stop();
  b.stop();
  serving_a.join();
  serving_b.join();
}

}  // namespace
}  // namespace shorelead::node
