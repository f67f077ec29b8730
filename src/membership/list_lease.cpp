#include "membership/list_lease.h"

#include <algorithm>

namespace shorelead::membership {

void ListLease::asked(Millis now) {
  asked_at_ = now;
  if (unheard_since_ == kNever) unheard_since_ = now;
}

void ListLease::answered() {
  watching_ = true;
  current_at_ = std::max(current_at_, asked_at_);
  unheard_since_ = unfinished_at_ = moved_at_ = lapsed_at_ = kNever;
}

void ListLease::heard(Millis now) {
  current_at_ = std::max(current_at_, now - kSignInterval);
  unfinished_at_ = lapsed_at_ = kNever;
}

void ListLease::unfinished(Millis now) { unfinished_at_ = std::min(unfinished_at_, now); }

void ListLease::ended(CallEnd how, Millis now) {
  watching_ = false;
  if (how == CallEnd::kFailed) {
    // Changes that bind since the watch was over go on binding, although a failed call is given longer.
    const Millis lapses_at = over_at_ + unasked();
    if (unheard_since_ <= over_at_ && now >= lapses_at) lapsed_at_ = std::min(lapsed_at_, lapses_at);
    unheard_since_ = kNever;
  }
  if (how == CallEnd::kWatchOver) unheard_since_ = over_at_ = now;
}

void ListLease::moved(Millis now) {
  if (watching_) unheard_since_ = over_at_ = now;
  watching_ = false;
  moved_at_ = now;
}

Millis ListLease::unasked() const {
  return terms_.ask_every > 0 ? std::min(terms_.ask_every, kUnasked) : kUnasked;
}

// For how long the process is held to the list that it has, once that is no longer what discovery has.
Millis ListLease::held_for() const {
  if (watching_) return kMostAge;
  if (terms_.pushed) return 0;
  return unheard_since_ < kNever || lapsed_at_ < kNever ? unasked() : 4 * unasked();
}

Millis ListLease::holds_until() const {
  Millis until = std::min({current_at_ + kMostAge, unfinished_at_, lapsed_at_, moved_at_ + kMoved});
  if (watching_) return until;
  if (terms_.pushed) return std::min(until, over_at_);
  const Millis since = unheard_since_ < kNever ? unheard_since_ : current_at_;
  return std::min(until, since + held_for());
}

ListValidity ListLease::validity() const {
  ListValidity validity;
  if (!terms_.grace) return validity;
  const Millis allowance = std::max(*terms_.grace - kHeldUp, 0.0);
  validity.until = holds_until() + allowance;
  validity.confirmed_for = held_for() + allowance;
  if (unfinished_at_ < kNever) validity.confirmed_after = unfinished_at_;
  return validity;
}

}  // namespace shorelead::membership
