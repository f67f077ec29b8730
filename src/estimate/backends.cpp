#include "estimate/backends.h"

#include <utility>
#include <vector>

namespace shorelead::estimate {
namespace {

constexpr Millis kToldLife = 2000;     // reports are passed over for so long after a keeper answered
constexpr double kLeastTold = 0.5;     // mean requests: a shorter stay tells no speed, but of the way there
constexpr double kSettled = 0.5;       // service times after which a report must count an attempt
constexpr double kCrowdedShare = 0.8;  // busier than this, a backend's answers wait for each other
constexpr double kRecordSpan = 5;      // seconds: a backend's own record holds what came in them
constexpr double kLosingGain = 0.02;   // weight of one attempt in the share that is lost

}  // namespace

void Backends::welcome(std::size_t i) {
  if (closed_at_ <= 0) closed_at_ = v_.now;
  Figures& f = of_[i];
  f = {f.started, f.size, std::move(f.own), {}, {}, 0};
  f.load.lanes = lanes_like_warm(f);
}

Sent Backends::sent(std::size_t i, int request_class, double work) {
  const Sent sent{request_class, work, v_.now, crowd(i, work), warmth(i)};
  of_[i].own.add(v_.now, work, !v_.peers_report_load);
  return sent;
}

void Backends::learn(std::size_t i, const Sent& sent, Millis elapsed, bool served) {
  Figures& f = of_[i];
  const bool lost = !served && f.own.overtaken(sent.at);
  losing_ += kLosingGain * ((lost ? 1 : 0) - losing_);
  if (lost) return;
  const bool crowded = sent.crowd > sent.work || f.load.busy > kCrowdedShare;
  const Millis alone = elapsed / sent.crowd * sent.warmth;
  times_.learn(f.speed, {sent.request_class, alone, served, sent.warmth >= 1, crowded, v_.peers_report_load});
}

double Backends::ratio(const Sent& sent, Millis elapsed) const {
  return sent.crowd < kLeastTold ? 0 : elapsed / sent.crowd * sent.warmth / times_.usual(sent.request_class);
}

// A report that leaves out requests which this node has had there for long is wrong.
void Backends::reported(std::size_t i, const LoadReport& report) {
  if (v_.peers_report_load && v_.now - told_at_ < kToldLife) return;  // keepers' word is newer
  Figures& f = of_[i];
  const Millis before = v_.now - kSettled * times_.mean();
  load_.report(f.load, report, f.own.work(), v_.peers_report_load ? 0 : f.own.settled(before), v_.now);
}

void Backends::told(std::size_t i, double work, double held, double ratio) {
  Figures& f = of_[i];
  told_at_ = v_.now;
  load_.tell(f.load, work, v_.now);
  f.others_held = held;
  if (ratio > 0) f.speed.ratio = ratio, f.speed.heard = true;
}

void Backends::close_period(const std::function<bool(std::size_t)>& in_use, std::size_t count, double share) {
  double lanes = 0;
  double pace = 0;
  double size = 0;
  std::vector<Speed*> speeds;
  for (std::size_t i = 0; i < count; ++i) {
    Figures& f = of_[i];
    if (!f.load.lanes_known) f.load.lanes = lanes_like_warm(f);
    if (!in_use(i)) continue;
    speeds.push_back(&f.speed);
    if (cold(f) || !f.load.lanes_known) continue;
    lanes += f.load.lanes;
    // A backend that is slow for being crowded only seems to work on more at once.
    pace += f.load.lanes / std::max(1.0, f.speed.ratio);
    size += f.size;
  }
  if (size > 0) lanes_per_size_ = lanes / size, pace_per_size_ = pace / size;
  times_.fade(rate() * share * kRecordSpan, speeds, v_.peers_report_load);
  arrivals_.close_period();
  closed_at_ = v_.now;
}

}  // namespace shorelead::estimate
