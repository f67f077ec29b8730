// The admin server over loopback: calls act on a running node, and silent callers do not lock others out.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "node_case.h"

namespace shorelead::node {
namespace {

// A node with an admin server, two backends, and discovery that is scripted by the test.
struct NodeWithAdminServer {
  Peer one;
  Peer two;
  Node node;
  NodeWithAdminServer() {
    node.know("s-1", one);
    node.know("s-2", two);
    node.config.admin = Poco::Net::SocketAddress("127.0.0.1", 0);
    node.start();
  }
  Line caller() const { return Line::connect(node.server->admin_port()); }
  std::string call(const std::string& words) const {
    Line line = caller();
    line.write(words);
    return line.rest();
  }
};

std::string metric(const std::string& metrics, const std::string& name) {
  const std::size_t at = metrics.find("node." + name + ":");
  if (at == std::string::npos) return "";
  const std::size_t from = metrics.find(':', at) + 1;
  return metrics.substr(from, metrics.find('|', from) - from);
}

TEST(AdminServer, AnswersOneCallPerConnectionAndNamesErrors) {
  const NodeWithAdminServer with_admin;
  EXPECT_EQ(with_admin.call("disable-server nobody\n").rfind("ERR no backend nobody", 0), 0U);
  EXPECT_EQ(with_admin.call("what\n").rfind("ERR unknown call", 0), 0U);
  EXPECT_EQ(with_admin.call(std::string(600, 'x') + "\n").rfind("ERR a call of over", 0), 0U);
  EXPECT_EQ(with_admin.call("drain\nresume\n"), "OK draining\n");  // a second line is ignored
  EXPECT_EQ(with_admin.call("ready\n"), "ERR draining\n");
  EXPECT_EQ(with_admin.call("resume\r\n"), "OK serving\n");
  const std::string metrics = with_admin.call("show-stat\n");
  EXPECT_TRUE(metrics.ends_with("\nEND\n")) << metrics;
  EXPECT_EQ(metric(metrics, "known_backends"), "2");
  EXPECT_EQ(metric(metrics, "handled.unsafe.passed"), "0");
}

TEST(AdminServer, AnswersACallerThatClosedItsSendingHalf) {
  const NodeWithAdminServer with_admin;
  Line caller = with_admin.caller();
  caller.write("drain");  // ended by the connection instead of a line end
  caller.close_sending();
  EXPECT_EQ(caller.rest(), "OK draining\n");
}

TEST(AdminServer, ANewCallerEvictsSilentOnes) {
  const NodeWithAdminServer with_admin;
  std::vector<Line> silent;
  for (std::size_t n = 0; n < 3 * AdminServer::kMaxCallers; ++n) {
    silent.push_back(with_admin.caller());
    silent.back().write("dra");
  }
  EXPECT_EQ(with_admin.call("drain\n"), "OK draining\n");
  EXPECT_EQ(silent.front().rest(), "");  // the oldest were evicted
}

// After the OK the backend gets no new requests, and its idle connections are closed. One enable call undoes
// two disable calls, and the metrics agree.
TEST(AdminServer, ADisabledBackendGetsNoRequestsUntilEnabled) {
  NodeWithAdminServer with_admin;
  EXPECT_EQ(with_admin.call("disable-server s-2\n"), "OK s-2 is out\n");
  EXPECT_EQ(with_admin.call("disable-server s-2\n"), "OK s-2 was out already\n");
  EXPECT_EQ(metric(with_admin.call("show-stat\n"), "skipped_backends"), "1");
  Line client = with_admin.node.client();
  std::optional<Line> there;
  for (int n = 0; n < 8; ++n) {
    client.write(get("/safe"));
    if (!there) there = with_admin.one.accept();  // would hang if a request went to s-2
    EXPECT_FALSE(there->request().empty());
    there->write(kOk);
    EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  }
  EXPECT_EQ(with_admin.call("enable-server s-2\n"), "OK s-2 is back\n");
  EXPECT_EQ(with_admin.call("disable-server s-1\n"), "OK s-1 is out\n");
  EXPECT_EQ(there->rest(), "");  // its idle connection was closed
  client.write(get("/safe"));
  Line other = with_admin.two.accept();
  EXPECT_FALSE(other.request().empty());
  other.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  const std::string metrics = with_admin.call("show-stat\n");
  EXPECT_EQ(metric(metrics, "handled.safe.passed"), "9");
  EXPECT_EQ(metric(metrics, "upstream_tries"), "9");
  EXPECT_EQ(metric(metrics, "in_progress"), "0");
}

// While draining, an idle connection gets one more response, with Connection: close; after resume the node
// serves again.
TEST(AdminServer, ADrainClosesConnectionsAndCanBeResumed) {
  NodeWithAdminServer with_admin;
  while (with_admin.call("ready\n") != "OK ready\n")
    std::this_thread::yield();  // a configured list suffices after a while
  Line kept = with_admin.node.client();
  kept.write(get("/-/ready", "", ""));
  EXPECT_EQ(status_of(kept.answer()), "HTTP/1.1 200");
  Line idle = with_admin.node.client();
  idle.write(get("/-/ready", "", ""));
  idle.answer();
  with_admin.call("drain\n");
  kept.write(get("/-/ready", "", ""));
  const std::string answer = kept.answer();
  EXPECT_EQ(status_of(answer), "HTTP/1.1 503");
  EXPECT_TRUE(holds(answer, "Connection: close"));
  EXPECT_EQ(idle.rest(), "");  // closed after the time for one more request
  with_admin.call("resume\n");
  Line again = with_admin.node.client();
  again.write(get("/-/ready", "", ""));
  EXPECT_EQ(status_of(again.answer()), "HTTP/1.1 200");
}

}  // namespace
}  // namespace shorelead::node
