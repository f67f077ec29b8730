#include "estimate/backends.h"

#include <utility>
#include <vector>

namespace shorelead::estimate {
namespace {

// How long backends' own load reports are ignored after an owner's reply, which is newer.
constexpr Millis kPeerReportLifetime = 2000;
// Load, in mean requests, under which a response time is mostly network time and tells no service time.
constexpr double kMinMeasurableLoad = 0.5;
constexpr double kSettledAfter = 0.5;  // mean service times after which a load report must count an attempt
constexpr double kCrowdedUtilization = 0.8;  // share of busy cores over which requests wait for each other
constexpr double kRecordSeconds = 5;         // seconds of responses that a backend's own estimate holds
constexpr double kLossRateGain = 0.02;       // weight of one attempt in the share of lost attempts

}  // namespace

void Backends::reset(std::size_t i) {
  if (period_began_at_ <= 0) period_began_at_ = context_.now;
  BackendEstimate& e = estimates_[i];
  e = {e.started, e.size, std::move(e.own), {}, {}, 0};
  e.load.concurrency = concurrency_like_warm(e);
}

AttemptRecord Backends::sent(std::size_t i, int request_class, double work) {
  const AttemptRecord sent{request_class, work, context_.now, load_factor(i, work), warmth(i)};
  estimates_[i].own.add(context_.now, work, !context_.peers_report_load);
  return sent;
}

void Backends::learn(std::size_t i, const AttemptRecord& sent, Millis elapsed, bool served) {
  BackendEstimate& e = estimates_[i];
  const bool lost = !served && e.own.overtaken(sent.at);
  loss_rate_ += kLossRateGain * ((lost ? 1 : 0) - loss_rate_);
  if (lost) return;
  const bool crowded = sent.load_factor > sent.work || e.load.busy > kCrowdedUtilization;
  const Millis unloaded = elapsed / sent.load_factor * sent.warmth;
  times_.learn(e.service_time,
               {sent.request_class, unloaded, served, sent.warmth >= 1, crowded, context_.peers_report_load});
}

double Backends::service_time_ratio(const AttemptRecord& sent, Millis elapsed) const {
  return sent.load_factor < kMinMeasurableLoad
             ? 0
             : elapsed / sent.load_factor * sent.warmth / times_.class_mean(sent.request_class);
}

void Backends::reported(std::size_t i, const LoadReport& report) {
  if (context_.peers_report_load && context_.now - peer_reported_at_ < kPeerReportLifetime) return;
  BackendEstimate& e = estimates_[i];
  const Millis before = context_.now - kSettledAfter * times_.mean();
  load_.report(e.load, report, e.own.work(), context_.peers_report_load ? 0 : e.own.settled(before),
               context_.now);
}

void Backends::peer_reported(std::size_t i, double work, double held, double ratio) {
  BackendEstimate& e = estimates_[i];
  peer_reported_at_ = context_.now;
  load_.set_others(e.load, work, context_.now);
  e.held_by_others = held;
  if (ratio > 0) e.service_time.ratio = ratio, e.service_time.updated = true;
}

void Backends::close_period(const std::function<bool(std::size_t)>& in_use, std::size_t count, double share) {
  double concurrency = 0;
  double throughput = 0;
  double size = 0;
  std::vector<RelativeServiceTime*> service_times;
  for (std::size_t i = 0; i < count; ++i) {
    BackendEstimate& e = estimates_[i];
    if (!e.load.concurrency_known) e.load.concurrency = concurrency_like_warm(e);
    if (!in_use(i)) continue;
    service_times.push_back(&e.service_time);
    if (cold(e) || !e.load.concurrency_known) continue;
    concurrency += e.load.concurrency;
    // An overloaded backend is slow and so seems to work on more requests at once than it can.
    throughput += e.load.concurrency / std::max(1.0, e.service_time.ratio);
    size += e.size;
  }
  if (size > 0) concurrency_per_size_ = concurrency / size, throughput_per_size_ = throughput / size;
  times_.fade(rate() * share * kRecordSeconds, service_times, context_.peers_report_load);
  arrivals_.close_period();
  period_began_at_ = context_.now;
}

}  // namespace shorelead::estimate
