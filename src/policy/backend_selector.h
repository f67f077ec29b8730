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
    0.35;                           // a pick expected to need more of the time left to the aim is passed over
constexpr double kWorthless = 0.5;  // of that time, that a request worth nothing beside the dearest may wait
constexpr double kWarmRank = 1.3;   // each further backend in a key's order must be so much better
constexpr double kMostQueue = 3;    // times the root of its cores that may wait at a backend
constexpr Millis kLookTime = 10;    // slower probes than this are not waited for
constexpr double kLookAge = 0.2;    // service times: a younger report is news enough

struct BackendSelector {
  // The next in the rotation, or the best of those looked at; and whether it is good enough without more
  // news.
  std::pair<std::optional<BackendId>, bool> pick(const Request& r) const {
    const Millis patience = kSkipShare * (r.aim_at - c_.now);
    if (const auto i = r.home.any() ? soonest(r, patience, true) : std::nullopt) return {i, true};
    if (!c_.looks_first()) {
      const std::optional<BackendId> i = next(r);
      return {i, i.has_value()};
    }
    const std::optional<BackendId> i = best_asked(r);
    return {i, i && suits(r, *i, patience)};
  }

  // The pick where no more news is to be had; none: the request is better turned away.
  std::optional<BackendId> settle(const Request& r, std::optional<BackendId> pick) const {
    if (pick && c_.looks_first() && !suits(r, *pick, admitted(r))) pick.reset();
    return pick || (c_.looks_first() && !r.asked.empty()) ? pick : soonest(r, admitted(r));
  }

  // The next in the rotation; or of few that are confirmed, of whom it soon has no turn left, the soonest.
  std::optional<BackendId> next(const Request& r) const {
    const std::optional<BackendId> i = propose(r);
    if (i || !confirmations_.list_outdated()) return i;
    return soonest(r, c_.too_dear(kFirstLooks) ? admitted(r) : kSkipShare * (r.aim_at - c_.now));
  }

  // The next in the rotation that may have it and can answer in time (exception "skip": it loses its turn).
  std::optional<BackendId> propose(const Request& r) const {
    const Millis patience = kSkipShare * (r.aim_at - c_.now);
    std::optional<BackendId> pick;
    rotation_.walk([&](BackendId i) {
      const bool may = allowed(r, i);
      if (may && expected(r, i) <= patience) return pick = i, Rotation::Turn::kTaken;
      // It keeps its turn for another request, as does one that a look may clear.
      return !may || may_look(i) ? Rotation::Turn::kKept : Rotation::Turn::kLost;
    });
    return pick;
  }

  bool allowed(const Request& r, BackendId i) const {
    return confirmations_.holds(i, c_.now) && eligible(r, i);
  }

  // A health check would let it have the request.
  bool unconfirmed(const Request& r, BackendId i) const {
    return c_.settings.probing && !confirmations_.holds(i, c_.now) && confirmations_.worth_a_check(i) &&
           rotation_.usable(i) && eligible(r, i);
  }

  // Whether it may have it by all but the age of the list.
  bool eligible(const Request& r, BackendId i) const {
    if (r.home.only && !r.home.has(lists_[i])) return false;
    for (const Attempt& a : r.attempts) {
      if (a.backend == i) return false;
    }
    if (health_.rests_for(i, r.request_class) || !retries_.in_group(r, i)) return false;
    return !known_.cold(i) || slow_start_.room(i);
  }

  // Whether any in the rotation may still have it.
  bool anybody(const Request& r) const {
    BackendId i = 0;
    while (i < lists_.size() && !(rotation_.usable(i) && allowed(r, i))) ++i;
    return i < lists_.size();
  }

  // Whether news of it, where answers bring reports, is old enough to ask for.
  bool may_look(BackendId i) const {
    const estimate::ResponseTimes& times = probes_.times(i);
    const estimate::Load& load = known_.load(i);
    return rotation_.usable(i) && known_.loads_told() && c_.now >= load.doubted_until &&
           (!times.known() || times.response() <= kLookTime) &&
           (load.others < 0 || c_.now - load.reported_at >= kLookAge * known_.mean_time());
  }

  Millis expected(const Request& r, BackendId i) const { return known_.expected(i, r.request_class, r.work); }

  Context& c_;
  const Lists& lists_;
  const Probes& probes_;
  const Confirmations& confirmations_;
  Rotation& rotation_;
  SlowStartBudgets& slow_start_;
  const Health& health_;
  const Retries& retries_;
  const estimate::Backends& known_;

 private:
  // Without a pick from the rotation: who is expected to answer first. Exception "admission": nobody, if even
  // that would be too late, since trying would only slow the others. Dropped backends are a last resort.
  // Exception "home": first of all the best of what it belongs to, where that is as good as the rotation's
  // next.
  std::optional<BackendId> soonest(const Request& r, Millis within, bool home = false) const {
    std::optional<BackendId> best;
    Millis least = 0;
    const std::size_t start = lists_.size() == 0 ? 0 : c_.random.below(lists_.size());
    std::size_t weighed = 0;
    for (std::size_t n = 0; n < lists_.size() && weighed < kMostWeighed; ++n) {
      const BackendId i = static_cast<BackendId>((start + n) % lists_.size());
      if (!lists_.ready(i) || !allowed(r, i) || (home && !r.home.has(lists_[i]))) continue;
      weighed += 1;
      const Millis expect = expected(r, i);
      const bool usable = rotation_.usable(i);
      const bool better = !best || (usable != rotation_.usable(*best) ? usable : expect < least);
      if (better) best = i, least = expect;
    }
    if (!best || least > within || (home && !rotation_.usable(*best))) return std::nullopt;
    rotation_.turn_taken_early(*best);
    return best;
  }

  // Who of those looked at is best, if there is one that may have the request.
  std::optional<BackendId> best_asked(const Request& r) const {
    std::optional<BackendId> best;
    std::tuple<bool, bool, Millis> least;
    double rank = 1;
    for (const BackendId i : r.asked) {
      if (!rotation_.usable(i) || !allowed(r, i)) continue;
      const Millis age = c_.now - known_.load(i).reported_at;
      const bool silent = age > 2 * kLookShare * c_.request_class(r.request_class).aim;
      const std::tuple<bool, bool, Millis> one{silent, full(r, i), expected(r, i) * rank};
      if (c_.settings.warm_keys && r.key != 0) rank *= kWarmRank;
      if (!best || one < least) best = i, least = one;
    }
    return best;
  }

  bool suits(const Request& r, BackendId i, Millis within) const {
    return !full(r, i) && expected(r, i) <= within;
  }

  // Exception "full": a backend with far more waiting than cores was seen to turn slow for long, so it gets
  // no more; what is worth little is turned away sooner, the more so the fuller the fleet.
  bool full(const Request& r, BackendId i) const {
    const double lanes = known_.load(i).lanes;
    const double most = kMostQueue * std::sqrt(lanes);
    const double crowded = std::min(1.0, known_.mean_others() / most);
    return known_.held(i) > lanes + most * (1 - (1 - value(r)) * crowded);
  }

  // Its worth beside the dearest class within its tenant's share, in time.
  double value(const Request& r) const {
    const RequestClass& c = c_.request_class(r.request_class);
    const double late = r.client_retry ? c.late_value : 1;  // its time for the aim ran with the first try
    const double worth = r.worth < 0 ? c.worth / c_.most_worth : r.worth;
    return worth * late * (r.over_share ? c_.settings.over_share_worth : 1);
  }

  // Exception "admission": an answer must be expected in this time, less for what is worth less.
  Millis admitted(const Request& r) const {
    return (kWorthless + (1 - kWorthless) * value(r)) * (r.aim_at - c_.now);
  }
};

}  // namespace shorelead::policy
