// A process is suspended right after reading the clock; meanwhile the client closes, or the backend closes or
// sends data on the connection chosen for the attempt. What was checked before the reading is outdated when
// the attempt is written.
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <optional>

#include "crossings/backends.h"
#include "faults/clock_readings.h"
#include "faults/node_with_faults.h"

namespace shorelead::node {
namespace {

constexpr int kMaxReadings = 60;  // far more than the handling of a request takes

std::string first_request() { return get("/safe", "X-Timeout-Ms: 15000\r\n"); }

struct Scene {
  Scene() {
    node.know("s-1", backend);
    node.start();
  }

  // Opens an idle connection to the backend, so that an attempt can be written at once.
  void warm() {
    Line client = node.client();
    client.write(first_request());
    there.emplace(backend.accept());
    there->request();
    there->write(kOk);
    EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  }

  // Waits for some turns of the node's loop, so that everything it began is written.
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

// Serves a request that arrives on another connection than the idle one.
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

// Injects `event` after each reading in turn, until it falls after the write. If it falls before, nothing may
// be written on the idle connection. `stays`: the client waits for its response.
void expect_no_write_after(const Event& event, bool stays) {
  int prevented = 0;
  for (int nth = 1; nth <= kMaxReadings; ++nth) {
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
    while (!come) scene.await_turns();  // the clock is read without requests, too
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

TEST(ClockReading, NoAttemptIsWrittenAfterTheClientClosed) {
  expect_no_write_after([](Scene&, Line& client) { client.close(); }, false);
}

TEST(ClockReading, NoAttemptIsWrittenAfterUnexpectedData) {
  expect_no_write_after([](Scene& scene, Line&) { scene.there->write(kOk); }, true);
}

TEST(ClockReading, NoAttemptIsWrittenAfterTheBackendClosed) {
  expect_no_write_after([](Scene& scene, Line&) { scene.there->close_sending(); }, true);
}

}  // namespace
}  // namespace shorelead::node
