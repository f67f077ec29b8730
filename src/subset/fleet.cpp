#include "subset/fleet.h"

#include <algorithm>

namespace shorelead::subset {

void Fleet::put(const Listed& listed) {
  const Box box{hash_of(listed.id), std::max(0, listed.zone), std::max(1e-6, listed.size)};
  const auto [it, fresh] = places_.try_emplace(listed.id, static_cast<std::uint32_t>(boxes_.size()));
  if (fresh) boxes_.push_back({box, listed.id, false});
  Known& known = boxes_[it->second];
  const bool same = known.ready == listed.ready && known.box.zone == box.zone && known.box.size == box.size;
  if (!fresh && same) return;
  ready_ += static_cast<std::size_t>(listed.ready) - static_cast<std::size_t>(known.ready);
  known.box = box;
  known.ready = listed.ready;
  ++version_;
}

void Fleet::remove(const std::string& id) {
  const auto it = places_.find(id);
  if (it == places_.end()) return;
  const std::uint32_t place = it->second;
  ready_ -= boxes_[place].ready;
  places_.erase(it);
  if (place + 1 != boxes_.size()) {
    boxes_[place] = std::move(boxes_.back());
    places_[boxes_[place].id] = place;
  }
  boxes_.pop_back();
  ++version_;
}

void Fleet::clear() {
  boxes_.clear();
  places_.clear();
  ready_ = 0;
  ++version_;
}

double Fleet::capacity() const {
  double total = 0;
  for (const Known& known : boxes_) total += known.ready ? known.box.size : 0;
  return total;
}

int Fleet::lots(const Place& place) { return lots_ = lots_of(ready_, options_, place, lots_); }

const Fleet::Drawing& Fleet::drawing(std::uint64_t round, int lots) {
  Drawing& drawing = drawings_[round];
  if (drawing.version == version_ && drawing.lots.size() == static_cast<std::size_t>(lots)) return drawing;
  std::vector<Box> ready;
  std::vector<std::uint32_t> places;
  ready.reserve(ready_);
  places.reserve(ready_);
  for (std::uint32_t place = 0; place < boxes_.size(); ++place) {
    if (!boxes_[place].ready) continue;
    ready.push_back(boxes_[place].box);
    places.push_back(place);
  }
  const std::vector<int> lot_of = draw(ready, lots, round, options_.slack);
  drawing.version = version_;
  drawing.lots.assign(static_cast<std::size_t>(lots), {});
  for (std::size_t n = 0; n < lot_of.size(); ++n) {
    drawing.lots[static_cast<std::size_t>(lot_of[n])].push_back(places[n]);
  }
  return drawing;
}

}  // namespace shorelead::subset
