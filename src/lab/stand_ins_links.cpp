// Links that pass nothing, are slow, or hurt what boxes answer.
#include <algorithm>

#include "lab/box.h"
#include "lab/stand_ins.h"

namespace shorelead::lab {

void StandIns::hurt_links(const std::vector<int>& slots, const Action& action) {
  const auto each_link = [this, slots, action](const auto& task) {
    for (const int slot : slots) {
      Box& box = *slots_[static_cast<std::size_t>(slot)].box;
      for (int node = 0; node < world_.experiment.nodes.count; ++node) {
        const bool named = action.nodes.empty() ||
                           std::find(action.nodes.begin(), action.nodes.end(), node) != action.nodes.end();
        if (named && box.up()) task(box, node);
      }
    }
  };
  if (action.fault == "black_hole") {
    each_link([](Box& box, int node) { box.hole(node, true); });
    later(action.length, [each_link] { each_link([](Box& box, int node) { box.hole(node, false); }); });
    return;
  }
  const bool slower = action.fault == "latency";
  each_link([&action, slower](Box& box, int node) {
    LinkState& link = box.link(node);
    if (slower) {
      link.latency += action.latency;
    } else {
      link.fault = action.fault;
      link.share = action.share > 0 ? action.share : 1;
      link.after_bytes = action.after_bytes;
    }
  });
  later(action.length, [each_link, slower, latency = action.latency] {
    each_link([slower, latency](Box& box, int node) {
      slower ? void(box.link(node).latency -= latency) : box.link(node).fault.clear();
    });
  });
}

}  // namespace shorelead::lab
