// An independent reading of when a change of the list binds a process, for tests of the lease. It keeps what
// the process observed and answers by the operators' sentences, one function a sentence: T1 to T8 of
// docs/questions.md, question 25. It shares no code with the lease.
#pragma once

#include <algorithm>
#include <limits>
#include <optional>

namespace shorelead::membership {

class LeaseReading {
 public:
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  static constexpr double kAgeLimit = 6000;   // T3, T4: after discovery had it, whether or not it arrived
  static constexpr double kKeepAlive = 2000;  // what a keep-alive vouches for may be this much older
  static constexpr double kMoveLimit = 4000;  // T7: after a new configuration
  static constexpr double kPollLimit = 2000;  // T8: after the wait of a long poll, which ends in order
  static constexpr double kLastMoment = 100;  // discovery had no change so shortly before it went away
  static constexpr double kShortestReturn = 1000;  // discovery does not return for less

  LeaseReading(bool pushed, double ask_every)
      : pushed_(pushed), hold_(std::min(ask_every, kAgeLimit)), ask_failed_(4 * ask_every) {}

  void call(double now) {
    note_lapse(now);
    before_call_ = {last_call_, last_call_failed_};
    last_call_ = now;
    last_call_failed_ = false;
    told_before_call_ = told_;
  }
  void answer(double now) {
    known_until_ = std::max(known_until_, last_call_);
    told_ = told_before_call_ = moved_ = lapsed_ = poll_over_ = kNever;
    outage_.reset();
    whole_message(now);
    watching_ = true;
  }
  void keep_alive(double now) {
    known_until_ = std::max(known_until_, now - kKeepAlive);
    told_ = told_before_call_;
    whole_message(now);
  }
  void partial_list(double now) { told_ = std::min(told_, now); }
  void rejected(double now) {
    told_ = told_before_call_;
    call_failed(now);
  }
  void not_called() {
    last_call_ = before_call_.at;
    last_call_failed_ = before_call_.failed;
  }
  void call_failed(double now) {
    note_lapse(now);
    last_call_failed_ = true;
  }
  void watch_ended_in_order(double now) {
    watch_over(now);
    poll_over_ = now;
  }
  void watch_reset(double now) {
    watch_over(now);
    reset_watch_ = true;
  }
  void left(double now) {
    if (watching_)
      watch_over(now);
    else
      call_failed(now);
    partial_list(now);
  }
  void moved(double now) {
    if (watching_) watch_over(now);
    moved_ = std::min(moved_, now);
    outage_over_ = true;
  }
  void connection_refused(double now) {
    if (watching_ || outage_over_) return;
    if (outage_ && now - outage_->last <= kShortestReturn) {
      outage_->last = now;
      return;
    }
    if (outage_ || now - watch_ended_ > kLastMoment) {
      outage_over_ = true;
      return;
    }
    outage_ = Outage{now, now, now - last_message_ <= kLastMoment};
  }

  // The earliest moment in which a change that the process does not know may bind it.
  double bound() const {
    return std::min({written_but_unread(), lost_with_a_reset(), six_seconds_old(), another_discovery(),
                     pushed_ ? no_watch_on_pushed_lists() : std::min(time_for_asking(), long_poll_over())});
  }

 private:
  struct Call {
    double at = -kNever;
    bool failed = false;
  };
  struct Outage {
    double first;
    double last;
    bool list_was_current;
  };

  void watch_over(double now) {
    watching_ = false;
    watch_ended_ = last_call_ = now;
    last_call_failed_ = false;
    reset_watch_ = false;
  }
  void whole_message(double now) {
    last_message_ = now;
    lapsed_ = kNever;
    outage_over_ = false;
  }
  // A change that counts as told stays so, whatever is called later.
  void note_lapse(double now) {
    if (!pushed_ && time_for_asking() <= now) lapsed_ = std::min(lapsed_, time_for_asking());
  }
  double out_of_reach() const { return outage_ ? outage_->last - outage_->first : 0; }

  // T1: told when it is written.
  double written_but_unread() const { return told_; }
  // T1: a reset may have taken what was written just before.
  double lost_with_a_reset() const {
    if (!reset_watch_ || watching_ || (outage_ && outage_->list_was_current)) return kNever;
    return watch_ended_;
  }
  // T3, T4, T5: no change can have come before `known_until_`, nor while discovery was away.
  double six_seconds_old() const {
    return (outage_ && outage_->list_was_current ? outage_->last : known_until_) + kAgeLimit;
  }
  // T2: a process without a watch, from its last call on, anew once discovery is back.
  double time_for_asking() const {
    if (watching_) return kNever;
    const double hold = last_call_failed_ ? std::min(ask_failed_, 4 * hold_) : hold_;
    return std::min(lapsed_, last_call_ + hold + out_of_reach());
  }
  // T8: a watch may end in order instead of telling. Nobody can be told while discovery is away.
  double long_poll_over() const { return poll_over_ + kPollLimit + out_of_reach(); }
  // T6: without a watch what discovery has of a pushed list is told at once, also what a silent watch missed;
  // but there is nothing new while it is away.
  double no_watch_on_pushed_lists() const {
    if (watching_) return kNever;
    return outage_ && outage_->list_was_current ? outage_->last : watch_ended_;
  }
  double another_discovery() const { return moved_ + kMoveLimit; }

  const bool pushed_;
  const double hold_;
  const double ask_failed_;
  bool watching_ = false;
  double known_until_ = -kNever;
  double last_message_ = -kNever;
  double last_call_ = -kNever;
  bool last_call_failed_ = false;
  Call before_call_;
  double watch_ended_ = -kNever;
  bool reset_watch_ = false;
  double told_ = kNever;
  double told_before_call_ = kNever;
  double moved_ = kNever;
  double poll_over_ = kNever;
  double lapsed_ = kNever;
  std::optional<Outage> outage_;
  bool outage_over_ = false;  // what is refused from now on proves nothing
};

}  // namespace shorelead::membership
