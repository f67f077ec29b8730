// Estimates of each backend's load, service time and warmth, and of the response time that follows from them.
// Also counts this node's attempts in flight at each backend and the rate of requests. Selects no backend.
// Backends and request classes are identified by dense numbers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>

#include "base/growing_vector.h"
#include "estimate/load.h"
#include "estimate/own_attempts.h"
#include "estimate/request_rate.h"
#include "estimate/service_times.h"

namespace shorelead::estimate {

// The time of the current event and the settings that the estimates depend on.
struct EstimateContext {
  Millis now = 0;
  Millis period = 1000;          // close_period() is called once per period
  Millis warm_up = 0;            // a backend is warm at the latest this long after its start
  double cold_share = 1;         // least share of its full speed that a backend has at its start
  double nodes_per_backend = 1;  // nodes that send requests to each backend
  // Backends' owners report load and speed; else load reports and responses do.
  bool peers_report_load = false;
  bool reports_rare = false;  // probes are too expensive, so a backend's load is reported once in seconds
};

// What is kept of an attempt so that its response can be evaluated.
struct AttemptRecord {
  int request_class = 0;
  double work = 1;         // mean requests
  Millis at = 0;           // when it was sent
  double load_factor = 1;  // of the backend then, with this attempt
  double warmth = 1;       // of the backend then: its share of full speed
};

class Backends {
 public:
  // Keeps a reference to `context`. `guess`: mean service time until the first response.
  Backends(const EstimateContext& context, Millis guess, std::size_t classes)
      : context_(context), times_(guess) {
    set_classes(classes);
  }
  void set_classes(std::size_t count) { times_.set_classes(count); }

  // ---- events ----
  void listed(std::size_t i, Millis started, double size) {
    estimates_[i].started = started, estimates_[i].size = size;
  }
  // The backend is new or has returned: discards all estimates of it but the count of own attempts.
  void reset(std::size_t i);
  // A request arrived. Returns its work in mean requests, by its hint if that is over 0.
  double arrived(double expected_work) {
    arrivals_.add();
    return expected_work > 0 ? times_.hinted(expected_work) : 1;
  }
  AttemptRecord sent(std::size_t i, int request_class, double work);
  void overdue(std::size_t i, Millis sent) { estimates_[i].own.overdue(sent, !context_.peers_report_load); }
  // An attempt ended `elapsed` after it was sent. Called also for attempts of which no record is left.
  void ended(std::size_t i, Millis elapsed, bool served) {
    estimates_[i].own.end(context_.now - elapsed, served, !context_.peers_report_load);
  }
  // Updates the service times from an attempt that was answered, or had no response after `elapsed`.
  void learn(std::size_t i, const AttemptRecord& sent, Millis elapsed, bool served);
  void reported(std::size_t i, const LoadReport& report);
  // The backend's owner reported other nodes' requests in flight there (`work` in mean requests, `held` as a
  // count) and the ratio of its service time to the fleet's mean (0: not given).
  void peer_reported(std::size_t i, double work, double held, double ratio);
  // Updates the means from the backends that are `in_use`, of `count`. `share`: of all requests, to a mean
  // backend.
  void close_period(const std::function<bool(std::size_t)>& in_use, std::size_t count, double share);

  // ---- queries ----
  const OwnAttempts& own(std::size_t i) const { return estimates_[i].own; }
  const Load& load(std::size_t i) const { return estimates_[i].load; }
  bool loads_reported() const { return load_.reported(); }
  double mean_other_requests() const { return load_.mean_other_requests(); }
  Millis mean_time() const { return times_.mean(); }
  double rate() const {
    return arrivals_.per_period() * 1000 / context_.period;
  }  // requests a second, to this node
  // Requests expected at this node within `span`. Includes the current period, as a new process has no other.
  double expected_arrivals(Millis span) const {
    return arrivals_.per_period((context_.now - period_began_at_) / context_.period) * span / context_.period;
  }
  double loss_rate() const { return loss_rate_; }  // share of recent attempts that were lost
  Millis started(std::size_t i) const { return estimates_[i].started; }  // 0 = long ago
  bool cold(std::size_t i) const { return cold(estimates_[i]); }
  // Lower bound of the share of full speed that a backend has now, assuming linear warm-up.
  double warmth(std::size_t i) const { return warmth(estimates_[i]); }
  // Requests that the backend completes in `span` when it is warm.
  double completions(std::size_t i, Millis span) const {
    return std::max(1.0, estimates_[i].size * throughput_per_size_) * span / times_.mean();
  }
  // Requests in flight at the backend: a count where owners report load, else mean requests.
  double in_flight(std::size_t i) const {
    return context_.peers_report_load ? estimates_[i].held_by_others + estimates_[i].own.held()
                                      : in_flight(estimates_[i]);
  }
  // By how much its load, with one more request of `work`, stretches the backend's service time.
  double load_factor(std::size_t i, double work) const { return load_factor(estimates_[i], work); }
  Millis expected_response(std::size_t i, int request_class, double work) const {
    const BackendEstimate& e = estimates_[i];
    return times_.expected(request_class, e.service_time) * load_factor(e, work) / warmth(e);
  }
  // The backend's service time over the fleet's mean by one response; 0: load too low to tell.
  double service_time_ratio(const AttemptRecord& sent, Millis elapsed) const;

 private:
  struct BackendEstimate {
    Millis started = 0;  // 0 = long ago
    double size = 1;
    OwnAttempts own;
    Load load;                         // from load reports
    RelativeServiceTime service_time;  // from responses
    double held_by_others = 0;         // from its owner: requests of other nodes in flight
  };
  bool cold(const BackendEstimate& e) const {
    return e.started > 0 && context_.now - e.started < context_.warm_up;
  }
  double warmth(const BackendEstimate& e) const {
    if (!cold(e) || context_.warm_up <= 0) return 1;
    return context_.cold_share +
           (1 - context_.cold_share) * std::clamp((context_.now - e.started) / context_.warm_up, 0.0, 1.0);
  }
  // This node's requests and other nodes', in mean requests. An old report of these fades to the fleet's
  // mean. For a cold backend it fades to 0: its slow-start budget limits the load, and with the mean it would
  // get no request until it is warm.
  double in_flight(const BackendEstimate& e) const {
    if (!load_.reported()) return e.own.work() * std::max(1.0, context_.nodes_per_backend);
    const bool use_backend_mean = context_.reports_rare && !context_.peers_report_load;
    return e.own.work() +
           load_.others(e.load, kReportLifetime * times_.mean(), cold(e), use_backend_mean, context_.now);
  }
  double load_factor(const BackendEstimate& e, double work) const {
    return std::max(work, (in_flight(e) + work) / e.load.concurrency);
  }
  double concurrency_like_warm(const BackendEstimate& e) const {
    return std::max(1.0, e.size * concurrency_per_size_);
  }

  static constexpr double kReportLifetime =
      2;  // time constant with which a report fades, in mean service times
  const EstimateContext& context_;
  GrowingVector<BackendEstimate> estimates_;
  ServiceTimes times_;
  FleetLoad load_;
  RequestRate arrivals_;
  Millis peer_reported_at_ = 0;  // the last report of an owner
  Millis period_began_at_ = 0;   // of the current period; in the first one, when the first backend was listed
  double concurrency_per_size_ = 0;  // of warm backends; 0 until one has reported
  double throughput_per_size_ = 0;   // of warm backends: requests completed in a mean service time
  double loss_rate_ = 0;
};

}  // namespace shorelead::estimate
