// Nobody listens at discovery's address: no change binds before it returns, so the node serves by its list,
// and goes by discovery's list again once it is back. The node runs as a process of its own.
#include <gtest/gtest.h>

#include "crossings/answering_peer.h"
#include "crossings/backends.h"
#include "crossings/node_process.h"
#include "node/reachability_check.h"

namespace shorelead::node {
namespace {

constexpr double kOutage = 8000;  // longer than a list may be used without a proof
constexpr double kServed = 0.9;   // least share of requests served meanwhile
constexpr auto kBetweenRequests = std::chrono::milliseconds(5);

std::string settings(bool pushed) {
  return std::string(R"({"Instances":1,"Me":0,"RegistryMode":")") + (pushed ? "automatic" : "subscribe") +
         R"(","Services":[{"Name":"safe","Aim":400,"GiveUp":1000,"Effect":"pure"}],)"
         R"("Allowed":{"Probing":true,"Cancel":true,"MostTries":3,"ConnIdle":60000,"ConnectTimeout":200},)"
         R"("Costs":{"Probe":0.002},)"
         R"("Invariants":{"ColdShare":0.3,"WarmUp":9000,"FallMultiple":3,"Fall":1000,"AskEvery":10000,)"
         R"("StopSendingWithin":250}})";
}

std::string entry(const std::string& host, const AnsweringPeer& backend) {
  return R"({"host":")" + host + R"(","dial":")" + backend.dial() + R"(","health":"ready"})";
}

std::string list(int version, const std::string& entries) {
  return first_line(R"({"seq":)" + std::to_string(version) + R"(,"whole":true,"hosts":[)" + entries + "]}\n");
}

std::string ask(Line& client) {
  client.write(get("/safe", "X-Timeout-Ms: 1000\r\n"));
  return status_of(client.answer());
}

void expect_served_through_an_outage(bool pushed) {
  const std::atomic<bool> fails_checks{false};
  AnsweringPeer leaves(backend_that(fails_checks));
  AnsweringPeer stays(backend_that(fails_checks));
  const std::string both = entry("s-1", leaves) + "," + entry("s-2", stays);
  DownAddress returned;  // holds its address while nobody listens there
  const std::string address = "127.0.0.1:" + std::to_string(returned.port());
  const std::string text =
      R"({"name":"n0","listen":"127.0.0.1:1","discovery":")" + address +
      R"(","seed":"1f","limits":{"sockets":256},"known":{"seq":1,"whole":true,"hosts":[)" + both +
      R"(]},"settings":)" + settings(pushed) + "}";
  returned.start_listening();
  const NodeProcess node(256, [&](Config& config) {
    config = parse_config(text, {});
    config.listen = Poco::Net::SocketAddress("127.0.0.1", 0);
  });
  Line client = node.client();
  Line watch = returned.accept();
  watch.request();
  watch.write(list(8, both));
  while (ask(client) != "HTTP/1.1 200") continue;

  returned.stop_listening();
  watch.reset();
  int asked = 0;
  int served = 0;
  auto next = std::chrono::steady_clock::now();
  const double end = steady_ms() + kOutage;
  while (steady_ms() < end) {
    ++asked;
    served += ask(client) == "HTTP/1.1 200" ? 1 : 0;
    std::this_thread::sleep_until(next +=
                                  kBetweenRequests);  // refusals must not count for more time than they take
  }
  EXPECT_GE(served, kServed * asked) << asked << " requests";

  returned.start_listening();
  Line again = returned.accept();
  while (again.request().empty()) again = returned.accept();  // a check, which sends nothing
  again.write(list(9, entry("s-2", stays)));
  again.await_taken();
  const double told = steady_ms() + 300;
  while (steady_ms() < told) ask(client);
  const std::size_t before = leaves.count("/safe");
  for (int n = 0; n < 20; ++n) EXPECT_EQ(ask(client), "HTTP/1.1 200") << n;
  EXPECT_EQ(leaves.count("/safe"), before) << "it left the list during the outage";
}

TEST(DiscoveryOutage, ANodeThatRequestsListsServesWhileNobodyListensAtDiscovery) {
  expect_served_through_an_outage(false);
}
TEST(DiscoveryOutage, ANodeWithPushedListsServesWhileNobodyListensAtDiscovery) {
  expect_served_through_an_outage(true);
}

TEST(ReachabilityCheck, OnlyARefusedConnectionCounts) {
  for (const bool listens : {false, true}) {
    Loop loop;
    DownAddress address;
    if (listens) address.start_listening();
    int refused = 0;
    ReachabilityCheck check(loop, [&refused](Millis) { ++refused; });
    check.start(Poco::Net::SocketAddress("127.0.0.1", address.port()), 5);
    loop.after(100, [&loop] { loop.stop(); });
    loop.run();
    if (listens) {
      EXPECT_EQ(refused, 0);
    } else {
      EXPECT_GT(refused, 3);
    }
  }
}

}  // namespace
}  // namespace shorelead::node
