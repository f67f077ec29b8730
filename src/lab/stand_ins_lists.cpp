// What the stand-ins tell discovery, and what befalls it.
#include "lab/box.h"
#include "lab/stand_ins.h"

namespace shorelead::lab {

std::string StandIns::discovery_dial(int node, int pool) const {
  return registries_[static_cast<std::size_t>(pool)]->dial(node);
}
std::string StandIns::second_discovery_dial(int node) const { return registries_.front()->second_dial(node); }
std::string StandIns::known_list(int node) const { return registries_.front()->known(node); }

void StandIns::publish(int box, BoxState state) {
  registries_[static_cast<std::size_t>(notes_[static_cast<std::size_t>(box)].pool)]->publish(box, state);
}

// Only the list changes: the box serves on and passes its checks. It is listed again after `back`, if it is
// still there.
void StandIns::unlist(int slot, Millis back) {
  const std::shared_ptr<Box> box = slots_[static_cast<std::size_t>(slot)].box;
  publish(box->number(), BoxState::kGone);
  if (back <= 0) return;
  later(back, [this, box] {
    if (box->up() && !box->draining()) publish(box->number(), BoxState::kReady);
  });
}

void StandIns::befall_discovery(const Action& action) {
  const auto each = [this, action](bool on) {
    for (const auto& registry : registries_) {
      if (action.fault == "restart") registry->restart();
      if (action.fault == "down") registry->down(on);
      if (action.fault == "empty") registry->lie_empty(on);
      registry->befall(action.fault, action.latency, on);
    }
  };
  each(true);
  if (action.length <= 0) return;
  later(action.length, [each] { each(false); });
}

}  // namespace shorelead::lab
