// Who is looked at for a request before it is sent, and for how long it is held for their news. It holds no
// state, and must never choose among those looked at.
#pragma once

#include "policy/backend_selector.h"
#include "policy/peer_exchange.h"

namespace shorelead::policy {

constexpr double kCrowdSteps = 4;    // a service time: old news is told apart no finer
constexpr Millis kMaxProbeWait = 8;  // longest that a request is held, where answers bring reports
constexpr int kOwnerQueries = 3;    // where only probes bring reports: whose keepers are asked in each round,
constexpr int kMaxProbeRounds = 2;  // and rounds for one request

struct ProbeBeforeSend {
  Millis max_wait(const Request& r) const {
    const Millis share = kProbeWaitShare * context_.request_class(r.request_class).aim;
    if (context_.probes_before_send()) return share;
    return confirmations_.list_outdated() ? std::max(share, kMaxProbeWait) : kMaxProbeWait;
  }

  // Adds some to those asked for the request, if there are any of use and it has the time.
  // Exception "look", with reports in answers: only if nobody in the rotation passes for want of fresh news.
  void add_candidates(Request& r) const {
    if (context_.now + max_wait(r) >= r.due) return;  // the news might come after the client's time
    const std::size_t old = r.candidates.size();
    if (context_.probes_before_send()) {
      if (r.probe_rounds >= kMaxProbeRounds) return;
      const std::size_t limit =
          old + static_cast<std::size_t>(context_.by_keepers ? kOwnerQueries : kProbesPerAttempt);
      r.key != 0 && context_.settings.warm_keys ? add_preferred_for_key(r, limit)
                                                : add_next_in_rotation(r, limit);
    } else if (confirmations_.list_outdated()) {
      const std::size_t limit =
          old + static_cast<std::size_t>(
                    context_.exceeds_probe_budget(kProbesPerAttempt) ? kProbesPerAttempt : kProbesPerRequest);
      while (r.probe_rounds < kMaxProbeRounds && r.candidates.size() < limit) {
        const auto i = unconfirmed_backend(r, true);
        if (!i) break;
        r.candidates.push_back(*i);
      }
    } else {
      const bool late = r.probe_rounds > 0 && context_.now > r.wait_until - kTimerTolerance;
      if (late || context_.exceeds_probe_budget((r.probe_rounds + 1) * kProbesPerRequest) ||
          !r.attempts.empty() || !context_.settings.probing)
        return;
      add_stalest(r, old + kProbesPerRequest);
    }
  }

  // While the list is out of date each request that is sent has one more backend checked, for those behind
  // it: so there are as many to choose from as the traffic needs. Where checks are dear, the few that a
  // request had to wait for will do.
  void check_one_more(const Request& r) const {
    if (!confirmations_.list_outdated() || context_.probes_before_send() ||
        context_.exceeds_probe_budget(kProbesPerAttempt))
      return;
    if (const auto i = unconfirmed_backend(r, false)) probes_.probe_on_demand(*i);
  }

  // Asks for news of a backend, its keeper or itself; true if that keeper is this node, and all is told.
  bool query(BackendId i) const {
    if (!context_.by_keepers) return probes_.probe_on_demand(i), false;
    return !peer_exchange_.reply_pending(i, 0) && peer_exchange_.query_owner(i);
  }
  // Whether an answer is to come once it was asked; and whether it is still worth waiting for.
  bool reply_expected(BackendId i) const { return !context_.by_keepers || peer_exchange_.queried(i); }
  bool reply_pending(BackendId i) const {
    return probes_.on_demand_pending(i) || peer_exchange_.reply_pending(i, kTimerTolerance);
  }

  Context& context_;
  const Lists& lists_;
  Probes& probes_;
  const Confirmations& confirmations_;
  Rotation& rotation_;
  PeerExchange& peer_exchange_;
  const estimate::Backends& estimates_;
  const BackendSelector& selector_;

 private:
  // One whose health check would let it have the request, from a place drawn anew; `under_way`: also one that
  // is being checked.
  std::optional<BackendId> unconfirmed_backend(const Request& r, bool under_way) const {
    const std::size_t count = lists_.size();
    const std::size_t start = count == 0 ? 0 : context_.random.below(count);
    for (std::size_t n = 0; n < count; ++n) {
      const auto i = static_cast<BackendId>((start + n) % count);
      if (r.is_candidate(i) || (!under_way && probes_.on_demand_pending(i))) continue;
      if (selector_.needs_check(r, i)) return i;
    }
    return std::nullopt;
  }

  // The next in the rotation; they lose their turns.
  void add_next_in_rotation(Request& r, std::size_t limit) const {
    rotation_.walk([&](BackendId i) {
      if (r.is_candidate(i) || !selector_.eligible(r, i)) return Rotation::Turn::kKept;
      r.candidates.push_back(i);
      return r.candidates.size() < limit ? Rotation::Turn::kLost : Rotation::Turn::kTaken;
    });
  }

  // Those in the rotation that a look may clear, the least crowded first; they keep their turns.
  void add_stalest(Request& r, std::size_t limit) const {
    std::vector<std::pair<double, BackendId>> stale;
    const std::deque<BackendId>& turns = rotation_.turns();
    for (std::size_t n = 0; n < std::min(turns.size(), kMaxCandidates); ++n) {
      const std::pair<double, BackendId> one{std::round(estimates_.crowd(turns[n], 1) * kCrowdSteps),
                                             turns[n]};
      const bool twice = std::find(stale.begin(), stale.end(), one) != stale.end();
      if (!twice && selector_.may_probe(one.second) && selector_.allowed(r, one.second)) stale.push_back(one);
    }
    std::stable_sort(stale.begin(), stale.end(), [](auto x, auto y) { return x.first < y.first; });
    for (std::size_t n = 0; n < stale.size() && r.candidates.size() < limit; ++n)
      r.candidates.push_back(stale[n].second);
  }

  // Exception "keys": those that most likely have met the key. Each node draws the same order for it, in
  // which a backend stands first as often as its share says (weighted rendezvous hashing).
  void add_preferred_for_key(Request& r, std::size_t limit) const {
    std::vector<std::pair<double, BackendId>> order;
    for (BackendId i = 0; i < lists_.size(); ++i) {
      const double share = rotation_.share(i);
      if (!rotation_.usable(i) || share <= 0 || r.is_candidate(i) || !selector_.eligible(r, i)) continue;
      Random draw(r.key ^ (lists_[i].tag * 0x9e3779b97f4a7c15ULL));
      order.emplace_back(-std::log(1 - draw.unit()) / share, i);
    }
    const std::size_t n = std::min(limit - r.candidates.size(), order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
    for (std::size_t k = 0; k < n; ++k) r.candidates.push_back(order[k].second);
  }
};

}  // namespace shorelead::policy
