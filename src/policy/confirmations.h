// Which backends may get new requests although the list is outdated: those that passed a health check
// recently. A draining backend fails its health check before discovery reports the drain, while it still
// serves the requests that it is sent; hence an answered request confirms nothing. Owns the last check of
// each backend; sends none itself.
#pragma once

#include "policy/context.h"

namespace shorelead::policy {

// Time after a failed health check in which no request causes another one.
constexpr Millis kRecheckDelay = 500;

class Confirmations {
 public:
  explicit Confirmations(const Context& context) : context_(context) {}

  void set_validity(const ListValidity& validity) { validity_ = validity; }
  void reset(BackendId backend) { records_[backend] = {}; }
  // A health check that was sent `elapsed` ago has ended.
  void check_ended(BackendId backend, Outcome outcome, Millis elapsed) {
    CheckRecord& record = records_[backend];
    if (outcome == Outcome::kServed) return record.last.passed(context_.now - elapsed);
    if (outcome == Outcome::kRejected) record.last.failed();
    record.next_check_at = context_.now + kRecheckDelay;
  }

  bool list_outdated() const { return context_.now >= validity_.until; }
  bool confirmed(BackendId backend, Millis now) const {
    return now < validity_.until || records_[backend].last.within(validity_, now);
  }
  // Whether a backend that is not confirmed may be checked again: its last check did not fail just now.
  bool may_check(BackendId backend) const { return context_.now >= records_[backend].next_check_at; }

 private:
  struct CheckRecord {
    LastConfirmation last;
    Millis next_check_at = 0;  // after a check that failed
  };

  const Context& context_;
  GrowingVector<CheckRecord> records_;
  ListValidity validity_;
};

}  // namespace shorelead::policy
