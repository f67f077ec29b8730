// What is known of each backend's load, speed and warmth, and so when its answer can be expected. It owns
// these estimates, this node's attempts out at each, and the rate of requests. It must never choose a
// backend: that is the module's. Backends and classes go by their dense numbers.
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

// What the estimates go by: the moment, and what the settings say of the way in which news comes.
struct View {
  Millis now = 0;
  Millis period = 1000;            // close_period() is called once in it
  Millis warm_up = 0;              // a started backend is warm no later than this,
  double cold_share = 1;           // and does at least this share of its work when it starts
  double sharers = 1;              // nodes that send to each backend
  bool peers_report_load = false;  // keepers tell of load and speed; else reports and answers do
  bool seldom_told = false;        // looks are too dear, so each backend is heard of once in seconds
};

// What is remembered of an attempt, to learn by its end.
struct Sent {
  int request_class = 0;
  double work = 1;  // mean requests
  Millis at = 0;
  double crowd = 1;   // the backend's expected load then, in service times
  double warmth = 1;  // and its share of full speed
};

class Backends {
 public:
  // `view` is kept. `guess`: mean service time before any was seen.
  Backends(const View& view, Millis guess, std::size_t classes) : v_(view), times_(guess) {
    set_classes(classes);
  }
  void set_classes(std::size_t count) { times_.set_classes(count); }

  // ---- told ----
  void listed(std::size_t i, Millis started, double size) { of_[i].started = started, of_[i].size = size; }
  // It is new, or back: what was learnt of it counts no longer.
  void welcome(std::size_t i);
  // A request came; gives its work in mean requests, by its hint where that is over 0.
  double arrived(double expected_work) {
    arrivals_.add();
    return expected_work > 0 ? times_.hinted(expected_work) : 1;
  }
  Sent sent(std::size_t i, int request_class, double work);
  void overdue(std::size_t i, Millis sent) { of_[i].own.overdue(sent, !v_.peers_report_load); }
  // An attempt is over, `elapsed` after it was sent, whether or not it is remembered.
  void ended(std::size_t i, Millis elapsed, bool served) {
    of_[i].own.end(v_.now - elapsed, served, !v_.peers_report_load);
  }
  // And one that is: answered, or without an answer by then.
  void learn(std::size_t i, const Sent& sent, Millis elapsed, bool served);
  void reported(std::size_t i, const LoadReport& report);
  // A keeper told of the requests of others there (in mean requests, and counted) and of its speed (0:
  // nothing).
  void told(std::size_t i, double work, double held, double ratio);
  // Of all backends, those that are in use teach what is usual. `share` of the requests goes to a mean one.
  void close_period(const std::function<bool(std::size_t)>& in_use, std::size_t count, double share);

  // ---- asked ----
  const OwnAttempts& own(std::size_t i) const { return of_[i].own; }
  const Load& load(std::size_t i) const { return of_[i].load; }
  bool loads_told() const { return load_.told(); }
  double mean_others() const { return load_.mean_others(); }
  Millis mean_time() const { return times_.mean(); }
  double rate() const {
    return arrivals_.per_period() * 1000 / v_.period;
  }  // requests a second, to this node
  // Requests to this node in that time, by those that came until now: a new process has no whole period yet.
  double arrivals(Millis span) const {
    return arrivals_.per_period((v_.now - closed_at_) / v_.period) * span / v_.period;
  }
  double losing() const { return losing_; }                       // share of attempts lost, of late
  Millis started(std::size_t i) const { return of_[i].started; }  // 0 = long past
  bool cold(std::size_t i) const { return cold(of_[i]); }
  // The least share of its capacity that a backend has by now: it warms no slower than evenly.
  double warmth(std::size_t i) const { return warmth(of_[i]); }
  // Requests that it finishes in that time when it is warm.
  double finishes(std::size_t i, Millis span) const {
    return std::max(1.0, of_[i].size * pace_per_size_) * span / times_.mean();
  }
  // Requests in its hands: counted where keepers tell, else in mean requests.
  double held(std::size_t i) const {
    return v_.peers_report_load ? of_[i].others_held + of_[i].own.held() : in_hand(of_[i]);
  }
  // Its load with one more of so much work, in service times.
  double crowd(std::size_t i, double work) const { return crowd(of_[i], work); }
  Millis expected(std::size_t i, int request_class, double work) const {
    const Figures& f = of_[i];
    return times_.expected(request_class, f.speed) * crowd(f, work) / warmth(f);
  }
  // Its service time over the fleet's by one answer; 0: that was too short to tell.
  double ratio(const Sent& sent, Millis elapsed) const;

 private:
  struct Figures {
    Millis started = 0;  // 0 = long past
    double size = 1;
    OwnAttempts own;
    Load load;               // as its reports say
    Speed speed;             // as answers say
    double others_held = 0;  // as its keeper told
  };
  bool cold(const Figures& f) const { return f.started > 0 && v_.now - f.started < v_.warm_up; }
  double warmth(const Figures& f) const {
    if (!cold(f) || v_.warm_up <= 0) return 1;
    return v_.cold_share + (1 - v_.cold_share) * std::clamp((v_.now - f.started) / v_.warm_up, 0.0, 1.0);
  }
  // This node's own, and those of others, of which old news fades to the fleet's mean; for a cold one to
  // none, as its budget sees to that, or it would get nothing until it is warm.
  double in_hand(const Figures& f) const {
    if (!load_.told()) return f.own.work() * std::max(1.0, v_.sharers);
    const bool remembered = v_.seldom_told && !v_.peers_report_load;
    return f.own.work() + load_.others(f.load, kReportLife * times_.mean(), cold(f), remembered, v_.now);
  }
  double crowd(const Figures& f, double work) const {
    return std::max(work, (in_hand(f) + work) / f.load.lanes);
  }
  double lanes_like_warm(const Figures& f) const { return std::max(1.0, f.size * lanes_per_size_); }

  static constexpr double kReportLife = 2;  // service times in which a report loses most of its meaning
  const View& v_;
  GrowingVector<Figures> of_;
  ServiceTimes times_;
  FleetLoad load_;
  RequestRate arrivals_;
  Millis told_at_ = 0;         // a keeper answered last
  Millis closed_at_ = 0;       // the last period, or when the first backend was named
  double lanes_per_size_ = 0;  // of warm backends; 0 until one has told
  double pace_per_size_ = 0;   // requests that they finish in a mean service time, likewise
  double losing_ = 0;
};

}  // namespace shorelead::estimate
