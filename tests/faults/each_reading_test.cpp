// Injects an event right after each reading of the clock while a request is handled: its client or its
// backends close, or backends send unexpected data. Checks what must always hold: one complete response to a
// client that stays connected, an unsafe request seen at most once, and no violation counted by the checker.
#include <gtest/gtest.h>

#include <functional>

#include "crossings/backends.h"
#include "faults/clock_readings.h"
#include "faults/node_with_faults.h"

namespace shorelead::node {
namespace {

constexpr int kReadings = 40;  // more than the handling of a request takes
constexpr int kHosts = 3;
constexpr int kNever = 1 << 30;

struct Scene {
  Scene() {
    backends.join(node, kHosts);
    node.start();
  }
  ~Scene() { faults::at_clock_reading(kNever, {}); }

  // Opens idle connections to all backends.
  void warm() {
    std::vector<Line> clients;
    const std::size_t before = backends.count("warm");
    for (int n = 0; n < kHosts; ++n) {
      clients.push_back(node.client());
      clients.back().write(get("/safe/hang/warm"));
    }
    backends.await("warm", before + kHosts);
    backends.serve_held();
    for (Line& client : clients) EXPECT_FALSE(client.answer().empty());
  }
  void await_turns() {
    Line behind = node.client();
    for (int n = 0; n < 3; ++n) {
      behind.write(kReady);
      EXPECT_FALSE(behind.answer().empty());
    }
  }

  Backends backends{"hang"};
  NodeWithFaults node;
  Standstill still{node};
};

using Event = std::function<void(Scene&, Line& client)>;

std::string request_of(const std::string& kind, const std::string& name) {
  const std::string path = "/" + kind + "/" + name;
  return kind == "safe" ? get(path) : post(path, "x");
}

// `stays`: the client waits for its response.
void at_each_reading(const std::string& kind, bool stays, const Event& event) {
  Scene scene;
  for (int nth = 1; nth <= kReadings; ++nth) {
    const std::string name = "r" + std::to_string(nth) + "-";
    scene.warm();
    Line client = scene.node.client();
    scene.await_turns();
    scene.still.begin();
    client.write(request_of(kind, name));
    faults::at_clock_reading(nth, [&] { event(scene, client); });
    scene.still.go();
    if (stays) {
      ASSERT_FALSE(client.answer().empty()) << kind << ", reading " << nth;
    }
    scene.await_turns();
    faults::at_clock_reading(kNever, {});
    scene.await_turns();
    if (kind == "unsafe") {
      ASSERT_LE(scene.backends.count(name), 1U) << "reading " << nth;
    }
    // A second response still in transit would be taken for the response to the next request, as connections
    // are not idle between two requests here.
    scene.backends.end_all();
  }
}

class EachReading : public testing::TestWithParam<std::string> {};

TEST_P(EachReading, BackendsCloseTheirConnections) {
  at_each_reading(GetParam(), true, [](Scene& scene, Line&) { scene.backends.end_all(); });
}

TEST_P(EachReading, BackendsSendUnexpectedResponses) {
  at_each_reading(GetParam(), true, [](Scene& scene, Line&) { scene.backends.answer_all(); });
}

TEST_P(EachReading, TheClientCloses) {
  at_each_reading(GetParam(), false, [](Scene&, Line& client) { client.close(); });
}

TEST_P(EachReading, TheClientResets) {
  at_each_reading(GetParam(), false, [](Scene&, Line& client) { client.reset(); });
}

TEST_P(EachReading, TheClientClosesItsSendingHalf) {
  at_each_reading(GetParam(), false, [](Scene&, Line& client) { client.close_sending(); });
}

INSTANTIATE_TEST_SUITE_P(Requests, EachReading, testing::Values("safe", "unsafe"));

}  // namespace
}  // namespace shorelead::node
