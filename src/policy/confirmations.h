// Which backends may get something new although the list may be out of date: those whose health check has
// passed lately enough. A backend that drains fails its health check before discovery tells of it, while it
// still serves what it is sent, so that an answer to a request confirms nothing. Owns the last check of each
// backend; it must never send one.
#pragma once

#include "policy/context.h"

namespace shorelead::policy {

constexpr Millis kCheckAgain = 500;  // after a health check that did not pass, before the next for a request

class Confirmations {
 public:
  explicit Confirmations(const Context& context) : c_(context) {}

  void change(const ListValidity& validity) { validity_ = validity; }
  void welcome(BackendId i) { of_[i] = {}; }
  // A health check has ended, which was sent `elapsed` ago.
  void probed(BackendId i, Outcome outcome, Millis elapsed) {
    Checked& checked = of_[i];
    if (outcome == Outcome::kServed) return checked.last.passed(c_.now - elapsed);
    if (outcome == Outcome::kRejected) checked.last.failed();
    checked.again_at = c_.now + kCheckAgain;
  }

  bool list_outdated() const { return c_.now >= validity_.until; }
  bool holds(BackendId i, Millis now) const {
    return now < validity_.until || of_[i].last.within(validity_, now);
  }
  // Whether a check of one that does not hold is worth its while: the last did not fail just now.
  bool worth_a_check(BackendId i) const { return c_.now >= of_[i].again_at; }

 private:
  struct Checked {
    LastConfirmation last;
    Millis again_at = 0;  // after one that failed
  };

  const Context& c_;
  Grown<Checked> of_;
  ListValidity validity_;
};

}  // namespace shorelead::policy
