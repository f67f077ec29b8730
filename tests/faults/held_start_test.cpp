// The process of a node is held at each step of its start, and clients act just then: each request that the
// machine accepts gets an answer, or an end of its connection that the client sees.
#include <gtest/gtest.h>

#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include "faults/held_node.h"

namespace shorelead::node {
namespace {

constexpr int kManyClients = 24;
constexpr const char* kShortQueue = "8";  // of the listener
constexpr const char* kSteps[] = {
    "bind:1:before",    "bind:1:after",        "signalfd:1:before",  "listen:1:before",
    "listen:1:after",   "epoll_wait:1:before", "epoll_wait:1:after", "epoll_wait:2:after",
    "connect:1:before", "connect:1:after",     "accept4:1:before",   "accept4:1:after",
    "recv:1:before",    "recv:1:after",        "sendmsg:1:before",   "sendmsg:1:after",
};

std::string request(int number) {
  return "POST /keyed HTTP/1.1\r\nHost: a\r\nX-Request-ID: " + std::to_string(number) +
         "\r\nX-Timeout-Ms: " + std::to_string(kWaitMs) + "\r\nIdempotency-Key: k" + std::to_string(number) +
         "\r\nContent-Length: 4\r\n\r\nbody";
}

// One way in which a client uses its connection: what it writes while the process is held and afterwards.
struct Use {
  const char* name;
  std::string while_held;
  std::string afterwards;
  std::size_t answers;
  bool ends_sending;
};

std::vector<Use> uses() {
  const std::string one = request(1);
  return {{"a whole request", one, "", 1, false},
          {"a request in two parts, the head first", one.substr(0, one.size() - 4), "body", 1, false},
          {"a request in two parts, half of the head first", one.substr(0, 30), one.substr(30), 1, false},
          {"nothing, and a request afterwards", "", one, 1, false},
          {"three requests behind one another", request(1) + request(2) + request(3), "", 3, false},
          {"a request and the end of sending", one, "", 1, true}};
}

void expect_each_ends(const char* step, const char* faults) {
  for (const Use& use : uses()) {
    HeldNode node(step, faults);
    std::optional<Client> first;  // for steps that only a client brings about
    if (std::string(step).rfind("accept4", 0) == 0 || std::string(step).rfind("recv", 0) == 0 ||
        std::string(step).rfind("sendmsg", 0) == 0) {
      first.emplace(node.connected_client());
      first->write(request(9));
    }
    ASSERT_TRUE(node.stops()) << step;
    Client client(node.port());
    if (client.connected() && !use.while_held.empty()) client.write(use.while_held);
    if (use.ends_sending) client.end_sending();
    node.go_on();
    const bool was_held = client.connected();
    Client used = was_held ? std::move(client) : node.connected_client();
    used.write(was_held ? use.afterwards : use.while_held + use.afterwards);
    EXPECT_TRUE(used.finish(use.answers)) << step << ": " << use.name;
    if (first) {
      EXPECT_TRUE(first->finish(1)) << step << ": the client before";
    }
  }
}

TEST(HeldStart, EachRequestGetsAnAnswerOrAnEndAtEachStepOfTheStart) {
  for (const char* const step : kSteps) expect_each_ends(step, nullptr);
}

TEST(HeldStart, EachRequestGetsAnAnswerOrAnEndBesideCallsThatFail) {
  constexpr const char* kFaults =
      "seed=7,accept=5,recv=5,epoll_wait=10,sendmsg=10,socket=5,connect=5,signalfd=2";
  for (const char* const step : {"listen:1:after", "epoll_wait:1:before", "accept4:1:after", "recv:1:after"})
    expect_each_ends(step, kFaults);
}

TEST(HeldStart, EachRequestThatTheFullQueueOfTheListenerHoldsGetsAnAnswerOrAnEnd) {
  ::setenv("SHORELEAD_BACKLOG", kShortQueue, 1);
  for (const char* const step : {"listen:1:after", "epoll_wait:1:before"}) {
    HeldNode node(step);
    ASSERT_TRUE(node.stops()) << step;
    std::vector<Client> clients;
    for (int n = 0; n < kManyClients; ++n) {
      clients.emplace_back(node.port());
      if (clients.back().connected()) clients.back().write(request(n + 1));
    }
    node.go_on();
    int unfinished = 0;
    for (Client& client : clients) unfinished += client.connected() && !client.finish(1) ? 1 : 0;
    EXPECT_EQ(unfinished, 0) << step;
  }
  ::unsetenv("SHORELEAD_BACKLOG");
}

// A connection of the process before, and one that still lay in its listener's queue, end with that process.
TEST(HeldStart, ConnectionsOfTheProcessBeforeEndWithIt) {
  HeldNode before("epoll_wait:1:before");
  ASSERT_TRUE(before.stops());
  Client queued(before.port());
  ASSERT_TRUE(queued.connected());
  queued.write(request(1));
  before.end();
  HeldNode after("listen:1:before", nullptr, before.port());
  ASSERT_TRUE(after.stops());
  EXPECT_TRUE(queued.finish(1));
  Client refused(after.port());
  EXPECT_FALSE(refused.connected()) << "nobody listens between the two";
}

}  // namespace
}  // namespace shorelead::node
