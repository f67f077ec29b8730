#include "lab/stand_ins.h"

#include <algorithm>
#include <cmath>

#include "lab/box.h"
#include "lab/dial.h"
#include "lab/etcd.h"
#include "lab/registry.h"

namespace shorelead::lab {
namespace {

std::string slot_address(int slot) { return loopback(slot / 250, slot % 250 + 1); }

constexpr std::uint64_t kBornBefore = 0;

}  // namespace

World::World(boost::asio::io_context& context, const Experiment& experiment)
    : context(context),
      experiment(experiment),
      works(experiment.seed, "work"),
      faults(experiment.seed, "faults") {}

void World::mark(const std::string& text) { marks.push_back({clock_now(), text}); }

std::string World::key_group(const ClassRules& rules, const BoxNote& box, const std::string& key) const {
  std::string name = rules.name + "/" + std::to_string(box.pool) + "/";
  if (rules.group == Group::kZone) name += std::to_string(box.zone);
  if (rules.group == Group::kCell) name += std::to_string(box.cell);
  return name + "/" + key;
}

StandIns::StandIns(boost::asio::io_context& context, const Experiment& experiment)
    : world_(context, experiment), choices_(experiment.seed, "choices") {
  // What watches the list refers to the notes, which must not move while boxes come.
  notes_.reserve(static_cast<std::size_t>(experiment.fleet.boxes) * 64 + 4096);
  std::vector<std::string> addresses;
  for (int node = 0; node < experiment.nodes.count; ++node) addresses.push_back(loopback(254, node + 1));
  for (std::size_t pool = 0; pool < std::max<std::size_t>(1, experiment.fleet.pools.size()); ++pool) {
    const auto dial = [this](int box, int node) { return box_dial(box, node); };
    if (experiment.discovery.registry) {
      registries_.push_back(std::make_unique<EtcdRegistry>(context, experiment, addresses[0], dial, notes_));
      continue;
    }
    registries_.push_back(std::make_unique<Registry>(context, experiment.nodes.count, addresses, dial, notes_,
                                                     experiment.fleet.zones, experiment.discovery));
  }
  slots_.resize(static_cast<std::size_t>(experiment.fleet.boxes));
  for (int slot = 0; slot < experiment.fleet.boxes; ++slot) {
    put(slot, false, false);
    publish(slots_[static_cast<std::size_t>(slot)].box->number(), BoxState::kReady);
  }
}

StandIns::~StandIns() {
  for (Slot& slot : slots_) slot.box->die();
}

std::string StandIns::box_dial(int box, int node) const {
  const int slot = slot_of_[static_cast<std::size_t>(box)];
  const Slot& place = slots_[static_cast<std::size_t>(slot)];
  // One whose place another has taken is not to be found any more: nobody listens there.
  if (place.box->number() != box) return "127.0.0.1:1";
  return slot_address(slot) + ":" + std::to_string(place.ports[static_cast<std::size_t>(node)]);
}

void StandIns::put(int slot, bool cold, bool same_address) {
  if (notes_.size() == notes_.capacity())
    throw std::runtime_error("the lab has no room for more boxes in one run");
  Slot& place = slots_[static_cast<std::size_t>(slot)];
  const Experiment& experiment = world_.experiment;
  BoxNote note;
  note.host = "s-" + std::to_string(slot) + (place.box ? "-" + std::to_string(born_) : "");
  note.zone = slot % static_cast<int>(experiment.fleet.zones.size());
  note.cell = slot % experiment.fleet.cells;
  note.pool = experiment.fleet.pool_of(slot);
  note.born = cold ? clock_now() : kBornBefore;
  notes_.push_back(note);
  const std::vector<std::string> addresses(static_cast<std::size_t>(experiment.nodes.count),
                                           slot_address(slot));
  std::vector<unsigned short> ports;
  if (same_address) ports = place.ports;
  if (ports.empty() && experiment.fleet.port_base > 0) {
    for (int node = 0; node < experiment.nodes.count; ++node) {
      ports.push_back(static_cast<unsigned short>(experiment.fleet.port_base + node));
    }
  }
  place.box = std::make_shared<Box>(world_, born_++, note, addresses, ports, cold);
  place.ports = place.box->ports();
  slot_of_.push_back(slot);
  place.box->start();
}

void StandIns::later(Millis wait, std::function<void()> task) {
  auto alarm = std::make_shared<Alarm>(world_.context);
  alarm->at(clock_now() + wait, &world_.lateness, [alarm, task = std::move(task)] { task(); });
}

std::vector<int> StandIns::chosen(const Action& action) {
  std::vector<int> up;
  for (int slot = 0; slot < static_cast<int>(slots_.size()); ++slot) {
    if (slots_[static_cast<std::size_t>(slot)].box->up()) up.push_back(slot);
  }
  if (!action.boxes.empty()) {
    std::erase_if(up, [&action](int slot) {
      return std::find(action.boxes.begin(), action.boxes.end(), slot) == action.boxes.end();
    });
    return up;
  }
  if (!action.zone.empty()) {
    const auto& zones = world_.experiment.fleet.zones;
    const auto zone = std::find(zones.begin(), zones.end(), action.zone) - zones.begin();
    std::erase_if(up,
                  [&](int slot) { return slots_[static_cast<std::size_t>(slot)].box->note().zone != zone; });
    return up;
  }
  const auto wanted =
      static_cast<std::size_t>(std::ceil(action.part * static_cast<double>(slots_.size()) - 1e-9));
  for (std::size_t n = 0; n + 1 < up.size(); ++n) std::swap(up[n], up[n + choices_.whole(up.size() - n)]);
  up.resize(std::min(wanted, up.size()));
  std::sort(up.begin(), up.end());
  return up;
}

void StandIns::kill(int slot) {
  Box& box = *slots_[static_cast<std::size_t>(slot)].box;
  const int number = box.number();
  box.die();
  changed_.push_back({number, BoxState::kGone, clock_now()});
  const DiscoverySpec& spec = world_.experiment.discovery;
  later(choices_.uniform(spec.late_min, spec.late_max), [this, number] { publish(number, BoxState::kGone); });
}

void StandIns::come_back(int slot, const Action& action, Millis after) {
  later(after, [this, slot, action] {
    put(slot, true, action.same_address);
    const int number = slots_[static_cast<std::size_t>(slot)].box->number();
    changed_.push_back({number, BoxState::kReady, clock_now()});
    const DiscoverySpec& spec = world_.experiment.discovery;
    later(choices_.uniform(spec.late_min, spec.late_max),
          [this, number] { publish(number, BoxState::kReady); });
  });
}

void StandIns::drain(int slot, const Action& action) {
  const std::shared_ptr<Box> box = slots_[static_cast<std::size_t>(slot)].box;
  const int number = box->number();
  box->drain();
  changed_.push_back({number, BoxState::kDraining, clock_now()});
  const DiscoverySpec& spec = world_.experiment.discovery;
  const Millis late = choices_.uniform(spec.late_min, spec.late_max);
  later(late, [this, number] { publish(number, BoxState::kDraining); });
  // Its end is told after its drain, whatever the delays drawn.
  later(std::max(action.drain_time, late + 1), [this, slot, action, box] {
    if (box->up()) kill(slot);
    if (action.back > 0) come_back(slot, action, action.back);
  });
}

void StandIns::deploy_batch(std::shared_ptr<std::vector<int>> left, const Action& action) {
  if (left->empty()) {
    world_.mark("deploy done");
    return;
  }
  for (int n = 0; n < action.batch && !left->empty(); ++n) {
    drain(left->front(), action);
    left->erase(left->begin());
  }
  later(action.drain_time + action.back + world_.experiment.discovery.late_max,
        [this, left, action] { deploy_batch(left, action); });
}

void StandIns::stall(const std::vector<int>& slots, const Action& action, Millis until) {
  for (const int slot : slots) {
    Box& box = *slots_[static_cast<std::size_t>(slot)].box;
    if (box.up()) box.stall(clock_now() + choices_.uniform(action.least, action.most));
  }
  if (action.every > 0 && clock_now() + action.every < until) {
    later(action.every, [this, slots, action, until] { stall(slots, action, until); });
  }
}

void StandIns::act(const Action& action) {
  const std::vector<int> slots = action.kind <= Action::Kind::kLink ? chosen(action) : std::vector<int>{};
  const std::string boxes = std::to_string(slots.size()) + (slots.size() == 1 ? " box" : " boxes");
  switch (action.kind) {
    case Action::Kind::kKill:
      world_.mark("kill " + boxes);
      for (const int slot : slots) {
        kill(slot);
        if (action.back > 0) come_back(slot, action, action.back);
      }
      break;
    case Action::Kind::kStall:
      world_.mark("stall " + boxes);
      stall(slots, action, clock_now() + action.length);
      break;
    case Action::Kind::kDrain:
      world_.mark("drain " + boxes);
      for (const int slot : slots) drain(slot, action);
      break;
    case Action::Kind::kDeploy:
      world_.mark("deploy " + boxes);
      deploy_batch(std::make_shared<std::vector<int>>(slots), action);
      break;
    case Action::Kind::kSlow:
      world_.mark("slow " + boxes);
      for (const int slot : slots) slots_[static_cast<std::size_t>(slot)].box->slow(action.factor);
      later(action.length, [this, slots] {
        for (const int slot : slots) slots_[static_cast<std::size_t>(slot)].box->slow(1);
      });
      break;
    case Action::Kind::kUnlist:
      world_.mark("off the list, serving on: " + boxes);
      for (const int slot : slots) unlist(slot, action.back);
      break;
    case Action::Kind::kLink:
      world_.mark("links: " + action.fault + ", " + boxes);
      hurt_links(slots, action);
      break;
    case Action::Kind::kDiscovery:
      world_.mark("discovery: " + action.fault);
      befall_discovery(action);
      break;
    default:  // of nodes, or the store
      break;
  }
}

void StandIns::collect(Run& run) {
  run.boxes = notes_;
  run.arrived = std::move(world_.ledger);
  for (const auto& registry : registries_) registry->collect(run);
  run.changed = changed_;
  run.fallen = world_.fallen;
  run.marks.insert(run.marks.end(), world_.marks.begin(), world_.marks.end());
  run.bad_requests = world_.bad_requests;
  run.fleet_late = world_.lateness.worst();
  run.fleet_late_p99 = world_.lateness.quantile(0.99);
}

}  // namespace shorelead::lab
