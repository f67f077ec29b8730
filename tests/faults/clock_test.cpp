// Steps of the wall clock while a node runs do not change any duration that it measures.
#include <gtest/gtest.h>

#include <chrono>

#include "crossings/backends.h"
#include "faults/fault_plan.h"

namespace shorelead::node {
namespace {

constexpr int kRequests = 30;
constexpr double kHour = 3'600'000;
constexpr double kSeconds = 30000;
constexpr Millis kWarmUp = 300;
constexpr Millis kLongWarmUp = 20000;

long long wall_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// A node whose only backend starts after the wall clock was stepped. While the backend is cold, its
// slow-start budget allows a few requests, and the others are refused.
class OneColdBackend {
 public:
  OneColdBackend(double step, Millis warm_up) {
    node_.config.settings.cold_share = 0.4;
    node_.config.settings.warm_up = warm_up;
    node_.config.settings.fall_multiple = 1;
    node_.config.settings.fall_span = 3000;
    node_.timeouts.list = 0;
    node_.start();
    client_ = node_.client();
    Line watch = node_.discovery.accept();
    watch.request();
    faults::step_wall_clock(step);
    watch.write(first_line(R"({"seq":2,"whole":true,"hosts":[{"host":"s-new","dial":")" + backend_.dial() +
                           R"(","health":"ready","share":1.0,"born_ms":)" + std::to_string(wall_ms()) +
                           "}]}\n"));
    watch_.emplace(std::move(watch));
    while (ask("/-/ready") != "HTTP/1.1 200") continue;
  }
  ~OneColdBackend() {
    node_.stop();
    faults::clear();
  }

  int refused() {
    int count = 0;
    for (int n = 0; n < kRequests; ++n) count += ask("/safe") == "HTTP/1.1 503" ? 1 : 0;
    return count;
  }

 private:
  std::string ask(const std::string& path) {
    client_->write(get(path));
    return status_of(client_->answer());
  }

  Backends backend_{"hang"};
  Node node_;
  std::optional<Line> client_;
  std::optional<Line> watch_;
};

TEST(Clock, SlowStartOfANewBackendIsIndependentOfWallClockSteps) {
  for (const double step : {0.0, -kHour, -kSeconds, kSeconds, kHour}) {
    EXPECT_GT(OneColdBackend(step, kLongWarmUp).refused(), kRequests / 2) << step << ": cold at first";
    OneColdBackend warms(step, kWarmUp);
    const double begun = steady_ms();
    while (steady_ms() - begun < kWarmUp) std::this_thread::yield();
    EXPECT_EQ(warms.refused(), 0) << step << ": and warm in its time";
  }
}

}  // namespace
}  // namespace shorelead::node
