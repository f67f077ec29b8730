// When each backend is probed, and the results: the rounds of ALBL, and probes on demand for a request that
// waits. Judges a backend only by whether it answered in time.
#pragma once

#include <cmath>

#include "estimate/response_times.h"
#include "policy/lists.h"

namespace shorelead::policy {

constexpr double kProbeRoundCost = 0.0018;  // of the result, per request: what the probe rounds may cost
constexpr Millis kMaxProbeRound = 30000;    // every ready backend is probed within this, whatever the cost
// A backend that does not answer a probe within this is dropped for the period.
constexpr Millis kProbeTimeout = 250;

class Probes {
 public:
  Probes(Context& context, const Lists& lists) : context_(context), lists_(lists) {}
  void reset(BackendId backend) {
    ProbeRecord& p = records_[backend];
    p = {p.pending, p.on_demand_pending, context_.now - context_.random.unit() * kMaxProbeRound, false, {}};
  }

  // Exception "round": with many nodes and little traffic, a round of probes in each period costs more than
  // it gains. The round is lengthened until its cost per request of this node is at most kProbeRoundCost.
  void set_round_duration(double requests_a_second, double mean_share) {
    const Settings& s = context_.settings;
    const double cost = s.probe_price / mean_share * 1000 / kPeriod / requests_a_second;
    round_duration_ = std::clamp(cost / kProbeRoundCost * kPeriod, kPeriod, kMaxProbeRound);
    if (s.max_probes_per_second > 0)
      round_duration_ = std::max(round_duration_, 1000 / mean_share / s.max_probes_per_second);
    if (s.max_probes_per_backend > 0)
      round_duration_ =
          std::max(round_duration_, 1000 * context_.nodes_per_backend / s.max_probes_per_backend);
  }

  // Sends the probes that are due: a round has passed since the backend's last one. So each backend keeps its
  // own phase within the round.
  void send_due() {
    // With a ceiling, the next tick begins at the first backend for which no probe was left in this one.
    const double ceiling = context_.settings.max_probes_per_second;
    const std::size_t count = lists_.size();
    double left =
        ceiling > 0 ? std::ceil(ceiling * kPeriod / kTicksPerPeriod / 1000) : static_cast<double>(count);
    const std::size_t start = ceiling > 0 ? next_first_ : 0;
    for (std::size_t n = 0; n < count && left > 0; ++n) {
      const BackendId backend = static_cast<BackendId>((start + n) % count);
      ProbeRecord& p = records_[backend];
      if (!lists_.ready(backend) || p.pending || context_.now - p.sent_at < round_duration_ - kTimerTolerance)
        continue;
      left -= 1;
      next_first_ = backend + std::size_t{1};
      p.pending = true;
      p.sent_at = context_.now;
      if (!p.on_demand_pending)
        context_.emit(SendProbe{backend});  // otherwise the pending answer counts for both
    }
  }

  // Probes a backend outside its round.
  void probe_on_demand(BackendId backend) {
    ProbeRecord& p = records_[backend];
    if (std::exchange(p.on_demand_pending, true)) return;
    if (!p.pending) context_.emit(SendProbe{backend});  // otherwise the pending answer is used
    // Where the last probe of the round is a period old, this one counts for the round as well.
    if (context_.now - p.sent_at >= kPeriod) p.pending = true, p.sent_at = context_.now;
  }
  bool on_demand_pending(BackendId backend) const { return records_[backend].on_demand_pending; }

  // A probe has ended, with or without an answer. Returns true if it counts for the round; `record` is called
  // then.
  bool ended(BackendId backend) {
    records_[backend].on_demand_pending = false;
    return std::exchange(records_[backend].pending, false);
  }
  void record(const ProbeEnded& e) {
    // Where this node had no file descriptor for the probe, that says nothing about the backend.
    if (e.outcome == Outcome::kNotSent) return;
    ProbeRecord& p = records_[e.backend];
    p.missed = e.outcome != Outcome::kServed || e.elapsed > kProbeTimeout;
    if (!p.missed) p.times.add(e.elapsed);
  }
  void mark_missed(BackendId backend) { records_[backend].missed = true; }
  bool unanswered(BackendId backend) const {
    const ProbeRecord& p = records_[backend];
    return context_.settings.probing &&
           (p.missed || (p.pending && context_.now - p.sent_at >= kProbeTimeout));
  }
  const estimate::ResponseTimes& times(BackendId backend) const { return records_[backend].times; }

 private:
  struct ProbeRecord {
    bool pending = false;
    bool on_demand_pending = false;  // sent outside the round
    Millis sent_at = 0;              // of the last probe that counts for the round
    bool missed = false;             // it was not answered in time
    estimate::ResponseTimes times;
  };
  Context& context_;
  const Lists& lists_;
  GrowingVector<ProbeRecord> records_;
  Millis round_duration_ = kPeriod;  // time between two probes of the same backend
  std::size_t next_first_ = 0;       // where the next tick begins, with a ceiling
};

}  // namespace shorelead::policy
