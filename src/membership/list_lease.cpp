#include "membership/list_lease.h"

#include <algorithm>

namespace shorelead::membership {

void ListLease::call_begun(Millis now) {
  note_lapse(now);
  last_call_at_ = now;
  unfinished_before_ = unfinished_at_;
  no_call_ended_before_ = no_call_ended_since_;
  if (no_call_ended_since_ == kNever) no_call_ended_since_ = now;
}

void ListLease::call_answered(Millis now, bool late) {
  watching_ = true;
  if (!late) last_message_at_ = now;
  last_proof_at_ = -kNever;
  current_until_ = std::max(current_until_, last_call_at_);
  no_call_ended_since_ = watch_reset_at_ = untold_since_ = discovery_changed_at_ = lapsed_at_ = kNever;
  unfinished_at_ = late && terms_.pushed ? std::min(unfinished_at_, last_call_at_) : kNever;
  unfinished_before_ = unfinished_at_;
}

void ListLease::sign_of_life(Millis now) {
  last_message_at_ = now;
  current_until_ = std::max(current_until_, now - kSignInterval);
  unfinished_at_ = unfinished_before_ = lapsed_at_ = kNever;
}

void ListLease::list_incomplete(Millis now) { unfinished_at_ = std::min(unfinished_at_, now); }

void ListLease::call_ended(CallEnd how, Millis now, Millis occurred_at) {
  if (how == CallEnd::kInterrupted) {
    list_incomplete(occurred_at);
    how = watching_ ? CallEnd::kWatchEnded : CallEnd::kFailed;
  }
  if (how == CallEnd::kWatchReset) {
    watch_reset_at_ = std::min(watch_reset_at_, occurred_at);
    how = CallEnd::kWatchEnded;
  }
  watching_ = false;
  if (how == CallEnd::kNotAttempted) no_call_ended_since_ = no_call_ended_before_;
  if (how == CallEnd::kFailed) {
    note_lapse(now);
    no_call_ended_since_ = kNever;
  }
  if (how == CallEnd::kWatchEnded) {
    no_call_ended_since_ = watch_ended_at_ = untold_since_ = occurred_at;
    watch_end_seen_at_ = now;
  }
}

// What binds by the time without a watch goes on to bind, although a further call allows a longer hold.
void ListLease::note_lapse(Millis now) {
  if (watching_ || terms_.pushed) return;
  const Millis lapses_at = held_since() + hold_time();
  if (now >= lapses_at) lapsed_at_ = std::min(lapsed_at_, lapses_at);
}

bool ListLease::follows_proof(Millis now) const {
  return last_proof_at_ > -kNever && now - last_proof_at_ <= kMaxTimeBetweenProofs;
}

void ListLease::unreachable(Millis now) {
  if (watching_ || discovery_changed_at_ < kNever) return;  // of another discovery it proves nothing
  const bool follows = follows_proof(now);
  if (!follows) {
    if (now - watch_end_seen_at_ > kMaxTimeToProof) return;
    current_before_outage_ = now - last_message_at_ <= kMaxTimeToProof;
    if (current_before_outage_) watch_reset_at_ = kNever;
    if (!current_before_outage_ && terms_.pushed) return;  // what discovery had binds since the watch ended
  }
  const Millis out_of_reach = follows ? now - last_proof_at_ : 0;
  last_proof_at_ = now;
  if (current_before_outage_) current_until_ += out_of_reach;
  watch_ended_at_ += out_of_reach;
  if (no_call_ended_since_ < kNever) no_call_ended_since_ += out_of_reach;
  if (untold_since_ < kNever) untold_since_ += out_of_reach;
}

void ListLease::discovery_changed(Millis now, Millis requested_at) {
  last_proof_at_ = -kNever;
  if (watching_) no_call_ended_since_ = watch_ended_at_ = watch_end_seen_at_ = now;
  watching_ = false;
  discovery_changed_at_ = std::min(discovery_changed_at_, requested_at);
}

Millis ListLease::hold_without_call() const {
  return terms_.ask_every > 0 ? std::min(terms_.ask_every, kMaxAge) : kMaxAge;
}

Millis ListLease::held_since() const {
  return no_call_ended_since_ < kNever ? no_call_ended_since_ : current_until_;
}

// For how long the process may act on its list once that may differ from discovery's.
Millis ListLease::hold_time() const {
  if (watching_) return kMaxAge;
  if (terms_.pushed) return 0;
  return no_call_ended_since_ < kNever || lapsed_at_ < kNever ? hold_without_call()
                                                              : kFailedCallFactor * hold_without_call();
}

ListLease::Bound ListLease::earliest_bound() const {
  Bound earliest{current_until_ + kMaxAge, current_until_ > -kNever ? Limit::kAge : Limit::kNoList};
  const auto consider = [&earliest](Millis until, Limit limit) {
    if (until < earliest.until) earliest = {until, limit};
  };
  consider(unfinished_at_, Limit::kIncomplete);
  consider(watch_reset_at_, Limit::kWatchReset);
  consider(lapsed_at_, Limit::kNoCall);
  consider(discovery_changed_at_ + kDiscoveryChangeDelay, Limit::kDiscoveryChanged);
  if (watching_) return earliest;
  if (terms_.pushed) {
    consider(std::max(watch_ended_at_, last_proof_at_), Limit::kWatchEnded);
    return earliest;
  }
  consider(held_since() + hold_time(), Limit::kNoCall);
  consider(untold_since_ + kEndedWatchDelay, Limit::kWatchEndedUntold);
  return earliest;
}

ListValidity ListLease::validity() const {
  ListValidity validity;
  if (!terms_.grace) return validity;
  const Millis allowance = std::max(*terms_.grace - kMaxPause, 0.0);
  validity.until = earliest_bound().until + allowance;
  return validity;
}

ListLease::Limit ListLease::limit() const { return terms_.grace ? earliest_bound().limit : Limit::kNone; }

const char* name_of(ListLease::Limit limit) {
  switch (limit) {
    case ListLease::Limit::kNone:
      return "nothing";
    case ListLease::Limit::kNoList:
      return "no list has arrived since the start";
    case ListLease::Limit::kAge:
      return "its age";
    case ListLease::Limit::kIncomplete:
      return "a list that has begun to arrive";
    case ListLease::Limit::kNoCall:
      return "the time without a watch";
    case ListLease::Limit::kWatchEnded:
      return "the end of the watch";
    case ListLease::Limit::kWatchReset:
      return "a reset of the watch";
    case ListLease::Limit::kWatchEndedUntold:
      return "the end of the watch, which may have come instead of a change";
    case ListLease::Limit::kDiscoveryChanged:
      return "the change of discovery's address";
  }
  return "unknown";
}

}  // namespace shorelead::membership
