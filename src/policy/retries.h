// What is written down of an open request, and whether it may have a further attempt: the rule "no effect
// twice", the retry budget, and the moment by which attempts stop. It must never say where an attempt goes.
#pragma once

#include <limits>

#include "guard/guard.h"
#include "policy/lists.h"

namespace shorelead::policy {

constexpr double kResendsPerRequest = 0.2;  // further attempts earned by each request
constexpr double kMostResends = 10;         // and saved up at most
constexpr int kMostAttempts = 3;            // for one request

struct Attempt {
  BackendId backend = 0;
  estimate::AttemptRecord sent;
  bool overdue = false;
  bool out = true;
  bool may_have_run = true;  // until an outcome proves that it never ran
};

struct Request {
  RequestId id = 0;
  int request_class = 0;
  Millis due = 0;
  Millis aim_at = 0;  // an answer after this is worth less or nothing
  int most_attempts = 1;
  bool parallel = false;  // two may be out at once
  double work = 1;        // of a mean request, by its hint
  std::uint64_t key = 0;
  Unit home;
  double worth = -1;  // beside the dearest; negative: its class's
  bool client_retry = false;
  bool over_share = false;       // beyond its tenant's share
  std::vector<BackendId> asked;  // candidates whose news it waits for
  bool streaming = false;
  int looks = 0;          // asked for it so far
  Millis look_until = 0;  // it waits, or has waited, for their answers until then
  std::vector<Attempt> attempts;

  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
  auto out() const {
    return std::count_if(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
  }
  bool was_asked(BackendId i) const { return std::find(asked.begin(), asked.end(), i) != asked.end(); }
};

class Retries {
 public:
  Retries(const Context& context, const Lists& lists) : c_(context), lists_(lists) {}
  void earn() { left_ = std::min(kMostResends, left_ + kResendsPerRequest); }
  void spend() { left_ -= 1, allowed_ -= 1; }
  void allow(double left) { allowed_ = left; }  // by the whole fleet
  int most_attempts() const { return std::min(c_.settings.max_attempts, kMostAttempts); }

  bool may_send(const Request& r) const { return bool(guard::may_send(state(r), c_.now)); }
  // One beside another that is out.
  bool may_hedge(const Request& r) const { return bool(guard::may_hedge(state(r), c_.now)); }

  // Work on an answer that has lost all its worth only delays the others, so attempts end at the aim then.
  Millis stop_at(const Request& r) const {
    const RequestClass& c = c_.request_class(r.request_class);
    return c.late_value > 0 || c.streamed ? r.due : std::min(r.due, r.aim_at);
  }

  // Until when one may begin: a keyed one is dropped as a repeat within the window of each that may have run.
  Millis begin_by(const Request& r) const {
    const RequestClass& c = c_.request_class(r.request_class);
    Millis by = std::numeric_limits<Millis>::infinity();
    for (const Attempt& a : r.attempts) by = a.may_have_run ? std::min(by, a.sent.at + c.dedup_window) : by;
    return c.effect == Effect::kKeyed ? by : std::numeric_limits<Millis>::infinity();
  }

  // Rule "no effect twice": after a keyed attempt that may have run only its group will do, in its window.
  bool in_group(const Request& r, BackendId i) const {
    const RequestClass& c = c_.request_class(r.request_class);
    if (c.effect != Effect::kKeyed) return true;
    for (const Attempt& a : r.attempts) {
      if (!a.may_have_run) continue;
      if (c_.now - a.sent.at >= c.dedup_window) return false;
      const BackendEntry &there = lists_[a.backend], &here = lists_[i];
      if (c.group == DedupGroup::kZone && here.zone != there.zone) return false;
      if (c.group == DedupGroup::kCell && (here.cell != there.cell || here.zone != there.zone)) return false;
    }
    return true;
  }

  // Whether the client may send it again.
  bool harmless(const Request& r) const { return bool(guard::may_refuse(state(r))); }

 private:
  // As the guard is to know it.
  guard::RequestState state(const Request& r) const {
    const RequestClass& c = c_.request_class(r.request_class);
    guard::RequestState state;
    state.run_once = c.effect == Effect::kUnsafe;
    state.refusal_repeats =
        c.effect == Effect::kSafe || (c.effect == Effect::kKeyed && c.group == DedupGroup::kAll);
    state.parallel = r.parallel;
    state.most_attempts = r.most_attempts;
    state.due = stop_at(r);
    state.attempts = static_cast<int>(r.attempts.size());
    state.out = static_cast<int>(r.out());
    state.may_have_run = r.may_have_run();
    state.retries_left = std::min(left_, allowed_);
    return state;
  }

  const Context& c_;
  const Lists& lists_;
  double left_ = kMostResends;
  double allowed_ = std::numeric_limits<double>::infinity();
};

}  // namespace shorelead::policy
