#include "lab/shared_store.h"

#include <algorithm>
#include <regex>
#include <sstream>

#include "lab/dial.h"

namespace shorelead::lab {
namespace {

constexpr int kAddresses = 253;  // third number of the addresses here

EtcdTroubles troubles(const StoreSpec& spec) {
  EtcdTroubles t;
  t.members = spec.members;
  t.cuts = spec.cuts;
  t.lost = spec.lost;
  t.compact_every = spec.compact_every;
  t.lag = spec.lag;
  t.deaf = spec.deaf;
  return t;
}

}  // namespace

SharedStore::SharedStore(boost::asio::io_context& context, const Experiment& experiment)
    : context_(context),
      spec_(experiment.store),
      faults_(experiment.seed, "ways"),
      server_(context, loopback(kAddresses, 1), troubles(experiment.store), experiment.seed) {
  ways_.resize(static_cast<std::size_t>(experiment.nodes.count));
  for (std::size_t node = 0; node < ways_.size(); ++node) {
    std::istringstream members(server_.dial());
    for (std::string member; members >> member;) {
      ways_[node].push_back(std::make_unique<Relay>(context, loopback(kAddresses, static_cast<int>(node) + 2),
                                                    member, faults_));
    }
  }
}

std::string SharedStore::dial(int node) const {
  std::string all;
  for (const auto& way : ways_[static_cast<std::size_t>(node)]) {
    if (!all.empty()) all += ' ';
    all += way->dial();
  }
  return all;
}

std::string SharedStore::value(const std::string& name) {
  const std::string key = spec_.prefix + name;
  // A key alone is a range up to the next text there can be.
  const auto found = server_.store().range(key, key + std::string(1, '\0'), 1, 0);
  return found.items.empty() ? "" : found.items.front().second.value;
}

int SharedStore::planner(const std::string& holds) {
  const std::string name = value("planner");  // nN, and what tells its lives apart
  if (name.size() < 2 || name[0] != 'n' || name[1] < '0' || name[1] > '9') return -1;
  if (!holds.empty()) {
    const std::string plan = value("plan");
    if (plan != looked_at_ || holds != looked_for_) {
      looked_at_ = plan;
      looked_for_ = holds;
      held_ = std::regex_search(plan, std::regex(holds));
    }
    if (!held_) return -1;
  }
  return std::atoi(name.c_str() + 1);
}

void SharedStore::later(Millis wait, std::function<void()> task) {
  auto alarm = std::make_shared<Alarm>(context_);
  alarm->at(clock_now() + wait, nullptr, [alarm, task = std::move(task)] { task(); });
}

void SharedStore::mark(const std::string& text) { marks_.push_back({clock_now(), text}); }

void SharedStore::for_ways(const Action& action, const std::function<void(Relay&)>& task) {
  for (std::size_t node = 0; node < ways_.size(); ++node) {
    const bool named = action.nodes.empty() || std::find(action.nodes.begin(), action.nodes.end(),
                                                         static_cast<int>(node)) != action.nodes.end();
    if (!named) continue;
    for (const auto& way : ways_[node]) task(*way);
  }
}

void SharedStore::cut(const Action& action) {
  std::string who = action.nodes.empty() ? " all" : "";
  for (const int node : action.nodes) who.append(" n").append(std::to_string(node));
  const std::string what = action.fault == "hole" ? std::string("cut ").append(action.way) : action.fault;
  mark(std::string("way to the store: ").append(what).append(",").append(who));
  if (action.fault == "latency") {
    for_ways(action, [&](Relay& way) { way.latency(action.latency); });
    return later(action.length, [this, action] { for_ways(action, [](Relay& way) { way.latency(0); }); });
  }
  if (action.fault == "bytes") {
    for_ways(action, [&](Relay& way) { way.end_within(action.share); });
    return later(action.length, [this, action] { for_ways(action, [](Relay& way) { way.end_within(0); }); });
  }
  const Relay::Cut way = action.way == "asks"      ? Relay::Cut::kAsks
                         : action.way == "answers" ? Relay::Cut::kAnswers
                                                   : Relay::Cut::kBoth;
  for_ways(action, [way](Relay& one) { one.cut(way); });
  later(action.length, [this, action] {
    for_ways(action, [](Relay& one) { one.cut(Relay::Cut::kNone); });
    mark("way to the store: whole again");
  });
}

void SharedStore::trouble(const Action& action) {
  mark(std::string("store: ").append(action.fault));
  if (action.fault == "deaf") return server_.deafen();
  if (action.fault == "restart") {
    return server_.restart(static_cast<std::uint64_t>(action.forgets), action.same_cluster);
  }
  const auto set = [this, action](bool on) {
    if (action.fault == "full") server_.full(on);
    if (action.fault == "slow") server_.slow(on ? action.latency : 0);
    if (action.fault == "cuts") server_.cut(on ? action.share : spec_.cuts);
    if (action.fault != "down") return;
    server_.down(on);
    for (const auto& ways : ways_) {
      for (const auto& way : ways) way->down(on);
    }
  };
  set(true);
  later(action.length, [this, set, fault = action.fault] {
    set(false);
    mark(std::string("store: no longer ").append(fault));
  });
}

void SharedStore::act(const Action& action) {
  if (action.kind == Action::Kind::kCut) cut(action);
  if (action.kind == Action::Kind::kStore) trouble(action);
}

void SharedStore::collect(Run& run) { run.marks.insert(run.marks.end(), marks_.begin(), marks_.end()); }

}  // namespace shorelead::lab
