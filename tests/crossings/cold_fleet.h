// Many processes' decision modules before the same backends, in simulated time: some of these start cold, and
// nothing else is left to send to. Keeps what each cold one got, and holds it to the operators' rule.
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
  Fleet(const Case& played, std::uint64_t seed) : p_(played), random_(seed * 7919 + 17), seed_(seed) {
    s_.instances = p_.stated > 0 ? p_.stated : p_.processes;
    RequestClass c;
    c.effect = Effect::kSafe;
    c.aim = p_.aim > 0 ? p_.aim : 4 * p_.service;
    c.deadline = 4 * c.aim;
    s_.classes = {c};
    s_.max_attempts = 3;
    s_.warm_up = p_.warm_up, s_.cold_share = p_.cold_share;
    s_.fall_multiple = p_.fall_multiple, s_.fall_span = p_.fall;
    got_.resize(static_cast<std::size_t>(p_.cold));
  }

  Worst play() {
    for (int n = 0; !p_.all_new && n < p_.processes; ++n) start(1000 + 10 * random_.unit());
    at(1000, [this] { arrive(); });
    at(kBegin, [this] { begin(); });
    while (!events_.empty() && events_.top().at < kBegin + p_.span) {
      const Event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.act();
    }
    Worst worst;
    for (const auto& sends : got_) worst.join(judge(sends));
    return worst;
  }

 private:
  struct Process {
    std::unique_ptr<Policy> policy;
    bool told = false;  // of the cold ones
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
  struct Got {
    Millis at = 0;
    double work = 1;
  };

  void at(Millis when, std::function<void()> act) { events_.push({when, ++events_made_, std::move(act)}); }

  void start(Millis when) {
    at(when, [this] {
      const std::size_t n = all_.size();
      all_.push_back({std::make_unique<Policy>(s_, seed_ * 100003 + n), false, false});
      taking_.push_back(n);
      feed(n, Started{});
      tell(n);
    });
  }

  void tell(std::size_t n) {
    ListUpdate update;
    const bool begun = now_ >= kBegin;
    for (int i = 0; i < kWarm + p_.cold; ++i) {
      BackendEntry entry;
      entry.backend = static_cast<BackendId>(i);
      const bool cold = i >= kWarm;
      if (!begun && cold && !p_.returns) continue;
      if (begun != cold && !(cold && p_.returns && now_ < kBegin - 2000)) entry.state = BackendState::kGone;
      if (cold && begun) entry.started = kBegin;
      if (cold && begun && drains_) entry.state = BackendState::kDraining;
      update.entries.push_back(entry);
    }
    all_[n].told = begun;
    feed(n, update);
  }

  void begin() {
    for (std::size_t n = 0; n < all_.size(); ++n) {
      at(now_ + p_.told_within * random_.unit(), [this, n] { tell(n); });
    }
    for (int n = 0; n < p_.joiners + (p_.all_new ? p_.processes : 0); ++n) start(now_);
    if (p_.replace_every > 0) replace(0);
    if (p_.flap_every > 0) at(now_ + p_.flap_every, [this] { flap(); });
    if (p_.restated <= 0) return;
    s_.instances = p_.restated;  // of those started from now on, too
    for (std::size_t n = 0; n < all_.size(); ++n) {
      at(now_ + 1000 + 500 * random_.unit(), [this, n] { feed(n, SettingsChanged{s_}); });
    }
  }

  void flap() {
    for (const bool drains : {true, false}) {
      drains_ = drains;
      for (std::size_t n = 0; n < all_.size(); ++n) tell(n);
    }
    at(now_ + p_.flap_every, [this] { flap(); });
  }

  void replace(std::size_t n) {
    if (static_cast<int>(n) >= p_.processes) return;
    const Millis stays = p_.beside ? kOverlap : 0;
    at(now_ + stays, [this, n] {
      all_[n].ended = true;
      std::erase(taking_, n);
    });
    start(now_);
    at(now_ + p_.replace_every, [this, n] { replace(n + 1); });
  }

  void arrive() {
    const double rate = p_.rate * p_.processes * (now_ >= kBegin ? p_.burst : 1) / 1000;
    at(now_ - std::log(1 - random_.unit()) / rate, [this] { arrive(); });
    if (taking_.empty()) return;
    RequestArrived e;
    e.request = ++requests_;
    e.due = now_ + s_.classes[0].deadline;
    double work = 1;
    if (p_.work_spread > 0) {  // lognormal, of mean 1
      const double variance = std::log(1 + p_.work_spread * p_.work_spread);
      const double normal =
          std::sqrt(-2 * std::log(1 - random_.unit())) * std::cos(6.283185307 * random_.unit());
      work = std::exp(std::sqrt(variance) * normal - variance / 2);
    }
    if (p_.hinted) e.expected_work = work * p_.service;
    work_[e.request] = work;
    feed(taking_[random_.below(taking_.size())], e);
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
    if (cold && all_[n].told) got_[send.backend - kWarm].push_back({now_, work});
    AttemptEnded ended;
    ended.request = send.request, ended.backend = send.backend;
    ended.attempt = attempts_[send.request]++;
    ended.elapsed = p_.service * work / (cold ? warmth(now_) : 1);
    if (send.stop_at > 0 && now_ + ended.elapsed > send.stop_at) {
      ended.outcome = Outcome::kNoAnswer, ended.elapsed = send.stop_at - now_;
    }
    ended.request_over = ended.outcome == Outcome::kServed;
    at(now_ + ended.elapsed, [this, n, ended] { feed(n, ended); });
  }

  double warmth(Millis when) const {
    return p_.cold_share + (1 - p_.cold_share) * std::clamp((when - kBegin) / p_.warm_up, 0.0, 1.0);
  }

  Worst judge(const std::vector<Got>& sends) const {
    Worst worst;
    worst.played = 1;
    worst.sends = static_cast<double>(sends.size());
    std::size_t first = 0;
    double load = 0;
    bool fell = false;
    for (const Got& got : sends) {
      load += got.work;
      while (got.at - sends[first].at >= p_.fall) load -= sends[first++].work;
      const double n = p_.fall_multiple * warmth(got.at) * p_.fall / p_.service;
      const double bound = n + 2 * std::sqrt(n) + 2;
      worst.over_n = std::max(worst.over_n, load / n);
      worst.over_bound = std::max(worst.over_bound, load / bound);
      fell = fell || load > bound;
    }
    worst.falls = fell;
    return worst;
  }

  const Case p_;
  Settings s_;
  Random random_;
  const std::uint64_t seed_;
  Millis now_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t events_made_ = 0;
  std::vector<Process> all_;
  std::vector<std::size_t> taking_;  // those that get requests
  bool drains_ = false;              // the cold ones are said to
  RequestId requests_ = 0;
  std::map<RequestId, double> work_;
  std::map<RequestId, int> attempts_;
  std::vector<std::vector<Got>> got_;
};

inline Worst play(const Case& played, int seeds) {
  Worst worst;
  for (int seed = 1; seed <= seeds; ++seed) {
    worst.join(Fleet(played, static_cast<std::uint64_t>(seed)).play());
  }
  return worst;
}

}  // namespace shorelead::cold
