// A node whose list may be outdated: its process got an old list at the start and new ones are refused. The
// node runs as a process of its own; backends and discovery are simulated over loopback.
#include <gtest/gtest.h>

#include "crossings/answering_peer.h"
#include "crossings/backends.h"
#include "crossings/node_process.h"

namespace shorelead::node {
namespace {

// Settings of an installation that requests lists.
std::string settings(bool probing) {
  return std::string(R"({"Instances":44,"Me":0,"RegistryMode":"subscribe",)") +
         R"("Services":[{"Name":"safe","Aim":400,"GiveUp":1000,"Effect":"pure"}],)" +
         R"("Allowed":{"Probing":)" + (probing ? "true" : "false") +
         R"(,"Cancel":true,"MostTries":3,"ConnIdle":60000,"ConnectTimeout":200},)" +
         R"("Costs":{"Probe":0.002},)" +
         R"("Invariants":{"ColdShare":0.3,"WarmUp":9000,"FallMultiple":3,"Fall":1000,"AskEvery":10000,)" +
         R"("StopSendingWithin":250}})";
}

std::string entry(const std::string& host, const AnsweringPeer& peer) {
  return R"({"host":")" + host + R"(","dial":")" + peer.dial() + R"(","health":"ready"})";
}

std::string configuration(const std::string& known, const AnsweringPeer& discovery, bool probing) {
  return R"({"name":"n0","listen":"127.0.0.1:1","discovery":")" + discovery.dial() +
         R"(","seed":"1f","limits":{"sockets":256},"known":{"seq":1,"whole":true,"hosts":[)" + known +
         R"(]},"settings":)" + settings(probing) + "}";
}

void wait_ready(const NodeProcess& node) {
  Line line = node.client();
  const auto hangs = std::chrono::steady_clock::now() + std::chrono::seconds(kHangSeconds);
  std::string answer;
  while (status_of(answer) != "HTTP/1.1 200") {
    ASSERT_LT(std::chrono::steady_clock::now(), hangs) << "never ready";
    line.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    answer = line.answer();
  }
}

// A change binds this long after discovery had it, whatever was refused or given up since.
constexpr double kToldAfter = 6000;
constexpr double kGrace = 250 + 50;  // of the settings above, plus delays of the sockets

// A node that got `known` and whose calls for a list are all refused, with backends that drain or do not.
class RefusedNode {
 public:
  RefusedNode(const std::string& known, bool probing)
      : node_(256, [text = configuration(known, discovery_, probing)](Config& config) {
          config = parse_config(text, {});
          config.listen = Poco::Net::SocketAddress("127.0.0.1", 0);
        }) {
    wait_ready(node_);
  }
  Line client() const { return node_.client(); }

 private:
  AnsweringPeer discovery_{[](const std::string&) { return kTurnedAway; }};
  const NodeProcess node_;
};

std::string ask(Line& client) {
  client.write(get("/safe", "X-Timeout-Ms: 1000\r\n"));
  return status_of(client.answer());
}

// Drains that discovery has had for longer than that bind from the process's start, whatever list it was
// given; which backends drain it cannot know.
TEST(OutdatedList, StartWithAnOldListSendsNothingToDrainingBackends) {
  const std::atomic<bool> drains{true};
  const std::atomic<bool> serves{false};
  AnsweringPeer first(backend_that(drains));
  AnsweringPeer second(backend_that(drains));
  AnsweringPeer ready(backend_that(serves));
  const RefusedNode node(entry("s-1", first) + "," + entry("s-2", second) + "," + entry("s-3", ready), true);
  Line client = node.client();
  constexpr int kRequests = 40;
  for (int n = 0; n < kRequests; ++n) EXPECT_EQ(ask(client), "HTTP/1.1 503") << n;
  EXPECT_EQ(first.count("/safe") + second.count("/safe") + ready.count("/safe"), 0U);
}

// The list given at the start is of unknown age, so that any backend on it may have left long ago.
TEST(OutdatedList, StartWithAnOldListSendsNothingToBackendsThatPassTheirChecks) {
  const std::atomic<bool> fails_checks{false};
  AnsweringPeer left(backend_that(fails_checks));
  const RefusedNode node(entry("s-1", left), true);
  Line client = node.client();
  for (int n = 0; n < 20; ++n) EXPECT_EQ(ask(client), "HTTP/1.1 503") << n;
  EXPECT_EQ(left.count("/safe"), 0U);
}

// All listed backends drain: clients are refused at once.
TEST(OutdatedList, StartWithOnlyDrainingBackendsRefusesAtOnce) {
  const std::atomic<bool> drains{true};
  AnsweringPeer only(backend_that(drains));
  const RefusedNode node(entry("s-1", only), true);
  Line client = node.client();
  for (int n = 0; n < 10; ++n) EXPECT_EQ(ask(client), "HTTP/1.1 503") << n;
  EXPECT_EQ(only.count("/safe"), 0U);
}

// A list of unknown age does not make the process ready: it waits for a current one.
void expect_ready_only_with_a_current_list(bool probing) {
  const std::atomic<bool> serves{false};
  std::atomic<bool> told{false};
  AnsweringPeer backend(backend_that(serves));
  const std::string list = first_line(R"({"seq":2,"whole":true,"hosts":[)" + entry("s-1", backend) + "]}\n");
  AnsweringPeer discovery([&](const std::string&) { return told ? list : kTurnedAway; });
  const std::string text = configuration(entry("s-1", backend), discovery, probing);
  const NodeProcess node(256, [&](Config& config) {
    config = parse_config(text, {});
    config.listen = Poco::Net::SocketAddress("127.0.0.1", 0);
  });
  Line line = node.client();
  while (discovery.count("/api/targets") < 1) {
    line.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_EQ(status_of(line.answer()), "HTTP/1.1 503");
  }
  told = true;
  wait_ready(node);
  Line client = node.client();
  EXPECT_EQ(ask(client), "HTTP/1.1 200");
}

TEST(OutdatedList, WithoutHealthChecksReadyOnlyWithACurrentList) {
  expect_ready_only_with_a_current_list(false);
}
TEST(OutdatedList, WithHealthChecksReadyOnlyWithACurrentList) { expect_ready_only_with_a_current_list(true); }

// Brings one whole list to the first call and ends the watch; every later call is refused.
class OneListOnly {
 public:
  void bring(const std::string& entries) {
    list_ = first_line(R"({"seq":2,"whole":true,"hosts":[)" + entries + "]}\n") + "0\r\n\r\n";
  }
  std::string operator()(const std::string&) { return calls_++ == 0 ? list_ : kTurnedAway; }

 private:
  std::string list_;
  int calls_ = 0;
};

// A backend is withdrawn while the process is refused every list: after the bound and the grace period it
// gets nothing new, though the list still names it. `fails_checks`: its health checks fail from then on.
void expect_nothing_for_an_unnoticed_withdrawal(bool fails_checks) {
  std::atomic<bool> drains{false};
  AnsweringPeer left(backend_that(drains));
  OneListOnly lists;
  lists.bring(entry("s-1", left));
  AnsweringPeer discovery([&](const std::string& path) { return lists(path); });
  const std::string text = configuration(entry("s-1", left), discovery, true);
  const NodeProcess node(256, [&](Config& config) {
    config = parse_config(text, {});
    config.listen = Poco::Net::SocketAddress("127.0.0.1", 0);
  });
  wait_ready(node);
  Line client = node.client();
  EXPECT_EQ(ask(client), "HTTP/1.1 200") << "by the list that came";
  drains = fails_checks;
  const double bound = steady_ms() + kToldAfter + kGrace;
  while (steady_ms() < bound) ASSERT_FALSE(ask(client).empty());
  const std::size_t before = left.count("/safe");
  for (int n = 0; n < 20; ++n) EXPECT_EQ(ask(client), "HTTP/1.1 503") << n;
  EXPECT_EQ(left.count("/safe"), before);
}

TEST(OutdatedList, WithoutNewListsNothingGoesToABackendThatBeganToDrain) {
  expect_nothing_for_an_unnoticed_withdrawal(true);
}
TEST(OutdatedList, ABackendThatLeftUnnoticedGetsNothingThoughItPassesItsChecks) {
  expect_nothing_for_an_unnoticed_withdrawal(false);
}

}  // namespace
}  // namespace shorelead::node
