// The store, planners, faults and backends of the model.
#include "model.h"

#include <algorithm>

namespace shorelead::affinity {
namespace {

constexpr Millis kEnd = 12000;
constexpr Millis kCalm = 8000;  // no faults after this

}  // namespace

void Model::record_violation(const std::string& what) {
  if (result_.violations++ == 0) result_.what = std::to_string(now_) + " ms: " + what;
}

void Model::to(std::size_t n, std::function<void(Process&)> what) {
  const std::uint64_t life = processes_[n].life;
  at(now_ + random_delay(), [this, n, life, what = std::move(what)] {
    Process& p = processes_[n];
    if (!p.alive || p.life != life || p.cut || lost()) return;
    if (p.paused_until > now_) return at(p.paused_until, [this, n, what] { to(n, what); });
    what(p);
  });
}

void Model::from(std::size_t n, std::function<void()> what) {
  if (processes_[n].cut || lost()) return;
  at(now_ + random_delay(), [this, what = std::move(what)] {
    expire();
    what();
  });
}

void Model::expire() {
  std::erase_if(records_, [this](const auto& one) { return one.second.expires <= now_; });
}

void Model::plan(std::size_t planner) {
  std::vector<fleet::Record> records;
  expire();
  for (const auto& [name, stored] : records_) records.push_back(stored.record);
  const fleet::Plan standing = stored_plan_;
  const std::uint64_t modified = plan_modified_;
  at(now_ + random_delay(), [=, this] {
    fleet::Plan next = standing;
    ++next.epoch;
    std::vector<BackendStatus> seen = backends_;
    // Planners may have different lists, in another order.
    if (!calm_ && random_.unit() < 0.1) seen.pop_back();
    if (random_.unit() < 0.5) std::reverse(seen.begin(), seen.end());
    shapers_[planner].set_backends(seen);
    shapers_[planner].shape(next, modified == 0 ? nullptr : &standing, records, now_);
    if (next.affinity == standing.affinity) return;
    if (flaw_ == Flaw::kOpensAtOnce) {
      for (fleet::Slot& slot : next.affinity[map_name(rule_)].slots) {
        if (!slot.open) slot = {slot.to, true, "", next.epoch};
      }
    }
    at(now_ + random_delay(), [=, this] {
      if (plan_modified_ != modified) return;
      stored_plan_ = next;
      plan_modified_ = ++revision_;
    });
  });
}

void Model::fault() {
  Process& p = processes_[random_.below(processes_.size())];
  BackendStatus& backend = backends_[random_.below(backends_.size())];
  switch (random_.below(7)) {
    case 0:  // killed and restarted
      p = Process{p.name, p.life + 1};
      p.paused_until = now_ + 500;
      return;
    case 1:
      p.paused_until = now_ + 3000 * random_.unit();
      return;
    case 2:
      p.cut = !p.cut;
      return;
    case 3:
      backend.draining = !backend.draining;
      return;
    case 4:
      backend.warm = backend.warm < 1 ? 1 : 0.2;
      return;
    case 5:  // its watch delivers nothing, its calls work
      p.deaf_until = now_ + 3000 * random_.unit();
      return;
    case 6:
      backend.name = "box-" + std::to_string(random_.below(9));
      return;
  }
}

ModelResult Model::run() {
  rule_.name = "keys";
  rule_.must = true;
  rule_.slots = kSlots;
  rule_.finish = kLongest * 2;
  for (int n = 0; n < 4; ++n) backends_.push_back({"box-" + std::to_string(n), "", "", 1, 1, false});
  shapers_.assign(2, Shaper({rule_}, {1500, 4}));
  for (int n = 0; n < 4; ++n) {
    processes_.push_back(Process{"p" + std::to_string(n), 1});
  }
  for (std::size_t n = 0; n < processes_.size(); ++n) {
    for (Millis t = random_.unit() * 100; t < kEnd; t += 150) {
      at(t, [this, n] {
        if (processes_[n].alive && processes_[n].paused_until <= now_) renew(n);
      });
    }
    for (Millis t = random_.unit() * 20; t < kEnd; t += 20) {
      at(t, [this, n] {
        const fleet::Plan plan = stored_plan_;
        const std::uint64_t modified = plan_modified_;
        at(now_ + 150 * random_.unit(), [=, this] {  // delay of the watch
          if (modified > 0 && processes_[n].deaf_until <= now_)
            to(n, [=, this](Process& p) { see(p, plan, modified); });
        });
        follow(n);
      });
    }
    for (Millis t = 0; t < kEnd; t += 4) at(t, [this, n] { send(n); });
  }
  for (Millis t = 0; t < kEnd; t += 50) at(t, [this] { plan(random_.below(2)); });
  for (Millis t = 500; t < kCalm; t += 250) at(t, [this] { fault(); });
  at(kCalm, [this] {
    calm_ = true;
    for (Process& p : processes_) {
      p.cut = false;
      p.deaf_until = 0;
    }
    for (std::size_t n = 0; n < backends_.size(); ++n) {
      backends_[n] = {"box-" + std::to_string(n), "", "", 1, 1, false};
    }
  });
  while (!queue_.empty()) {
    const Event event = queue_.top();
    queue_.pop();
    now_ = event.at;
    if (now_ >= kEnd) break;
    event.what();
  }
  result_.complete = std::all_of(processes_.begin(), processes_.end(), [](const Process& p) {
    return !p.open.slots.empty() && std::all_of(p.open.slots.begin(), p.open.slots.end(),
                                                [](const fleet::Slot& slot) { return slot.open; });
  });
  return result_;
}

}  // namespace shorelead::affinity
