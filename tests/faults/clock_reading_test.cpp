// A process is held up right behind a reading of the clock, and its client leaves meanwhile, or the backend
// ends or speaks on the connection that it is to use: the reading, and whatever was seen before it, says
// nothing of the moment in which the attempt is written.
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <optional>

#include "crossings/backends.h"
#include "faults/clock_readings.h"
#include "faults/node_with_faults.h"

namespace shorelead::node {
namespace {

constexpr int kMostReadings = 60;  // far more than the handling of a request takes

std::string first_request() { return get("/safe", "X-Timeout-Ms: 15000\r\n"); }

struct Scene {
  Scene() {
    node.know("s-1", backend);
    node.start();
  }

  // A connection to the backend stands ready, so that an attempt can be written at once.
  void warm() {
    Line client = node.client();
    client.write(first_request());
    there.emplace(backend.accept());
    there->request();
    there->write(kOk);
    EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  }

  // The node's loop has turned, so that all it had begun is written.
  void await_turns() {
    Line behind = node.client();
    for (int n = 0; n < 3; ++n) {
      behind.write(get("/-/ready"));
      EXPECT_FALSE(behind.answer().empty());
    }
  }

  Peer backend;
  std::optional<Line> there;
  NodeWithFaults node;
  Standstill still{node};
};

using Event = std::function<void(Scene&, Line& client)>;

// Takes a request that comes on another connection than the one that stood ready.
void serve_elsewhere(Scene& scene, Line& client) {
  std::optional<Line> other;
  pollfd come{scene.backend.fd(), POLLIN, 0};
  while (!client.readable()) {
    if (other || ::poll(&come, 1, 0) <= 0) continue;
    other.emplace(scene.backend.accept());
    other->request();
    other->write(kOk);
  }
  EXPECT_FALSE(client.answer().empty());
}

// Brings `event` behind each reading in turn, until it comes behind the write: where it came before, nothing
// is written on the connection that stood ready. `stays`: the client waits for its answer.
void nothing_is_written_behind(const Event& event, bool stays) {
  int prevented = 0;
  for (int nth = 1; nth <= kMostReadings; ++nth) {
    Scene scene;
    scene.warm();
    Line client = scene.node.client();
    scene.await_turns();
    scene.still.begin();
    client.write(first_request());
    bool written_before = false;
    std::atomic<bool> come = false;
    faults::at_clock_reading(nth, [&] {
      written_before = scene.there->readable();
      event(scene, client);
      come = true;
    });
    scene.still.go();
    while (!come) scene.await_turns();  // readings go on by themselves
    if (written_before) {
      EXPECT_GT(prevented, 0) << "nothing was held up before its write";
      return;
    }
    ++prevented;
    if (stays) serve_elsewhere(scene, client);
    scene.await_turns();
    if (!scene.there->readable()) continue;
    ASSERT_EQ(scene.there->some(), "") << "written behind reading " << nth;
  }
  ADD_FAILURE() << "no attempt was ever written";
}

TEST(ClockReading, NoAttemptIsWrittenForAClientThatLeftBehindAReading) {
  nothing_is_written_behind([](Scene&, Line& client) { client.close(); }, false);
}

TEST(ClockReading, NoAttemptIsWrittenToABackendThatSpokeBehindAReading) {
  nothing_is_written_behind([](Scene& scene, Line&) { scene.there->write(kOk); }, true);
}

TEST(ClockReading, NoAttemptIsWrittenToABackendThatEndedBehindAReading) {
  nothing_is_written_behind([](Scene& scene, Line&) { scene.there->close_sending(); }, true);
}

}  // namespace
}  // namespace shorelead::node
