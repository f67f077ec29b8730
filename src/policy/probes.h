// When each backend is probed, and what came of it: ALBL's rounds, and looks out of turn. It must never judge
// a backend beyond saying that it did not answer.
#pragma once

#include <cmath>

#include "estimate/response_times.h"
#include "policy/lists.h"

namespace shorelead::policy {

constexpr double kProbeRoundCost = 0.0018;  // of the result, a request: what the probe rounds may cost
constexpr Millis kMaxProbeRound = 30000;    // every ready backend is probed within this, whatever the price
constexpr Millis kProbeTimeout = 250;       // a probe unanswered by then drops the backend for the period

class Probes {
 public:
  Probes(Context& context, const Lists& lists) : context_(context), lists_(lists) {}
  void reset(BackendId i) {
    ProbeRecord& p = records_[i];
    p = {p.pending, p.on_demand_pending, context_.now - context_.random.unit() * kMaxProbeRound, false, {}};
  }

  // Exception "round": at many nodes of little traffic a round of probes a period costs more than it earns,
  // so a round takes as long as keeps its price, spread over this node's own requests, within
  // kProbeRoundCost.
  void set_round_duration(double requests_a_second, double mean_share) {
    const Settings& s = context_.settings;
    const double cost = s.probe_price / mean_share * 1000 / kPeriod / requests_a_second;
    round_duration_ = std::clamp(cost / kProbeRoundCost * kPeriod, kPeriod, kMaxProbeRound);
    if (s.max_probes_per_second > 0)
      round_duration_ = std::max(round_duration_, 1000 / mean_share / s.max_probes_per_second);
    if (s.max_probes_per_backend > 0)
      round_duration_ = std::max(round_duration_, 1000 * context_.sharers / s.max_probes_per_backend);
  }

  // Probes go out when a round has passed since the backend's last one, so each keeps a phase of its own.
  void send_due() {
    // Under a ceiling, who comes too late for this tick is first in the next.
    const double ceiling = context_.settings.max_probes_per_second;
    const std::size_t count = lists_.size();
    double left =
        ceiling > 0 ? std::ceil(ceiling * kPeriod / kTicksPerPeriod / 1000) : static_cast<double>(count);
    const std::size_t start = ceiling > 0 ? next_first_ : 0;
    for (std::size_t n = 0; n < count && left > 0; ++n) {
      const BackendId i = static_cast<BackendId>((start + n) % count);
      ProbeRecord& p = records_[i];
      if (!lists_.ready(i) || p.pending || context_.now - p.sent_at < round_duration_ - kTimerTolerance)
        continue;
      left -= 1;
      next_first_ = i + std::size_t{1};
      p.pending = true;
      p.sent_at = context_.now;
      if (!p.on_demand_pending) context_.emit(SendProbe{i});  // else that answer will do
    }
  }

  // Out of turn.
  void probe_on_demand(BackendId i) {
    ProbeRecord& p = records_[i];
    if (std::exchange(p.on_demand_pending, true)) return;
    if (!p.pending) context_.emit(SendProbe{i});  // else that answer will do
    // A look at a backend that was not probed for a period is its probe as well.
    if (context_.now - p.sent_at >= kPeriod) p.pending = true, p.sent_at = context_.now;
  }
  bool on_demand_pending(BackendId i) const { return records_[i].on_demand_pending; }

  // An answer came, or none will; true if it counts for the round, where the rest of it is to be recorded.
  bool ended(BackendId i) {
    records_[i].on_demand_pending = false;
    return std::exchange(records_[i].pending, false);
  }
  void record(const ProbeEnded& e) {
    // One that this node had no descriptor for says nothing of the backend.
    if (e.outcome == Outcome::kNotSent) return;
    ProbeRecord& p = records_[e.backend];
    p.missed = e.outcome != Outcome::kServed || e.elapsed > kProbeTimeout;
    if (!p.missed) p.times.add(e.elapsed);
  }
  void mark_missed(BackendId i) { records_[i].missed = true; }
  bool unanswered(BackendId i) const {
    const ProbeRecord& p = records_[i];
    return context_.settings.probing &&
           (p.missed || (p.pending && context_.now - p.sent_at >= kProbeTimeout));
  }
  const estimate::ResponseTimes& times(BackendId i) const { return records_[i].times; }

 private:
  struct ProbeRecord {
    bool pending = false;
    bool on_demand_pending = false;  // asked out of turn
    Millis sent_at = 0;              // last probe that counts for its round
    bool missed = false;             // and it was not served in time
    estimate::ResponseTimes times;
  };
  Context& context_;
  const Lists& lists_;
  Grown<ProbeRecord> records_;
  Millis round_duration_ = kPeriod;  // time from one probe of a backend to the next
  std::size_t next_first_ = 0;       // where the next tick begins under a ceiling
};

}  // namespace shorelead::policy
