#include "subset/fleet.h"

#include <algorithm>

namespace shorelead::subset {

void Fleet::put(const Listed& listed) {
  const Backend backend{hash_of(listed.id), std::max(0, listed.zone), std::max(1e-6, listed.size)};
  const auto [it, fresh] = places_.try_emplace(listed.id, static_cast<std::uint32_t>(backends_.size()));
  if (fresh) backends_.push_back({backend, listed.id, false});
  Known& known = backends_[it->second];
  const bool same =
      known.ready == listed.ready && known.backend.zone == backend.zone && known.backend.size == backend.size;
  if (!fresh && same) return;
  ready_ += static_cast<std::size_t>(listed.ready) - static_cast<std::size_t>(known.ready);
  known.backend = backend;
  known.ready = listed.ready;
  ++version_;
}

void Fleet::remove(const std::string& id) {
  const auto it = places_.find(id);
  if (it == places_.end()) return;
  const std::uint32_t place = it->second;
  ready_ -= backends_[place].ready;
  places_.erase(it);
  if (place + 1 != backends_.size()) {
    backends_[place] = std::move(backends_.back());
    places_[backends_[place].id] = place;
  }
  backends_.pop_back();
  ++version_;
}

void Fleet::clear() {
  backends_.clear();
  places_.clear();
  ready_ = 0;
  ++version_;
}

double Fleet::capacity() const {
  double total = 0;
  for (const Known& known : backends_) total += known.ready ? known.backend.size : 0;
  return total;
}

int Fleet::lots(const Place& place) { return lots_ = lots_of(ready_, options_, place, lots_); }

const Fleet::Drawing& Fleet::drawing(std::uint64_t round, int lots) {
  Drawing& drawing = drawings_[round];
  if (drawing.version == version_ && drawing.lots.size() == static_cast<std::size_t>(lots)) return drawing;
  std::vector<Backend> ready;
  std::vector<std::uint32_t> places;
  ready.reserve(ready_);
  places.reserve(ready_);
  for (std::uint32_t place = 0; place < backends_.size(); ++place) {
    if (!backends_[place].ready) continue;
    ready.push_back(backends_[place].backend);
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
