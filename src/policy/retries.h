// The record of an open request, and whether it may have another attempt: rule "no effect twice", the retry
// budget, and the time at which attempts stop. Does not choose backends.
#pragma once

#include <limits>

#include "guard/guard.h"
#include "policy/lists.h"

namespace shorelead::policy {

constexpr double kRetriesPerRequest = 0.2;  // retries that each request adds to the budget
constexpr double kMaxSavedRetries = 10;     // upper bound of the budget
constexpr int kMaxAttempts = 3;             // of one request

struct Attempt {
  BackendId backend = 0;
  estimate::AttemptRecord sent;
  bool overdue = false;
  bool in_flight = true;
  bool may_have_run = true;  // until an outcome proves that it did not run
};

struct Request {
  RequestId id = 0;
  int request_class = 0;
  Millis due = 0;
  Millis aim_at = 0;  // an answer after this is worth less, or nothing
  int max_attempts = 1;
  bool parallel = false;  // two attempts may be in flight at once
  double work = 1;        // in mean requests, from its hint
  std::uint64_t key = 0;
  Unit home;
  double worth = -1;  // relative to the highest; negative = the worth of its class
  bool client_retry = false;
  bool over_share = false;            // beyond its tenant's share of the quota
  std::vector<BackendId> candidates;  // backends whose load reports it waits for
  bool streaming = false;
  int probe_rounds = 0;   // rounds of probes or queries sent for it so far
  Millis wait_until = 0;  // it waits, or waited, for the answers until then
  std::vector<Attempt> attempts;

  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
  auto in_flight() const {
    return std::count_if(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
  }
  bool is_candidate(BackendId backend) const {
    return std::find(candidates.begin(), candidates.end(), backend) != candidates.end();
  }
};

class Retries {
 public:
  Retries(const Context& context, const Lists& lists) : context_(context), lists_(lists) {}
  void earn() { budget_ = std::min(kMaxSavedRetries, budget_ + kRetriesPerRequest); }
  void spend() { budget_ -= 1, fleet_budget_ -= 1; }
  void set_fleet_budget(double left) { fleet_budget_ = left; }
  int max_attempts() const { return std::min(context_.settings.max_attempts, kMaxAttempts); }

  bool may_send(const Request& r) const { return bool(guard::may_send(guard_state(r), context_.now)); }
  // Whether it may have an attempt beside another one in flight.
  bool may_hedge(const Request& r) const { return bool(guard::may_hedge(guard_state(r), context_.now)); }

  // Once an answer has lost all worth, work on it only delays other requests; so attempts end at the aim
  // where late answers are worth nothing.
  Millis stop_at(const Request& r) const {
    const RequestClass& c = context_.request_class(r.request_class);
    return c.late_value > 0 || c.streamed ? r.due : std::min(r.due, r.aim_at);
  }

  // The time until which a backend may begin the attempt: a repeat of a keyed request is dropped only within
  // the window of every attempt that may have run.
  Millis begin_by(const Request& r) const {
    const RequestClass& c = context_.request_class(r.request_class);
    Millis by = std::numeric_limits<Millis>::infinity();
    for (const Attempt& a : r.attempts) by = a.may_have_run ? std::min(by, a.sent.at + c.dedup_window) : by;
    return c.effect == Effect::kKeyed ? by : std::numeric_limits<Millis>::infinity();
  }

  // Rule "no effect twice": after a keyed attempt that may have run, retries stay in its deduplication group
  // and within the window.
  bool in_group(const Request& r, BackendId backend) const {
    const RequestClass& c = context_.request_class(r.request_class);
    if (c.effect != Effect::kKeyed) return true;
    for (const Attempt& a : r.attempts) {
      if (!a.may_have_run) continue;
      if (context_.now - a.sent.at >= c.dedup_window) return false;
      const BackendEntry &there = lists_[a.backend], &here = lists_[backend];
      if (c.group == DedupGroup::kZone && here.zone != there.zone) return false;
      if (c.group == DedupGroup::kCell && (here.cell != there.cell || here.zone != there.zone)) return false;
    }
    return true;
  }

  // Whether a client that repeats the request after a refusal does no harm.
  bool refusal_is_safe(const Request& r) const { return bool(guard::may_refuse(guard_state(r))); }

 private:
  // The facts that the guard decides by.
  guard::RequestState guard_state(const Request& r) const {
    const RequestClass& c = context_.request_class(r.request_class);
    guard::RequestState state;
    state.run_once = c.effect == Effect::kUnsafe;
    state.refusal_is_safe =
        c.effect == Effect::kSafe || (c.effect == Effect::kKeyed && c.group == DedupGroup::kAll);
    state.parallel = r.parallel;
    state.max_attempts = r.max_attempts;
    state.due = stop_at(r);
    state.attempts = static_cast<int>(r.attempts.size());
    state.in_flight = static_cast<int>(r.in_flight());
    state.may_have_run = r.may_have_run();
    state.retries_left = std::min(budget_, fleet_budget_);
    return state;
  }

  const Context& context_;
  const Lists& lists_;
  double budget_ = kMaxSavedRetries;
  double fleet_budget_ = std::numeric_limits<double>::infinity();
};

}  // namespace shorelead::policy
