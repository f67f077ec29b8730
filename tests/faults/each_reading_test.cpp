// Whatever befalls a request comes right behind each reading of the clock in its handling, in turn: its
// client or its backends end, or backends speak unasked. Judged by what must hold always: one whole answer to
// a client that stays, an unsafe request seen once at most, no violation counted by the checker.
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

  // Connections to all backends stand ready.
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

// `stays`: the client waits for its answer.
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
    // A second answer that is still on its way would be taken for that to the next request: here connections
    // do not rest between two, as they do in a node that serves.
    scene.backends.end_all();
  }
}

class EachReading : public testing::TestWithParam<std::string> {};

TEST_P(EachReading, BackendsEndTheirConnections) {
  at_each_reading(GetParam(), true, [](Scene& scene, Line&) { scene.backends.end_all(); });
}

TEST_P(EachReading, BackendsAnswerUnasked) {
  at_each_reading(GetParam(), true, [](Scene& scene, Line&) { scene.backends.answer_all(); });
}

TEST_P(EachReading, TheClientLeaves) {
  at_each_reading(GetParam(), false, [](Scene&, Line& client) { client.close(); });
}

TEST_P(EachReading, TheClientResets) {
  at_each_reading(GetParam(), false, [](Scene&, Line& client) { client.reset(); });
}

TEST_P(EachReading, TheClientEndsItsSending) {
  at_each_reading(GetParam(), false, [](Scene&, Line& client) { client.close_sending(); });
}

INSTANTIATE_TEST_SUITE_P(Requests, EachReading, testing::Values("safe", "unsafe"));

}  // namespace
}  // namespace shorelead::node
