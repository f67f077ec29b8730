#include "node/graceful_shutdown.h"

#include <spdlog/spdlog.h>

namespace shorelead::node {
namespace {

// For requests on connections that were accepted just before the listener was closed.
constexpr Millis kAfterListenerClosed = 100;
constexpr Millis kPollInterval = 20;
// After the longest deadline and this time, the remaining requests are answered with an error: SIGKILL
// follows 0.7 s after the deadline, and the process may not be scheduled for 0.15 s before it.
constexpr Millis kGraceAfterDeadline = 500;
// For returning shares to the fleet; what is not returned in time ends with its lease.
constexpr Millis kGiveBackTimeout = 300;

}  // namespace

void GracefulShutdown::drain() {
  drain_.drain(loop_.now());
  apply_drain_state();
}

bool GracefulShutdown::resume() {
  if (!drain_.resume()) return false;
  apply_drain_state();
  return true;
}

void GracefulShutdown::replaced() {
  drain_.replaced(loop_.now());
  apply_drain_state();
}

void GracefulShutdown::shut_down(Millis longest_deadline, bool replaced) {
  if (drain_.shutting_down()) return;
  spdlog::info("shutting down, {} requests in progress", host_.open_requests());
  drain_.shut_down(loop_.now());
  apply_drain_state();
  const Millis deadline = loop_.now() + longest_deadline + kGraceAfterDeadline;
  if (replaced) {
    host_.front().close_listener();
    loop_.after(manage::Drain::kIdleTimeAtShutdown, [this, deadline] { finish_when_empty(deadline); });
    return;
  }
  loop_.after(accept_on_, [this, deadline] {
    host_.front().close_listener();
    loop_.after(kAfterListenerClosed, [this, deadline] { finish_when_empty(deadline); });
  });
}

void GracefulShutdown::apply_drain_state() {
  loop_.cancel(drain_timer_);
  const manage::DrainState state = drain_.state(loop_.now());
  host_.front().set_drain_state(state);
  spdlog::info("{}, {} requests in progress, {} connections", manage::name_of(state), host_.open_requests(),
               host_.front().clients());
  if (state == manage::DrainState::kDraining && drain_.drained_at() < manage::Drain::kNever)
    drain_timer_ = loop_.at(drain_.drained_at(), [this] { apply_drain_state(); });
}

void GracefulShutdown::finish_when_empty(Millis deadline) {
  if (host_.front().close_idle()) return finish(loop_.now() + kGiveBackTimeout);
  if (loop_.now() < deadline) {
    loop_.after(kPollInterval, [this, deadline] { finish_when_empty(deadline); });
    return;
  }
  // Answers requests that came last, or whose deadline is longer than that of any current class.
  host_.front().fail_all();
  loop_.after(kPollInterval, [this] {
    host_.front().fail_all();  // requests that came meanwhile
    finish(loop_.now() + kGiveBackTimeout);
  });
}

void GracefulShutdown::finish(Millis deadline) {
  if (!host_.give_back() && loop_.now() < deadline) {
    loop_.after(kPollInterval, [this, deadline] { finish(deadline); });
    return;
  }
  host_.front().fail_all();
  host_.front().cut_responses();
  spdlog::info("shut down, {} connections left", host_.front().clients());
  loop_.stop();
}

}  // namespace shorelead::node
