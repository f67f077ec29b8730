#include "node/graceful_shutdown.h"

#include <spdlog/spdlog.h>

namespace shorelead::node {
namespace {

constexpr Millis kAfterListenerClosed = 100;  // and for a request on a connection taken in at the very end
constexpr Millis kPollInterval = 20;
// So long beyond the longest deadline what is left is answered: the kill comes 0.7 s beyond it, and this
// process may be held up for 0.15 s by then.
constexpr Millis kGraceAfterDeadline = 500;
constexpr Millis kGiveBackTimeout =
    300;  // what is shared may take so long to be given back; the lease ends the rest

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
  spdlog::info("shutting down, {} requests under way", host_.open_requests());
  drain_.shut_down(loop_.now());
  apply_drain_state();
  const Millis deadline = loop_.now() + longest_deadline + kGraceAfterDeadline;
  if (replaced) {
    host_.front().close_listener();
    loop_.after(manage::Drain::kUnusedAtEnd, [this, deadline] { finish_when_empty(deadline); });
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
  host_.front().follow(state);
  spdlog::info("{}, {} requests under way, {} connections", manage::name_of(state), host_.open_requests(),
               host_.front().clients());
  if (state == manage::DrainState::kDraining && drain_.until() < manage::Drain::kNever)
    drain_timer_ = loop_.at(drain_.until(), [this] { apply_drain_state(); });
}

void GracefulShutdown::finish_when_empty(Millis deadline) {
  if (host_.front().empty()) return finish(loop_.now() + kGiveBackTimeout);
  if (loop_.now() < deadline) {
    loop_.after(kPollInterval, [this, deadline] { finish_when_empty(deadline); });
    return;
  }
  // Guards against ending without an answer to what came at the very end, or has longer than any class of
  // now.
  host_.front().give_up();
  loop_.after(kPollInterval, [this] {
    host_.front().give_up();  // what came meanwhile
    finish(loop_.now() + kGiveBackTimeout);
  });
}

void GracefulShutdown::finish(Millis deadline) {
  if (!host_.give_back() && loop_.now() < deadline) {
    loop_.after(kPollInterval, [this, deadline] { finish(deadline); });
    return;
  }
  host_.front().give_up();
  spdlog::info("shut down, {} connections left", host_.front().clients());
  loop_.stop();
}

}  // namespace shorelead::node
