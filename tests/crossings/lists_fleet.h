// The processes of a fleet that request their lists, in simulated time: the real policy and back-off, with a
// discovery that serves calls in turn and rejects those that waited for 2 s.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "node/watch_backoff.h"
#include "policy/policy.h"

namespace shorelead::node {

// During a fault a call is refused, rejected after 2 s, not connected, or not answered. The last two leave
// watches silent, the others end them.
enum class Trouble { kRefuses, kTurnsAway, kCutOff, kMute };

struct Ailing {
  Trouble trouble = Trouble::kRefuses;
  int processes = 1;
  Millis lasts = 8000;    // all watches end at its start; 0: watches fall silent and nothing else fails
  Millis call = 21.7;     // discovery's work for one call
  bool dead_work = true;  // abandoned calls cost as much work
};

// Times from discovery's recovery, or from when the watches fell silent if it was up, until the list was
// received.
struct Found {
  std::vector<Millis> waits;  // sorted
  int calls = 0;              // served by discovery
  double most_in_a_second = 0;

  Millis median() const { return waits[waits.size() / 2]; }
  Millis worst() const { return waits.back(); }
  double within(Millis time) const {
    const auto end = std::upper_bound(waits.begin(), waits.end(), time);
    return static_cast<double>(end - waits.begin()) / static_cast<double>(waits.size());
  }
};

class AskingFleet {
 public:
  AskingFleet(const Ailing& ailing, std::uint64_t seed) : a_(ailing), random_(seed) {
    Settings settings;
    settings.classes.resize(1);
    settings.list_on_request = true;
    settings.probing = false;
    settings.ask_every = 10000;
    settings.instances = a_.processes;
    settings.max_attempts = 1;
    for (int n = 0; n < a_.processes; ++n) {
      processes_.push_back({Policy(settings, random_.next()), WatchBackoff(), 0});
      feed(processes_.back(), Started{});
    }
  }

  Found run() {
    go_to(kTrouble);  // by then all have a watch
    for (Process& one : processes_) {
      one.listed = 0;
      const Millis last_word = kTrouble - 2000 * random_.unit();
      const bool silent = a_.trouble >= Trouble::kCutOff;
      later(silent ? last_word + 3000 : kTrouble,
            [this, &one, silent] { ended(one, silent ? net::Ending::kSilent : net::Ending::kBroken); });
    }
    go_to(kTrouble + a_.lasts + 120000);
    for (const Process& one : processes_)
      found_.waits.push_back(one.listed > 0 ? one.listed - kTrouble - a_.lasts : 1e9);
    std::sort(found_.waits.begin(), found_.waits.end());
    for (const auto& [second, count] : by_second_)
      found_.most_in_a_second = std::max(found_.most_in_a_second, count);
    return found_;
  }

 private:
  static constexpr Millis kTrouble = 60000;
  struct Process {
    Policy policy;
    WatchBackoff backoff;
    Millis listed;
  };

  void later(Millis at, std::function<void()> task) { events_.emplace(at, std::move(task)); }
  void go_to(Millis end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }
  void feed(Process& one, const Event& event) {
    std::vector<Action> actions;
    one.policy.handle(event, now_, actions);
    for (const Action& action : actions) {
      if (std::holds_alternative<SubscribeList>(action)) call(one);
      if (const auto* timer = std::get_if<SetTimer>(&action))
        later(timer->at, [this, &one, cookie = timer->cookie] { feed(one, TimerFired{cookie}); });
    }
  }
  void call(Process& one) {
    const bool ill = now_ >= kTrouble && now_ < kTrouble + a_.lasts;
    if (ill) {
      const std::map<Trouble, std::pair<Millis, net::Ending>> ends = {
          {Trouble::kRefuses, {0, net::Ending::kRefused}},
          {Trouble::kTurnsAway, {2000, net::Ending::kRejected}},
          {Trouble::kCutOff, {1000, net::Ending::kConnectTimeout}},
          {Trouble::kMute, {3000, net::Ending::kTimeout}}};
      const auto [takes, ending] = ends.at(a_.trouble);
      return later(now_ + takes, [this, &one, how = ending] { ended(one, how); });
    }
    if (now_ > kTrouble) {
      ++found_.calls;
      ++by_second_[static_cast<int>(now_ / 1000)];
    }
    const Millis done = std::max(free_, now_) + a_.call;
    const bool in_time = done <= now_ + 2000;
    if (in_time || a_.dead_work) free_ = done;
    if (!in_time) return later(now_ + 2000, [this, &one] { ended(one, net::Ending::kRejected); });
    later(done, [this, &one] {
      one.backoff.list_received();
      one.listed = now_;
      feed(one, ListUpdate{ListKind::kDelta, {}});
    });
  }
  void ended(Process& one, net::Ending how) {
    const auto wait = one.backoff.delay_after(how, true, a_.processes, random_.unit());
    if (!wait) return feed(one, ListUpdate{ListKind::kFailed, {}});
    later(now_ + *wait, [this, &one] { call(one); });
  }

  const Ailing a_;
  Random random_;
  Millis now_ = 0;
  Millis free_ = 0;
  std::deque<Process> processes_;
  std::multimap<Millis, std::function<void()>> events_;
  std::map<int, double> by_second_;
  Found found_;
};

}  // namespace shorelead::node
