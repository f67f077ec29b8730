// The policies of many processes with the same backends, in simulated time: some backends start cold, and no
// others are left. Records what each cold one received and checks it against the operators' rule.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

#include "base/random.h"
#include "cold_case.h"
#include "policy/policy.h"

namespace shorelead::cold {

class Fleet {
 public:
  Fleet(const Case& played, std::uint64_t seed) : case_(played), random_(seed * 7919 + 17), seed_(seed) {
    settings_.instances = case_.stated > 0 ? case_.stated : case_.processes;
    RequestClass c;
    c.effect = Effect::kSafe;
    c.aim = case_.aim > 0 ? case_.aim : 4 * case_.service;
    c.deadline = 4 * c.aim;
    settings_.classes = {c};
    settings_.max_attempts = 3;
    settings_.warm_up = case_.warm_up, settings_.cold_share = case_.cold_share;
    settings_.fall_multiple = case_.fall_multiple, settings_.fall_span = case_.fall;
    cold_sends_.resize(static_cast<std::size_t>(case_.cold));
  }

  Worst play() {
    for (int n = 0; !case_.all_new && n < case_.processes; ++n) start(1000 + 10 * random_.unit());
    at(1000, [this] { arrive(); });
    at(kBegin, [this] { begin(); });
    while (!events_.empty() && events_.top().at < kBegin + case_.span) {
      const Event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.act();
    }
    Worst worst;
    for (const auto& sends : cold_sends_) worst.join(worst_of(sends));
    return worst;
  }

 private:
  struct Process {
    std::unique_ptr<Policy> policy;
    bool knows_cold = false;  // has the list with the cold backends
    bool ended = false;
  };
  struct Event {
    Millis at = 0;
    std::uint64_t number = 0;
    std::function<void()> act;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };
  struct Sent {
    Millis at = 0;
    double work = 1;
  };

  void at(Millis when, std::function<void()> act) { events_.push({when, ++events_made_, std::move(act)}); }

  void start(Millis when) {
    at(when, [this] {
      const std::size_t n = all_.size();
      all_.push_back({std::make_unique<Policy>(settings_, seed_ * 100003 + n), false, false});
      serving_.push_back(n);
      feed(n, Started{});
      send_list(n);
    });
  }

  void send_list(std::size_t n) {
    ListUpdate update;
    const bool begun = now_ >= kBegin;
    for (int i = 0; i < kWarm + case_.cold; ++i) {
      BackendEntry entry;
      entry.backend = static_cast<BackendId>(i);
      const bool cold = i >= kWarm;
      if (!begun && cold && !case_.returns) continue;
      if (begun != cold && !(cold && case_.returns && now_ < kBegin - 2000))
        entry.state = BackendState::kGone;
      if (cold && begun) entry.started = kBegin;
      if (cold && begun && cold_draining_) entry.state = BackendState::kDraining;
      update.entries.push_back(entry);
    }
    all_[n].knows_cold = begun;
    feed(n, update);
  }

  void begin() {
    for (std::size_t n = 0; n < all_.size(); ++n) {
      at(now_ + case_.told_within * random_.unit(), [this, n] { send_list(n); });
    }
    for (int n = 0; n < case_.joiners + (case_.all_new ? case_.processes : 0); ++n) start(now_);
    if (case_.replace_every > 0) replace(0);
    if (case_.flap_every > 0) at(now_ + case_.flap_every, [this] { flap(); });
    if (case_.restated <= 0) return;
    settings_.instances = case_.restated;  // also for processes started from now on
    for (std::size_t n = 0; n < all_.size(); ++n) {
      at(now_ + 1000 + 500 * random_.unit(), [this, n] { feed(n, SettingsChanged{settings_}); });
    }
  }

  void flap() {
    for (const bool drains : {true, false}) {
      cold_draining_ = drains;
      for (std::size_t n = 0; n < all_.size(); ++n) send_list(n);
    }
    at(now_ + case_.flap_every, [this] { flap(); });
  }

  void replace(std::size_t n) {
    if (static_cast<int>(n) >= case_.processes) return;
    const Millis stays = case_.beside ? kOverlap : 0;
    at(now_ + stays, [this, n] {
      all_[n].ended = true;
      std::erase(serving_, n);
    });
    start(now_);
    at(now_ + case_.replace_every, [this, n] { replace(n + 1); });
  }

  void arrive() {
    const double rate = case_.rate * case_.processes * (now_ >= kBegin ? case_.burst : 1) / 1000;
    at(now_ - std::log(1 - random_.unit()) / rate, [this] { arrive(); });
    if (serving_.empty()) return;
    RequestArrived e;
    e.request = ++requests_;
    e.due = now_ + settings_.classes[0].deadline;
    double work = 1;
    if (case_.work_spread > 0) {  // lognormal with mean 1
      const double variance = std::log(1 + case_.work_spread * case_.work_spread);
      const double normal =
          std::sqrt(-2 * std::log(1 - random_.unit())) * std::cos(6.283185307 * random_.unit());
      work = std::exp(std::sqrt(variance) * normal - variance / 2);
    }
    if (case_.hinted) e.expected_work = work * case_.service;
    work_[e.request] = work;
    feed(serving_[random_.below(serving_.size())], e);
  }

  void feed(std::size_t n, const shorelead::Event& event) {
    if (all_[n].ended) return;
    std::vector<Action> actions;
    all_[n].policy->handle(event, now_, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        at(std::max(now_, timer->at), [this, n, cookie = timer->cookie] { feed(n, TimerFired{cookie}); });
      } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
        at(now_ + 1, [this, n, i = probe->backend] {
          ProbeEnded ended;
          ended.backend = i, ended.elapsed = 1;
          feed(n, ended);
        });
      } else if (const auto* send = std::get_if<SendAttempt>(&action)) {
        sent(n, *send);
      }
    }
  }

  void sent(std::size_t n, const SendAttempt& send) {
    const bool cold = send.backend >= kWarm && now_ >= kBegin;
    const double work = work_.at(send.request);
    if (cold && all_[n].knows_cold) cold_sends_[send.backend - kWarm].push_back({now_, work});
    AttemptEnded ended;
    ended.request = send.request, ended.backend = send.backend;
    ended.attempt = attempts_[send.request]++;
    ended.elapsed = case_.service * work / (cold ? warmth(now_) : 1);
    if (send.stop_at > 0 && now_ + ended.elapsed > send.stop_at) {
      ended.outcome = Outcome::kNoAnswer, ended.elapsed = send.stop_at - now_;
    }
    ended.request_over = ended.outcome == Outcome::kServed;
    at(now_ + ended.elapsed, [this, n, ended] { feed(n, ended); });
  }

  double warmth(Millis when) const {
    return case_.cold_share + (1 - case_.cold_share) * std::clamp((when - kBegin) / case_.warm_up, 0.0, 1.0);
  }

  Worst worst_of(const std::vector<Sent>& sends) const {
    Worst worst;
    worst.played = 1;
    worst.sends = static_cast<double>(sends.size());
    std::size_t first = 0;
    double load = 0;
    bool fell = false;
    for (const Sent& one : sends) {
      load += one.work;
      while (one.at - sends[first].at >= case_.fall) load -= sends[first++].work;
      const double n = case_.fall_multiple * warmth(one.at) * case_.fall / case_.service;
      const double bound = n + 2 * std::sqrt(n) + 2;
      worst.over_n = std::max(worst.over_n, load / n);
      worst.over_bound = std::max(worst.over_bound, load / bound);
      fell = fell || load > bound;
    }
    worst.falls = fell;
    return worst;
  }

  const Case case_;
  Settings settings_;
  Random random_;
  const std::uint64_t seed_;
  Millis now_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t events_made_ = 0;
  std::vector<Process> all_;
  std::vector<std::size_t> serving_;  // processes that receive requests
  bool cold_draining_ = false;        // the cold backends are listed as draining
  RequestId requests_ = 0;
  std::map<RequestId, double> work_;
  std::map<RequestId, int> attempts_;
  std::vector<std::vector<Sent>> cold_sends_;
};

inline Worst play(const Case& played, int seeds) {
  Worst worst;
  for (int seed = 1; seed <= seeds; ++seed) {
    worst.join(Fleet(played, static_cast<std::uint64_t>(seed)).play());
  }
  return worst;
}

}  // namespace shorelead::cold
