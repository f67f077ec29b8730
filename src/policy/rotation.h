// The shares of ALBL and the weighted rotation built from them. Owns each backend's share, credit and turns.
// Knows nothing about requests: the visitor passed to visit_turns() decides who takes a turn.
#pragma once

#include <deque>

#include "base/numbers.h"
#include "policy/probes.h"

namespace shorelead::policy {

// Milliseconds. Lies above ordinary probe times, so that Equation 5 applies while no backend is loaded.
constexpr Millis kResponseThreshold = 150;
// Equation 6: lower bound of (response - delay), relative to its median.
constexpr double kDifferenceFloor = 0.5;
constexpr double kShareCap = 1.5;             // upper bound of a share, relative to the mean share
constexpr std::size_t kNewBackendProbes = 3;  // up to this many probes a backend gets at most the mean share
constexpr double kCreditTolerance = 1e-9;    // rounding tolerance when a credit is compared with a whole turn
constexpr Millis kMinTimeDifference = 0.01;  // lower bound of a time difference, so that no share is infinite

class Rotation {
 public:
  Rotation(Context& context, const Lists& lists, const Probes& probes)
      : context_(context), lists_(lists), probes_(probes) {}
  void reset(BackendId backend) { records_[backend] = {mean_share_, 0, false}; }
  void remove(BackendId backend) { records_[backend].share = records_[backend].credit = 0; }
  // Starts a new period: drops the backends that did not answer, computes the shares of the others by
  // Equation 5 or 6, and refills the rotation.
  void renew_shares() {
    std::vector<BackendId> ready;
    std::size_t missed = 0;
    for (BackendId backend = 0; backend < lists_.size(); ++backend) {
      if (!lists_.ready(backend)) continue;
      ready.push_back(backend);
      records_[backend].dropped = probes_.unanswered(backend);
      missed += records_[backend].dropped;
    }
    if (missed * 2 > ready.size()) {
      // If more than half did not answer, the cause is more likely this node or its network than the
      // backends: keep the last shares.
      for (const BackendId backend : ready) records_[backend].dropped = false;
    } else {
      compute_shares(ready);
    }
    // Unused turns are returned as credit. A new round is earned only when less than half of one is left.
    const bool earn = turns_.size() * 2 < lists_.size();
    for (const BackendId backend : turns_) records_[backend].credit += 1;
    turns_.clear();
    add_round(earn);
  }

  // Excludes a backend until the next period.
  void drop(BackendId backend) { records_[backend].dropped = true; }
  bool usable(BackendId backend) const { return lists_.ready(backend) && !records_[backend].dropped; }
  double share(BackendId backend) const { return records_[backend].share; }
  double mean_share() const { return mean_share_; }
  const std::deque<BackendId>& turns() const { return turns_; }
  void charge_turn(BackendId backend) { records_[backend].credit -= 1; }

  // Visits the turns in order, appending another round at the end, until `visit` takes a turn.
  // kTaken: the turn is used. kKept: it stays for another request. kLost: it is given up.
  enum class Turn { kTaken, kKept, kLost };
  template <typename Visit>
  void visit_turns(Visit visit) {
    std::size_t visited = 0;
    for (int round = 0; round < 2 && visited < kMaxCandidates; ++round) {
      std::size_t kept = 0;
      bool taken = false;
      std::size_t n = 0;
      for (; n < turns_.size() && visited < kMaxCandidates && !taken; ++n) {
        const BackendId backend = turns_[n];
        if (!usable(backend)) continue;
        ++visited;
        const Turn turn = visit(backend);
        if (turn == Turn::kKept) turns_[kept++] = backend;
        taken = turn == Turn::kTaken;
      }
      // The turns from `kept` up to `n` are used up. Costs O(kept), as a deque erases from its nearer end.
      const auto at = [this](std::size_t t) { return turns_.begin() + static_cast<std::ptrdiff_t>(t); };
      turns_.erase(at(kept), at(n));
      if (taken) return;
      if (visited < kMaxCandidates && kept < lists_.size()) add_round(true);
    }
  }

 private:
  struct ShareRecord {
    double share = 0;
    double credit = 0;
    bool dropped = false;
  };

  void compute_shares(const std::vector<BackendId>& ready) {
    std::vector<BackendId> included;
    std::vector<double> differences;
    bool quiet = false;
    for (const BackendId backend : ready) {
      const estimate::ResponseTimes& times = probes_.times(backend);
      if (!records_[backend].dropped) included.push_back(backend);
      if (records_[backend].dropped || !times.known()) continue;
      quiet = quiet || times.response() < kResponseThreshold;
      differences.push_back(times.response() - times.delay());
    }
    const double floor = std::max(kMinTimeDifference, kDifferenceFloor * median(differences));
    double sum = 0;
    for (const BackendId backend : included) {
      if (!probes_.times(backend).known()) continue;
      const Millis response = probes_.times(backend).response();
      const Millis delay = probes_.times(backend).delay();
      records_[backend].share =
          lists_[backend].size / (delay * (quiet ? response : std::max(response - delay, floor)));
      sum += records_[backend].share;
    }
    for (const BackendId backend : included) {
      if (!probes_.times(backend).known())
        records_[backend].share = sum > 0 ? sum / static_cast<double>(differences.size()) : 1;
    }
    const double mean = mean_share_ = 1.0 / std::max(1.0, static_cast<double>(included.size()));
    std::vector<double> shares;
    std::vector<double> bounds;
    for (const BackendId backend : included) {
      shares.push_back(records_[backend].share);
      bounds.push_back(mean * (probes_.times(backend).probes() <= kNewBackendProbes ? 1.0 : kShareCap));
    }
    scale_to_one(shares, bounds);
    for (std::size_t n = 0; n < included.size(); ++n) records_[included[n]].share = shares[n];
  }

  // Appends one round to the rotation: each backend earns its share of as many turns as there are backends.
  void add_round(bool earn) {
    const std::size_t old = turns_.size();
    std::size_t count = 0;
    for (BackendId backend = 0; backend < lists_.size(); ++backend) count += usable(backend) ? 1 : 0;
    for (BackendId backend = 0; backend < lists_.size(); ++backend) {
      ShareRecord& record = records_[backend];
      double& credit = record.credit;
      if (!usable(backend)) {
        credit = 0;
        continue;
      }
      // Bounded on both sides, so that a backend neither hoards turns nor is excluded for long after turns
      // that were taken early.
      if (earn)
        credit = std::clamp(credit + record.share * static_cast<double>(count), -1.0, 1.0 + kShareCap);
      for (; credit > 1 - kCreditTolerance; credit -= 1) turns_.push_back(backend);
    }
    for (std::size_t n = turns_.size() - old; n > 1; --n) {
      std::swap(turns_[old + n - 1], turns_[old + context_.random.below(n)]);
    }
  }

  Context& context_;
  const Lists& lists_;
  const Probes& probes_;
  GrowingVector<ShareRecord> records_;
  std::deque<BackendId> turns_;
  double mean_share_ = 1;  // of the backends in the rotation
};

}  // namespace shorelead::policy
