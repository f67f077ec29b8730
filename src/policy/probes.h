// When each backend is probed, and what came of it: ALBL's rounds, and looks out of turn. It must never judge
// a backend beyond saying that it did not answer.
#pragma once

#include <cmath>

#include "estimate/response_times.h"
#include "policy/lists.h"

namespace shorelead::policy {

constexpr double kProbePoints = 0.0018;  // of the result, a request: what the probe rounds may cost
constexpr Millis kLongestRound = 30000;  // every ready backend is probed within this, whatever the price
constexpr Millis kProbeTimeout = 250;    // a probe unanswered by then drops the backend for the period

class Probes {
 public:
  Probes(Context& context, const Lists& lists) : c_(context), lists_(lists) {}
  void welcome(BackendId i) {
    Probed& p = of_[i];
    p = {p.out, p.look_out, c_.now - c_.random.unit() * kLongestRound, false, {}};
  }

  // Exception "round": at many nodes of little traffic a round of probes a period costs more than it earns,
  // so a round takes as long as keeps its price, spread over this node's own requests, within kProbePoints.
  void set_round(double requests_a_second, double mean_share) {
    const Settings& s = c_.settings;
    const double points = s.probe_price / mean_share * 1000 / kPeriod / requests_a_second;
    round_ = std::clamp(points / kProbePoints * kPeriod, kPeriod, kLongestRound);
    if (s.most_probes > 0) round_ = std::max(round_, 1000 / mean_share / s.most_probes);
    if (s.most_probes_backend > 0)
      round_ = std::max(round_, 1000 * c_.nodes_per_backend / s.most_probes_backend);
  }

  // Probes go out when a round has passed since the backend's last one, so each keeps a phase of its own.
  void send_due() {
    // Under a ceiling, who comes too late for this tick is first in the next.
    const double most = c_.settings.most_probes;
    const std::size_t count = lists_.size();
    double left = most > 0 ? std::ceil(most * kPeriod / kTicks / 1000) : static_cast<double>(count);
    const std::size_t start = most > 0 ? first_ : 0;
    for (std::size_t n = 0; n < count && left > 0; ++n) {
      const BackendId i = static_cast<BackendId>((start + n) % count);
      Probed& p = of_[i];
      if (!lists_.ready(i) || p.out || c_.now - p.asked_at < round_ - kTimerSlack) continue;
      left -= 1;
      first_ = i + std::size_t{1};
      p.out = true;
      p.asked_at = c_.now;
      if (!p.look_out) c_.act(SendProbe{i});  // else that answer will do
    }
  }

  // Out of turn.
  void look(BackendId i) {
    Probed& p = of_[i];
    if (std::exchange(p.look_out, true)) return;
    if (!p.out) c_.act(SendProbe{i});  // else that answer will do
    // A look at a backend that was not probed for a period is its probe as well.
    if (c_.now - p.asked_at >= kPeriod) p.out = true, p.asked_at = c_.now;
  }
  bool looked_at(BackendId i) const { return of_[i].look_out; }

  // An answer came, or none will; true if it counts for the round, where the rest of it is to be recorded.
  bool ended(BackendId i) {
    of_[i].look_out = false;
    return std::exchange(of_[i].out, false);
  }
  void record(const ProbeEnded& e) {
    // One that this node had no descriptor for says nothing of the backend.
    if (e.outcome == Outcome::kNotSent) return;
    Probed& p = of_[e.backend];
    p.missed = e.outcome != Outcome::kServed || e.elapsed > kProbeTimeout;
    if (!p.missed) p.times.add(e.elapsed);
  }
  void miss(BackendId i) { of_[i].missed = true; }
  bool silent(BackendId i) const {
    const Probed& p = of_[i];
    return c_.settings.probing && (p.missed || (p.out && c_.now - p.asked_at >= kProbeTimeout));
  }
  const estimate::ResponseTimes& times(BackendId i) const { return of_[i].times; }

 private:
  struct Probed {
    bool out = false;
    bool look_out = false;  // asked out of turn
    Millis asked_at = 0;    // last probe that counts for its round
    bool missed = false;    // and it was not served in time
    estimate::ResponseTimes times;
  };
  Context& c_;
  const Lists& lists_;
  GrowingVector<Probed> of_;
  Millis round_ = kPeriod;  // time from one probe of a backend to the next
  std::size_t first_ = 0;   // where the next tick begins under a ceiling
};

}  // namespace shorelead::policy
