#include "manage/drain.h"

#include <algorithm>

namespace shorelead::manage {

const char* name_of(DrainState state) {
  switch (state) {
    case DrainState::kServing:
      return "serving";
    case DrainState::kDraining:
      return "draining";
    case DrainState::kDrained:
      return "drained";
  }
  return "unknown";
}

void Drain::drain(Millis now) {
  if (!serving()) return;
  since_ = now;
  idle_until_ = now + kIdleTimeAfterCall;
}

void Drain::replaced(Millis now) {
  if (!serving()) return;
  since_ = now;
  idle_until_ = kNever;
}

bool Drain::resume() {
  if (shutting_down_) return false;
  since_ = idle_until_ = 0;
  return true;
}

void Drain::shut_down(Millis now) {
  if (shutting_down_) return;
  const Millis until = now + kIdleTimeAtShutdown;
  idle_until_ = serving() ? until : std::min(idle_until_, until);
  if (serving()) since_ = now;
  shutting_down_ = true;
}

DrainState Drain::state(Millis now) const {
  if (serving()) return DrainState::kServing;
  return now < idle_until_ ? DrainState::kDraining : DrainState::kDrained;
}

}  // namespace shorelead::manage
