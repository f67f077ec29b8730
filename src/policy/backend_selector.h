// Selects the backend for a request: the next in the rotation, with the exceptions "skip", "admission",
// "full", "home" and "probe before send". Holds no state, sends nothing and does not wait.
#pragma once

#include <tuple>

#include "policy/health.h"
#include "policy/retries.h"
#include "policy/rotation.h"

namespace shorelead::policy {

// Of the time left to the aim: a backend that is expected to need more is passed over.
constexpr double kSkipShare = 0.35;
// Of the time left to the aim: how long a request of no worth may take. One of the highest worth may take all
// of it.
constexpr double kMinWorthShare = 0.5;
// In the preference order of a key, each further backend must be better by this factor.
constexpr double kKeyRankFactor = 1.3;
// Times the square root of its lanes: how many requests may wait at a backend.
constexpr double kMaxQueueFactor = 3;
constexpr Millis kMaxProbeTime = 10;   // a backend whose probes take longer is not probed for a request
constexpr double kMinReportAge = 0.2;  // in mean service times: a younger report is recent enough

struct BackendSelector {
  // Returns the next in the rotation, or the best of the candidates that were probed, and whether it is good
  // enough without further reports.
  std::pair<std::optional<BackendId>, bool> pick(const Request& r) const {
    const Millis time_limit = kSkipShare * (r.aim_at - context_.now);
    if (const auto backend = r.home.is_set() ? lowest_expected_response(r, time_limit, true) : std::nullopt)
      return {backend, true};
    if (!context_.probes_before_send()) {
      const std::optional<BackendId> backend = next_in_rotation(r);
      return {backend, backend.has_value()};
    }
    const std::optional<BackendId> backend = best_candidate(r);
    return {backend, backend && meets_deadline(r, *backend, time_limit)};
  }

  // The choice where no further reports are to be had. None: the request is better refused.
  std::optional<BackendId> select_fallback(const Request& r, std::optional<BackendId> pick) const {
    if (pick && context_.probes_before_send() && !meets_deadline(r, *pick, admission_limit(r))) pick.reset();
    return pick || (context_.probes_before_send() && !r.candidates.empty())
               ? pick
               : lowest_expected_response(r, admission_limit(r));
  }

  // The next in the rotation that may have the request and is expected to answer in time. Exception "skip":
  // one that is not loses its turn.
  std::optional<BackendId> next_in_rotation(const Request& r) const {
    const Millis time_limit = kSkipShare * (r.aim_at - context_.now);
    std::optional<BackendId> pick;
    rotation_.visit_turns([&](BackendId backend) {
      const bool may = allowed(r, backend);
      if (may && expected_response(r, backend) <= time_limit) return pick = backend, Rotation::Turn::kTaken;
      // One that may not have this request keeps its turn for another, as does one that a probe may clear.
      return !may || may_probe(backend) ? Rotation::Turn::kKept : Rotation::Turn::kLost;
    });
    return pick;
  }

  // Whether it may get the request. While the list is outdated no backend may.
  bool allowed(const Request& r, BackendId backend) const {
    if (lists_.outdated()) return false;
    if (r.home.required && !r.home.contains(lists_[backend])) return false;
    for (const Attempt& a : r.attempts) {
      if (a.backend == backend) return false;
    }
    if (health_.ejected_for(backend, r.request_class) || !retries_.in_group(r, backend)) return false;
    return !estimates_.cold(backend) || slow_start_.has_budget(backend);
  }

  // Whether any backend in the rotation may still get the request.
  bool any_allowed(const Request& r) const {
    BackendId backend = 0;
    while (backend < lists_.size() && !(rotation_.usable(backend) && allowed(r, backend))) ++backend;
    return backend < lists_.size();
  }

  // Whether its last report, where reports come with answers, is old enough for a probe.
  bool may_probe(BackendId backend) const {
    const estimate::ResponseTimes& times = probes_.times(backend);
    const estimate::Load& load = estimates_.load(backend);
    return rotation_.usable(backend) && estimates_.loads_reported() &&
           context_.now >= load.distrusted_until && (!times.known() || times.response() <= kMaxProbeTime) &&
           (load.other_requests < 0 ||
            context_.now - load.reported_at >= kMinReportAge * estimates_.mean_time());
  }

  Millis expected_response(const Request& r, BackendId backend) const {
    return estimates_.expected_response(backend, r.request_class, r.work);
  }

  Context& context_;
  const Lists& lists_;
  const Probes& probes_;
  Rotation& rotation_;
  SlowStartBudgets& slow_start_;
  const Health& health_;
  const Retries& retries_;
  const estimate::Backends& estimates_;

 private:
  // The allowed backend with the lowest expected response time; dropped ones only if there is no other.
  // Exception "admission": none if even that is above `within`, as the attempt would only slow the others.
  // Exception "home": with `home`, only backends that the request is bound to, and none that was dropped;
  // these are tried before the rotation.
  std::optional<BackendId> lowest_expected_response(const Request& r, Millis within,
                                                    bool home = false) const {
    std::optional<BackendId> best;
    Millis lowest = 0;
    const std::size_t start = lists_.size() == 0 ? 0 : context_.random.below(lists_.size());
    std::size_t visited = 0;
    for (std::size_t n = 0; n < lists_.size() && visited < kMaxCandidates; ++n) {
      const BackendId backend = static_cast<BackendId>((start + n) % lists_.size());
      if (!lists_.ready(backend) || !allowed(r, backend) || (home && !r.home.contains(lists_[backend])))
        continue;
      visited += 1;
      const Millis expect = expected_response(r, backend);
      const bool usable = rotation_.usable(backend);
      const bool better = !best || (usable != rotation_.usable(*best) ? usable : expect < lowest);
      if (better) best = backend, lowest = expect;
    }
    if (!best || lowest > within || (home && !rotation_.usable(*best))) return std::nullopt;
    rotation_.charge_turn(*best);
    return best;
  }

  // The best of the probed candidates that may get the request.
  std::optional<BackendId> best_candidate(const Request& r) const {
    std::optional<BackendId> best;
    std::tuple<bool, bool, Millis> lowest;
    double rank = 1;
    for (const BackendId backend : r.candidates) {
      if (!rotation_.usable(backend) || !allowed(r, backend)) continue;
      const Millis age = context_.now - estimates_.load(backend).reported_at;
      const bool silent = age > 2 * kProbeWaitShare * context_.request_class(r.request_class).aim;
      const std::tuple<bool, bool, Millis> candidate{silent, full(r, backend),
                                                     expected_response(r, backend) * rank};
      if (context_.settings.warm_keys && r.key != 0) rank *= kKeyRankFactor;
      if (!best || candidate < lowest) best = backend, lowest = candidate;
    }
    return best;
  }

  bool meets_deadline(const Request& r, BackendId backend, Millis within) const {
    return !full(r, backend) && expected_response(r, backend) <= within;
  }

  // Exception "full": a backend with many more requests waiting than it has lanes becomes slow for a long
  // time, so it gets no more. Requests of low worth are refused earlier, the more so the higher the load of
  // the fleet.
  bool full(const Request& r, BackendId backend) const {
    const double lanes = estimates_.load(backend).concurrency;
    const double max_waiting = kMaxQueueFactor * std::sqrt(lanes);
    const double load_share = std::min(1.0, estimates_.mean_other_requests() / max_waiting);
    return estimates_.in_flight(backend) > lanes + max_waiting * (1 - (1 - relative_worth(r)) * load_share);
  }

  // Its worth relative to the highest class, considering its tenant's share and whether the client repeats
  // it.
  double relative_worth(const Request& r) const {
    const RequestClass& c = context_.request_class(r.request_class);
    const double late = r.client_retry ? c.late_value : 1;  // the first try has used up the time to the aim
    const double worth = r.worth < 0 ? c.worth / context_.max_worth : r.worth;
    return worth * late * (r.over_share ? context_.settings.over_share_worth : 1);
  }

  // Exception "admission": the answer must be expected within this time, which is shorter for requests of low
  // worth.
  Millis admission_limit(const Request& r) const {
    return (kMinWorthShare + (1 - kMinWorthShare) * relative_worth(r)) * (r.aim_at - context_.now);
  }
};

}  // namespace shorelead::policy
