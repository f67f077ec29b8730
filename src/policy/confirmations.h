// Which backends may get something new although the list may be out of date: those whose health check has
// passed lately enough. A backend that drains fails its health check before discovery tells of it, while it
// still serves what it is sent, so that an answer to a request confirms nothing. Owns the last check of each
// backend; it must never send one.
#pragma once

#include "policy/context.h"

namespace shorelead::policy {

constexpr Millis kRecheckDelay =
    500;  // after a health check that did not pass, before the next for a request

class Confirmations {
 public:
  explicit Confirmations(const Context& context) : context_(context) {}

  void set_validity(const ListValidity& validity) { validity_ = validity; }
  void reset(BackendId i) { records_[i] = {}; }
  // A health check has ended, which was sent `elapsed` ago.
  void check_ended(BackendId i, Outcome outcome, Millis elapsed) {
    CheckRecord& record = records_[i];
    if (outcome == Outcome::kServed) return record.last.passed(context_.now - elapsed);
    if (outcome == Outcome::kRejected) record.last.failed();
    record.next_check_at = context_.now + kRecheckDelay;
  }

  bool list_outdated() const { return context_.now >= validity_.until; }
  bool confirmed(BackendId i, Millis now) const {
    return now < validity_.until || records_[i].last.within(validity_, now);
  }
  // Whether a check of one that does not hold is worth its while: the last did not fail just now.
  bool may_check(BackendId i) const { return context_.now >= records_[i].next_check_at; }

 private:
  struct CheckRecord {
    LastConfirmation last;
    Millis next_check_at = 0;  // after one that failed
  };

  const Context& context_;
  Grown<CheckRecord> records_;
  ListValidity validity_;
};

}  // namespace shorelead::policy
