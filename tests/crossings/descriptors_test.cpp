// Descriptors run out while discovery is down: its connection, new connections to backends and accepting must
// stay possible, whatever idle clients hold.
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

// The node's stored list: one backend, and the address of discovery.
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

// One request served by the stored backend; its connection is kept.
void use(const NodeProcess& node, Peer& backend, std::optional<Line>& kept) {
  Line client = node.client();
  client.write(get("/safe"));
  kept = backend.accept();
  ASSERT_EQ(served_by(*kept, client), "HTTP/1.1 200");
}

// With all descriptors in use discovery's next call succeeds and its list is applied, the backend in it gets
// a connection, and clients are accepted.
void expect_return(const NodeProcess& node, DownAddress& discovery, Line& kept) {
  Peer after;
  Line watch = discovery.accept();
  ASSERT_FALSE(watch.request().empty());
  watch.write(first_line(only("s-2", after)));
  ASSERT_EQ(kept.rest(), "");  // the list was applied: nothing more goes to the old backend
  Line waiting = node.client();
  waiting.write(get("/safe"));
  Line fresh = after.accept();
  ASSERT_EQ(served_by(fresh, waiting), "HTTP/1.1 200");
  Line newcomer = node.client();
  newcomer.write(get("/safe"));
  ASSERT_EQ(served_by(fresh, newcomer), "HTTP/1.1 200");
}

// Discovery's call is accepted and gets no response until it is given up.
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
  silent.wait_for_evictions();  // descriptors are exhausted and stay so
  discovery.start_listening();
  ASSERT_NO_FATAL_FAILURE(stay_silent(discovery.accept()));
  expect_return(node, discovery, *kept);
}

TEST(Crossings, IdleClientsFillTheConfiguredDescriptorsWhileDiscoveryIsDown) {
  fill_while_discovery_is_down(1024, 64);
}

// With a system limit below the configured one, clients took all descriptors and discovery's call got none.
TEST(Crossings, IdleClientsFillTheSystemsDescriptorsWhileDiscoveryIsDown) {
  fill_while_discovery_is_down(64, 1024);
}

// The same if the system's limit is lowered while the node runs: it takes effect with the next reload.
TEST(Crossings, IdleClientsFillTheDescriptorsLoweredByAReloadWhileDiscoveryIsDown) {
  DownAddress first;
  DownAddress second;
  second.start_listening();
  Peer before;
  const NodeProcess node(1024, told(1024, before, first), told(1024, before, second));
  std::optional<Line> kept;
  ASSERT_NO_FATAL_FAILURE(use(node, before, kept));
  node.set_descriptor_limit(64);
  node.reload();
  Line call = second.accept();  // the node has reloaded
  SilentClients silent(node.port());
  silent.wait_for_evictions();
  ASSERT_NO_FATAL_FAILURE(stay_silent(std::move(call)));
  expect_return(node, second, *kept);
}

}  // namespace
}  // namespace shorelead::node
