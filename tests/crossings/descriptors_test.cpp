// Want of descriptors where discovery is down: its connection, backends' new ones and the accept have to stay
// possible, whatever idle clients hold.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

#include "node_process.h"
#include "silent_clients.h"

namespace shorelead::node {
namespace {

std::string only(const std::string& host, const Peer& peer) {
  return R"({"seq":7,"whole":true,"hosts":[{"host":")" + host + R"(","health":"ready","dial":")" +
         peer.dial() + "\"}]}\n";
}

std::string served_by(Line& backend, Line& client) {
  EXPECT_FALSE(backend.request().empty());
  backend.write(kOk);
  return status_of(client.answer());
}

// What the node knows before: one backend, and where discovery is to be.
NodeProcess::ConfigChange told(int stated, const Peer& backend, const DownAddress& discovery) {
  ListedBackend known;
  known.host = "s-1", known.dial = backend.dial(), known.health = "ready";
  const Poco::Net::SocketAddress address("127.0.0.1", discovery.port());
  return [=](Config& config) {
    config.limits.sockets = stated;
    config.discovery = address;
    config.known.backends = {known};
  };
}

// One request by the backend that is known; its connection is kept.
void use(const NodeProcess& node, Peer& backend, std::optional<Line>& kept) {
  Line client = node.client();
  client.write(get("/safe"));
  kept = backend.accept();
  ASSERT_EQ(served_by(*kept, client), "HTTP/1.1 200");
}

// All is full: discovery's next call comes, its list counts, the backend that it names gets a connection, and
// clients are taken in.
void expect_return(const NodeProcess& node, DownAddress& discovery, Line& kept) {
  Peer after;
  Line watch = discovery.accept();
  ASSERT_FALSE(watch.request().empty());
  watch.write(first_line(only("s-2", after)));
  ASSERT_EQ(kept.rest(), "");  // the list is taken in: nothing goes to the backend of before
  Line waiting = node.client();
  waiting.write(get("/safe"));
  Line fresh = after.accept();
  ASSERT_EQ(served_by(fresh, waiting), "HTTP/1.1 200");
  Line newcomer = node.client();
  newcomer.write(get("/safe"));
  ASSERT_EQ(served_by(fresh, newcomer), "HTTP/1.1 200");
}

// Discovery's call is taken, and gets not a word until it is given up.
void stay_silent(Line call) {
  ASSERT_FALSE(call.request().empty());
  ASSERT_EQ(call.rest(), "");
}

// `allowed` by the system, `stated` in the configuration: idle clients take all that the lower one leaves.
void fill_while_discovery_is_down(int allowed, int stated) {
  DownAddress discovery;
  Peer before;
  const NodeProcess node(allowed, told(stated, before, discovery));
  std::optional<Line> kept;
  ASSERT_NO_FATAL_FAILURE(use(node, before, kept));
  SilentClients silent(node.port());
  silent.wait_for_evictions();  // it is full, and stays so
  discovery.start_listening();
  ASSERT_NO_FATAL_FAILURE(stay_silent(discovery.accept()));
  expect_return(node, discovery, *kept);
}

TEST(Crossings, IdleClientsFillTheDescriptorsThatAreStatedWhileDiscoveryIsDown) {
  fill_while_discovery_is_down(1024, 64);
}

// Guards against a system's limit under the stated one: all went to clients, and discovery's call got none.
TEST(Crossings, IdleClientsFillTheDescriptorsThatTheSystemAllowsWhileDiscoveryIsDown) {
  fill_while_discovery_is_down(64, 1024);
}

// The same where the system's limit comes down while the node runs: it counts with the next reload.
TEST(Crossings, IdleClientsFillTheDescriptorsThatAReloadFindsWhileDiscoveryIsDown) {
  DownAddress first;
  DownAddress second;
  second.start_listening();
  Peer before;
  const NodeProcess node(1024, told(1024, before, first), told(1024, before, second));
  std::optional<Line> kept;
  ASSERT_NO_FATAL_FAILURE(use(node, before, kept));
  node.set_descriptor_limit(64);
  node.reload();
  Line call = second.accept();  // it has reloaded
  SilentClients silent(node.port());
  silent.wait_for_evictions();
  ASSERT_NO_FATAL_FAILURE(stay_silent(std::move(call)));
  expect_return(node, second, *kept);
}

}  // namespace
}  // namespace shorelead::node
