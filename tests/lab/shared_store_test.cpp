// The store that nodes share, each by a way of its own, spoken to as etcd v3's JSON gateway: who is cut off
// from what, what the store does meanwhile, and when the planner is to be killed.
#include "lab/shared_store.h"

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <sstream>

#include "lab/dial.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

struct Bench {
  Bench() {
    experiment.nodes.count = 2;
    experiment.store.there = true;
    experiment.store.members = 2;
    store.emplace(context, experiment);
  }

  template <typename Until>
  void run(const Until& until) {
    while (!until()) context.run_one_for(std::chrono::milliseconds(10));
  }

  // Puts a key by a node's way, to its first member; the connection on which the answer comes.
  tcp::socket put(int node, const std::string& key, const std::string& value) {
    const std::string body =
        "{\"key\":\"" + etcd::to_base64(key) + "\",\"value\":\"" + etcd::to_base64(value) + "\"}";
    std::istringstream members(store->dial(node));
    std::string member;
    members >> member;
    tcp::socket socket(context);
    socket.connect(endpoint_of(member));
    const std::string text =
        "POST /v3/kv/put HTTP/1.1\r\nHost: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    asio::write(socket, asio::buffer(text));
    return socket;
  }
  std::string answer(tcp::socket& socket) {
    run([&socket] { return socket.available() > 0; });
    std::string text(socket.available(), '\0');
    socket.read_some(asio::buffer(text));
    return text.substr(0, text.find('\r'));
  }
  std::string put_and_hear(int node, const std::string& key, const std::string& value) {
    tcp::socket socket = put(node, key, value);
    return answer(socket);
  }

  void act(Action::Kind kind, const std::string& fault, std::vector<int> nodes = {}, std::string way = "") {
    Action action;
    action.kind = kind;
    action.fault = fault;
    action.nodes = std::move(nodes);
    action.way = std::move(way);
    action.length = 100000;
    action.forgets = 1;
    store->act(action);
  }

  asio::io_context context;
  Experiment experiment;
  std::optional<SharedStore> store;
};

constexpr const char* kDone = "HTTP/1.1 200 OK";

TEST(SharedStore, SaysWhoPlansOnceThePlanHoldsIt) {
  Bench bench;
  EXPECT_EQ(bench.store->planner(""), -1);
  EXPECT_EQ(bench.put_and_hear(0, "/fleet/planner", "n1/77"), kDone);
  EXPECT_EQ(bench.store->planner(""), 1);
  const std::string closed = "\"closed\":\\[[0-9]";
  EXPECT_EQ(bench.store->planner(closed), -1);
  EXPECT_EQ(bench.put_and_hear(1, "/fleet/plan", "{\"closed\":[]}"), kDone);
  EXPECT_EQ(bench.store->planner(closed), -1);
  EXPECT_EQ(bench.put_and_hear(1, "/fleet/plan", "{\"closed\":[4,1]}"), kDone);
  EXPECT_EQ(bench.store->planner(closed), 1);
  EXPECT_EQ(bench.put_and_hear(1, "/fleet/planner", "somebody"), kDone);
  EXPECT_EQ(bench.store->planner(""), -1);
}

TEST(SharedStore, CutsOneOffFromAskingOnly) {
  Bench bench;
  bench.act(Action::Kind::kCut, "hole", {1}, "asks");
  const tcp::socket lost = bench.put(1, "/fleet/planner", "n1/1");
  EXPECT_EQ(bench.put_and_hear(0, "/fleet/other", "x"), kDone);
  EXPECT_EQ(bench.store->planner(""), -1);
  EXPECT_EQ(lost.available(), 0U);
}

TEST(SharedStore, CarriesOutWhatIsNotAnswered) {
  Bench bench;
  bench.act(Action::Kind::kCut, "hole", {1}, "answers");
  const tcp::socket unheard = bench.put(1, "/fleet/planner", "n1/1");
  bench.run([&bench] { return bench.store->planner("") == 1; });
  EXPECT_EQ(bench.put_and_hear(0, "/fleet/other", "x"), kDone);
  EXPECT_EQ(unheard.available(), 0U);
}

TEST(SharedStore, HasItsOwnTroubles) {
  Bench bench;
  EXPECT_EQ(bench.put_and_hear(0, "/fleet/planner", "n0/1"), kDone);
  bench.act(Action::Kind::kStore, "restart");  // forgets the last change
  EXPECT_EQ(bench.store->planner(""), -1);
  bench.act(Action::Kind::kStore, "full");
  EXPECT_EQ(bench.put_and_hear(0, "/fleet/planner", "n0/2"), "HTTP/1.1 429 Too Many Requests");
  EXPECT_EQ(bench.store->planner(""), -1);
  bench.act(Action::Kind::kStore, "down");
  EXPECT_THROW(bench.put(0, "/fleet/planner", "n0/3"), boost::system::system_error);
}

}  // namespace
}  // namespace shorelead::lab
