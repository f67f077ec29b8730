#include "node/graceful_shutdown.h"

#include <spdlog/spdlog.h>

namespace shorelead::node {
namespace {

constexpr Millis kLastCall = 100;  // and for a request on a connection taken in at the very end
constexpr Millis kLeaveEvery = 20;
// So long beyond the longest deadline what is left is answered: the kill comes 0.7 s beyond it, and this
// process may be held up for 0.15 s by then.
constexpr Millis kLeaveAfter = 500;
constexpr Millis kGiveBack =
    300;  // what is shared may take so long to be given back; the lease ends the rest

}  // namespace

void GracefulShutdown::drain() {
  drain_.drain(loop_.now());
  let_go();
}

bool GracefulShutdown::resume() {
  if (!drain_.resume()) return false;
  let_go();
  return true;
}

void GracefulShutdown::replaced() {
  drain_.replaced(loop_.now());
  let_go();
}

void GracefulShutdown::shut_down(Millis longest, bool replaced) {
  if (drain_.leaving()) return;
  spdlog::info("shutting down, {} requests under way", host_.open_requests());
  drain_.leave(loop_.now());
  let_go();
  const Millis until = loop_.now() + longest + kLeaveAfter;
  if (replaced) {
    host_.front().close_listener();
    loop_.after(manage::Drain::kUnusedAtEnd, [this, until] { leave_when_empty(until); });
    return;
  }
  loop_.after(accept_on_, [this, until] {
    host_.front().close_listener();
    loop_.after(kLastCall, [this, until] { leave_when_empty(until); });
  });
}

void GracefulShutdown::let_go() {
  loop_.cancel(drain_at_);
  const manage::DrainState state = drain_.state(loop_.now());
  host_.front().set_drain_state(state);
  spdlog::info("{}, {} requests under way, {} connections", manage::name_of(state), host_.open_requests(),
               host_.front().clients());
  if (state == manage::DrainState::kDraining && drain_.until() < manage::Drain::kNever)
    drain_at_ = loop_.at(drain_.until(), [this] { let_go(); });
}

void GracefulShutdown::leave_when_empty(Millis until) {
  if (host_.front().close_idle()) return end(loop_.now() + kGiveBack);
  if (loop_.now() < until) {
    loop_.after(kLeaveEvery, [this, until] { leave_when_empty(until); });
    return;
  }
  // Guards against ending without an answer to what came at the very end, or has longer than any class of
  // now.
  host_.front().fail_all();
  loop_.after(kLeaveEvery, [this] {
    host_.front().fail_all();  // what came meanwhile
    end(loop_.now() + kGiveBack);
  });
}

void GracefulShutdown::end(Millis until) {
  if (!host_.give_back() && loop_.now() < until) {
    loop_.after(kLeaveEvery, [this, until] { end(until); });
    return;
  }
  host_.front().fail_all();
  spdlog::info("shut down, {} connections left", host_.front().clients());
  loop_.stop();
}

}  // namespace shorelead::node
