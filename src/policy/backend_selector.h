// Which backend a request goes to, of those that may have it: the rotation's next, with the exceptions
// "skip", "admission", "full" and "look first". It holds no state, and must never send nor wait for news.
#pragma once

#include <tuple>

#include "policy/confirmations.h"
#include "policy/health.h"
#include "policy/retries.h"
#include "policy/rotation.h"

namespace shorelead::policy {

constexpr double kSkipShare =
    0.35;  // a pick expected to need more of the time left to the aim is passed over
constexpr double kMinWorthShare =
    0.5;  // of that time, that a request worth nothing beside the dearest may wait
constexpr double kKeyRankFactor = 1.3;  // each further backend in a key's order must be so much better
constexpr double kMaxQueueFactor = 3;   // times the root of its cores that may wait at a backend
constexpr Millis kMaxProbeTime = 10;    // slower probes than this are not waited for
constexpr double kMinReportAge = 0.2;   // service times: a younger report is news enough

struct BackendSelector {
  // The next in the rotation, or the best of those looked at; and whether it is good enough without more
  // news.
  std::pair<std::optional<BackendId>, bool> pick(const Request& r) const {
    const Millis time_limit = kSkipShare * (r.aim_at - context_.now);
    if (const auto i = r.home.is_set() ? lowest_expected_response(r, time_limit, true) : std::nullopt)
      return {i, true};
    if (!context_.probes_before_send()) {
      const std::optional<BackendId> i = next_backend(r);
      return {i, i.has_value()};
    }
    const std::optional<BackendId> i = best_candidate(r);
    return {i, i && meets_deadline(r, *i, time_limit)};
  }

  // The pick where no more news is to be had; none: the request is better turned away.
  std::optional<BackendId> select_fallback(const Request& r, std::optional<BackendId> pick) const {
    if (pick && context_.probes_before_send() && !meets_deadline(r, *pick, admission_limit(r))) pick.reset();
    return pick || (context_.probes_before_send() && !r.candidates.empty())
               ? pick
               : lowest_expected_response(r, admission_limit(r));
  }

  // The next in the rotation; or of few that are confirmed, of whom it soon has no turn left, the soonest.
  std::optional<BackendId> next_backend(const Request& r) const {
    const std::optional<BackendId> i = next_in_rotation(r);
    if (i || !confirmations_.list_outdated()) return i;
    return lowest_expected_response(r, context_.exceeds_probe_budget(kProbesPerAttempt)
                                           ? admission_limit(r)
                                           : kSkipShare * (r.aim_at - context_.now));
  }

  // The next in the rotation that may have it and can answer in time (exception "skip": it loses its turn).
  std::optional<BackendId> next_in_rotation(const Request& r) const {
    const Millis time_limit = kSkipShare * (r.aim_at - context_.now);
    std::optional<BackendId> pick;
    rotation_.walk([&](BackendId i) {
      const bool may = allowed(r, i);
      if (may && expected_response(r, i) <= time_limit) return pick = i, Rotation::Turn::kTaken;
      // It keeps its turn for another request, as does one that a look may clear.
      return !may || may_probe(i) ? Rotation::Turn::kKept : Rotation::Turn::kLost;
    });
    return pick;
  }

  bool allowed(const Request& r, BackendId i) const {
    return confirmations_.confirmed(i, context_.now) && eligible(r, i);
  }

  // A health check would let it have the request.
  bool needs_check(const Request& r, BackendId i) const {
    return context_.settings.probing && !confirmations_.confirmed(i, context_.now) &&
           confirmations_.may_check(i) && rotation_.usable(i) && eligible(r, i);
  }

  // Whether it may have it by all but the age of the list.
  bool eligible(const Request& r, BackendId i) const {
    if (r.home.required && !r.home.contains(lists_[i])) return false;
    for (const Attempt& a : r.attempts) {
      if (a.backend == i) return false;
    }
    if (health_.ejected_for(i, r.request_class) || !retries_.in_group(r, i)) return false;
    return !estimates_.cold(i) || slow_start_.has_budget(i);
  }

  // Whether any in the rotation may still have it.
  bool any_allowed(const Request& r) const {
    BackendId i = 0;
    while (i < lists_.size() && !(rotation_.usable(i) && allowed(r, i))) ++i;
    return i < lists_.size();
  }

  // Whether news of it, where answers bring reports, is old enough to ask for.
  bool may_probe(BackendId i) const {
    const estimate::ResponseTimes& times = probes_.times(i);
    const estimate::Load& load = estimates_.load(i);
    return rotation_.usable(i) && estimates_.loads_told() && context_.now >= load.doubted_until &&
           (!times.known() || times.response() <= kMaxProbeTime) &&
           (load.others < 0 || context_.now - load.reported_at >= kMinReportAge * estimates_.mean_time());
  }

  Millis expected_response(const Request& r, BackendId i) const {
    return estimates_.expected(i, r.request_class, r.work);
  }

  Context& context_;
  const Lists& lists_;
  const Probes& probes_;
  const Confirmations& confirmations_;
  Rotation& rotation_;
  SlowStartBudgets& slow_start_;
  const Health& health_;
  const Retries& retries_;
  const estimate::Backends& estimates_;

 private:
  // Without a pick from the rotation: who is expected to answer first. Exception "admission": nobody, if even
  // that would be too late, since trying would only slow the others. Dropped backends are a last resort.
  // Exception "home": first of all the best of what it belongs to, where that is as good as the rotation's
  // next.
  std::optional<BackendId> lowest_expected_response(const Request& r, Millis within,
                                                    bool home = false) const {
    std::optional<BackendId> best;
    Millis lowest = 0;
    const std::size_t start = lists_.size() == 0 ? 0 : context_.random.below(lists_.size());
    std::size_t visited = 0;
    for (std::size_t n = 0; n < lists_.size() && visited < kMaxCandidates; ++n) {
      const BackendId i = static_cast<BackendId>((start + n) % lists_.size());
      if (!lists_.ready(i) || !allowed(r, i) || (home && !r.home.contains(lists_[i]))) continue;
      visited += 1;
      const Millis expect = expected_response(r, i);
      const bool usable = rotation_.usable(i);
      const bool better = !best || (usable != rotation_.usable(*best) ? usable : expect < lowest);
      if (better) best = i, lowest = expect;
    }
    if (!best || lowest > within || (home && !rotation_.usable(*best))) return std::nullopt;
    rotation_.charge_turn(*best);
    return best;
  }

  // Who of those looked at is best, if there is one that may have the request.
  std::optional<BackendId> best_candidate(const Request& r) const {
    std::optional<BackendId> best;
    std::tuple<bool, bool, Millis> lowest;
    double rank = 1;
    for (const BackendId i : r.candidates) {
      if (!rotation_.usable(i) || !allowed(r, i)) continue;
      const Millis age = context_.now - estimates_.load(i).reported_at;
      const bool silent = age > 2 * kProbeWaitShare * context_.request_class(r.request_class).aim;
      const std::tuple<bool, bool, Millis> candidate{silent, full(r, i), expected_response(r, i) * rank};
      if (context_.settings.warm_keys && r.key != 0) rank *= kKeyRankFactor;
      if (!best || candidate < lowest) best = i, lowest = candidate;
    }
    return best;
  }

  bool meets_deadline(const Request& r, BackendId i, Millis within) const {
    return !full(r, i) && expected_response(r, i) <= within;
  }

  // Exception "full": a backend with far more waiting than cores was seen to turn slow for long, so it gets
  // no more; what is worth little is turned away sooner, the more so the fuller the fleet.
  bool full(const Request& r, BackendId i) const {
    const double lanes = estimates_.load(i).lanes;
    const double max_waiting = kMaxQueueFactor * std::sqrt(lanes);
    const double crowded = std::min(1.0, estimates_.mean_others() / max_waiting);
    return estimates_.held(i) > lanes + max_waiting * (1 - (1 - relative_worth(r)) * crowded);
  }

  // Its worth beside the dearest class within its tenant's share, in time.
  double relative_worth(const Request& r) const {
    const RequestClass& c = context_.request_class(r.request_class);
    const double late = r.client_retry ? c.late_value : 1;  // its time for the aim ran with the first try
    const double worth = r.worth < 0 ? c.worth / context_.max_worth : r.worth;
    return worth * late * (r.over_share ? context_.settings.over_share_worth : 1);
  }

  // Exception "admission": an answer must be expected in this time, less for what is worth less.
  Millis admission_limit(const Request& r) const {
    return (kMinWorthShare + (1 - kMinWorthShare) * relative_worth(r)) * (r.aim_at - context_.now);
  }
};

}  // namespace shorelead::policy
