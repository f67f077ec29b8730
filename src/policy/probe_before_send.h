// Which backends are probed for a request before it is sent, and how long it waits for their reports. Holds
// no state. The choice among them is the selector's.
#pragma once

#include "policy/backend_selector.h"
#include "policy/peer_exchange.h"

namespace shorelead::policy {

// Steps per service time in which expected loads are compared: old reports are no more precise.
constexpr double kCrowdSteps = 4;
constexpr Millis kMaxProbeWait = 8;  // longest wait for probes where reports come with answers
constexpr int kOwnerQueries = 3;     // backends whose owners are queried in each round
constexpr int kMaxProbeRounds = 2;   // rounds of probes or queries for one request

struct ProbeBeforeSend {
  Millis max_wait(const Request& r) const {
    return context_.probes_before_send() ? kProbeWaitShare * context_.request_class(r.request_class).aim
                                         : kMaxProbeWait;
  }

  // Adds candidates to those probed for the request, if any are of use and there is time.
  // Exception "probe before send", where reports come with answers: only if no backend in the rotation is
  // accepted for want of a recent report.
  void add_candidates(Request& r) const {
    if (context_.now + max_wait(r) >= r.due) return;  // the reports might arrive after the deadline
    const std::size_t old = r.candidates.size();
    if (context_.probes_before_send()) {
      if (r.probe_rounds >= kMaxProbeRounds) return;
      const std::size_t limit =
          old + static_cast<std::size_t>(context_.peers_report_load ? kOwnerQueries : kProbesPerAttempt);
      r.key != 0 && context_.settings.warm_keys ? add_preferred_for_key(r, limit)
                                                : add_next_in_rotation(r, limit);
    } else {
      const bool late = r.probe_rounds > 0 && context_.now > r.wait_until - kTimerTolerance;
      if (late || context_.exceeds_probe_budget((r.probe_rounds + 1) * kProbesPerRequest) ||
          !r.attempts.empty() || !context_.settings.probing)
        return;
      add_stalest(r, old + kProbesPerRequest);
    }
  }

  // Requests a report on a backend: probes it, or queries its owner. Returns true if that owner is this node,
  // so that the answer is known already.
  bool query(BackendId backend) const {
    if (!context_.peers_report_load) return probes_.probe_on_demand(backend), false;
    return !peer_exchange_.reply_pending(backend, 0) && peer_exchange_.query_owner(backend);
  }
  // Whether an answer will come at all; and whether it is still worth waiting for.
  bool reply_expected(BackendId backend) const {
    return !context_.peers_report_load || peer_exchange_.queried(backend);
  }
  bool reply_pending(BackendId backend) const {
    return probes_.on_demand_pending(backend) || peer_exchange_.reply_pending(backend, kTimerTolerance);
  }

  Context& context_;
  const Lists& lists_;
  Probes& probes_;
  Rotation& rotation_;
  PeerExchange& peer_exchange_;
  const estimate::Backends& estimates_;
  const BackendSelector& selector_;

 private:
  // Adds the next in the rotation, which lose their turns.
  void add_next_in_rotation(Request& r, std::size_t limit) const {
    rotation_.visit_turns([&](BackendId backend) {
      if (r.is_candidate(backend) || !selector_.allowed(r, backend)) return Rotation::Turn::kKept;
      r.candidates.push_back(backend);
      return r.candidates.size() < limit ? Rotation::Turn::kLost : Rotation::Turn::kTaken;
    });
  }

  // Adds those in the rotation that a probe may clear, the least loaded first. They keep their turns.
  void add_stalest(Request& r, std::size_t limit) const {
    std::vector<std::pair<double, BackendId>> stale;
    const std::deque<BackendId>& turns = rotation_.turns();
    for (std::size_t n = 0; n < std::min(turns.size(), kMaxCandidates); ++n) {
      const std::pair<double, BackendId> one{std::round(estimates_.load_factor(turns[n], 1) * kCrowdSteps),
                                             turns[n]};
      const bool twice = std::find(stale.begin(), stale.end(), one) != stale.end();
      if (!twice && selector_.may_probe(one.second) && selector_.allowed(r, one.second)) stale.push_back(one);
    }
    std::stable_sort(stale.begin(), stale.end(), [](auto x, auto y) { return x.first < y.first; });
    for (std::size_t n = 0; n < stale.size() && r.candidates.size() < limit; ++n)
      r.candidates.push_back(stale[n].second);
  }

  // Exception "keys": adds the backends that have most likely handled the key before. All nodes compute the
  // same order for a key, in which each backend comes first as often as its share says (weighted rendezvous
  // hashing).
  void add_preferred_for_key(Request& r, std::size_t limit) const {
    std::vector<std::pair<double, BackendId>> order;
    for (BackendId backend = 0; backend < lists_.size(); ++backend) {
      const double share = rotation_.share(backend);
      if (!rotation_.usable(backend) || share <= 0 || r.is_candidate(backend) ||
          !selector_.allowed(r, backend))
        continue;
      Random draw(r.key ^ (lists_[backend].tag * 0x9e3779b97f4a7c15ULL));
      order.emplace_back(-std::log(1 - draw.unit()) / share, backend);
    }
    const std::size_t n = std::min(limit - r.candidates.size(), order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
    for (std::size_t k = 0; k < n; ++k) r.candidates.push_back(order[k].second);
  }
};

}  // namespace shorelead::policy
