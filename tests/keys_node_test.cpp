// Nodes with affinity rules: two servers with a simulated registry and backends that answer with their names.
// The test waits for states, never for a time.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>

#include "fleet/fleet_bench.h"
#include "keys_backends.h"
#include "node/language_binding.h"
#include "node/server.h"

namespace shorelead::node {
namespace {

struct Fleet {
  Fleet() {
    for (const char* const name : {"a", "b", "c", "d"})
      backends.push_back(std::make_unique<Backend>(name, record));
  }

  // Sets a value of the next configuration file, which the nodes' threads read.
  void set(std::string Fleet::*setting, const std::string& value) {
    const std::lock_guard lock(mutex);
    this->*setting = value;
  }
  Config config_of(const std::string& name) {
    const std::lock_guard lock(mutex);
    std::string text =
        "node " + name +
        " { listen 127.0.0.1:1; seed 1f; sockets 256 }\n"
        "class look { effect safe; aim 500 ms; give_up 1 s }\n"
        "class rather { effect safe; aim 500 ms; give_up 1 s }\n"
        "shared usual { probing no; attempts 3; connect_within 500 ms; idle 60 s; advise_wait 600 ms\n"
        "  cold { share 100 %; warm_up 1 s; fall_multiple 3; fall_span 1 s } }\n"
        "pool main { use usual;";
    for (const auto& backend : backends)
      text += " box " + backend->name + " { dial " + backend->peer.dial() + " }";
    text +=
        " }\n"
        "route looks { path /look/*; class look; pool main }\n"
        "route rathers { path /rather/*; class rather; pool main }\n"
        "fleet { store 127.0.0.1:1; prefix \"/fleet/\"; processes 4; lease 1 s }\n"
        "affinity baskets { when \"class = look\"; key header X-Basket; to box; must yes; slots 64; wait " +
        wait +
        " }\n"
        "affinity others { when \"class = rather\"; key header X-Basket; to box; must no; slots 64 }\n";
    language::Reader reader;
    reader.read = [&text](const std::string&) { return std::optional(text); };
    reader.glob = [](const std::string& path) { return std::vector{path}; };
    Config config = load_shore("t.shore", {}, reader);
    config.listen = Poco::Net::SocketAddress("127.0.0.1", 0);
    config.shared->store = store.spec().endpoints;
    config.shared->sharing.plan_every = 50;
    config.shared->sharing.margin = 20;
    for (PoolConfig& pool : config.pools) {
      pool.host.settle = 0;
      for (ListedBackend& backend : pool.known.backends)
        backend.health = draining == backend.host ? "draining" : "ready";
    }
    return config;
  }

  KeyRecord record;
  std::vector<std::unique_ptr<Backend>> backends;
  fleet::StandIn store;
  std::mutex mutex;
  std::string draining, wait = "1 s";
};

class Node {
 public:
  Node(Fleet& fleet, const std::string& name) : fleet_(fleet), name_(name), config_(fleet.config_of(name)) {
    loop_ = std::make_unique<Loop>();
    server_ = std::make_unique<Server>(*loop_, config_);
    loop_->on_signals([this](int signal) {
      if (signal == SIGHUP) server_->reload([this] { return fleet_.config_of(name_); });
      generation_ = static_cast<int>(server_->generation());
      ++signals_;
    });
    port_ = server_->port();
    server_->open();
    thread_ = std::thread([this] { loop_->run(); });
  }
  ~Node() {
    loop_->stop();
    thread_.join();
    server_.reset();
  }
  void reload() { signal(SIGHUP); }
  int generation() {
    signal(SIGUSR1);
    return generation_;
  }

  // The backend that answered, or the status where none did.
  std::string ask(const std::string& path, const std::string& key) const {
    static int last = 0;
    Line line = Line::connect(port_);
    line.write("GET " + path + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: r" + std::to_string(++last) +
               "\r\nX-Basket: " + key + "\r\nConnection: close\r\n\r\n");
    const std::string answer = line.answer();
    const std::size_t at = answer.find("X-Box: ");
    return at == std::string::npos ? answer.substr(9, 3) : answer.substr(at + 7, 1);
  }

 private:
  void signal(int number) {
    const int before = signals_;
    ::pthread_kill(thread_.native_handle(), number);
    while (signals_ == before) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

  Fleet& fleet_;
  const std::string name_;
  const Config config_;
  std::unique_ptr<Loop> loop_;
  std::unique_ptr<Server> server_;
  unsigned short port_ = 0;
  std::atomic<int> signals_ = 0;
  std::atomic<int> generation_ = 0;
  std::thread thread_;
};

std::vector<std::string> keys() {
  std::vector<std::string> keys;
  for (int n = 10; n < 34; ++n) keys.push_back(std::to_string(n));
  return keys;
}

// The backend of each key, once all keys have one.
std::map<std::string, std::string> whole_map(const Node& node, const std::string& path = "/look/1") {
  std::map<std::string, std::string> map;
  while (map.size() < keys().size()) {
    for (const std::string& key : keys()) {
      const std::string at = node.ask(path, key);
      if (at.size() == 1) map[key] = at;
    }
  }
  return map;
}

template <typename Until>
void wait_for(const Until& until) {
  while (!until()) std::this_thread::sleep_for(std::chrono::milliseconds(10));
}

TEST(KeysNode, AKeyHasOneBackendInAllProcessesOverRestartDrainAndStoreOutage) {
  Fleet fleet;
  auto one = std::make_unique<Node>(fleet, "one");
  Node two(fleet, "two");
  const auto map = whole_map(*one);
  EXPECT_EQ(whole_map(two), map);
  std::set<std::string> in_use;
  for (const auto& [key, backend] : map) in_use.insert(backend);
  EXPECT_EQ(in_use.size(), fleet.backends.size());

  // A process that restarts moves no key.
  one.reset();
  EXPECT_EQ(whole_map(two), map);
  one = std::make_unique<Node>(fleet, "one");
  EXPECT_EQ(whole_map(*one), map);

  // One backend drains: its keys move once, and no others move.
  fleet.set(&Fleet::draining, "b");
  one->reload();
  two.reload();
  std::map<std::string, std::string> moved;
  wait_for([&] {
    moved = whole_map(*one);
    return std::none_of(moved.begin(), moved.end(), [](const auto& at) { return at.second == "b"; });
  });
  EXPECT_EQ(whole_map(two), moved);
  for (const auto& [key, backend] : map) {
    if (backend != "b") {
      EXPECT_EQ(moved[key], backend);
    }
  }
  for (const auto& [key, met] : fleet.record.all())
    EXPECT_LE(met.size(), map.at(key) == "b" ? 2U : 1U) << key;

  // Without the store, keys have no backend once the lease has expired. Requests for which the affinity is
  // only a preference go on.
  fleet.store.with([](lab::EtcdServer& server) { server.down(true); });
  wait_for([&] { return two.ask("/look/1", "10") == "503"; });
  for (const std::string& key : keys()) {
    EXPECT_EQ(two.ask("/look/1", key), "503");
    EXPECT_EQ(two.ask("/rather/1", key).size(), 1U);
  }
  fleet.store.with([](lab::EtcdServer& server) { server.down(false); });
  EXPECT_EQ(whole_map(two), moved);
}

// A new fleet admission has its plan before requests use it, and the previous one keeps the requests in
// flight.
TEST(KeysNode, AReloadOfSharedSettingsRefusesNoKeyAndMovesNone) {
  Fleet fleet;
  Node one(fleet, "one");
  const auto map = whole_map(one);
  for (const char* const wait : {"900 ms", "800 ms"}) {
    const int before = one.generation();
    fleet.set(&Fleet::wait, wait);
    one.reload();
    while (one.generation() == before) {
      for (const auto& [key, backend] : map) EXPECT_EQ(one.ask("/look/1", key), backend);
    }
    for (const auto& [key, backend] : map) EXPECT_EQ(one.ask("/look/1", key), backend);
  }
}

}  // namespace
}  // namespace shorelead::node
