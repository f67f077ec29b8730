// The share of a pool's capacity that is unused, as one node sees it: by backends' reports of busy cores, or
// where none come by how many attempts are turned away. Owns the two means; it must never choose a backend.
#pragma once

#include <algorithm>

namespace shorelead::estimate {

class Room {
 public:
  // A backend's report: the share of its cores in use; negative = it does not say.
  void reported(double busy) {
    if (busy < 0) return;
    told_ = true;
    room_ += kGain * (1 - std::min(1.0, busy) - room_);
  }
  void ended(bool turned_away) { away_ += kGain * ((turned_away ? 1 : 0) - away_); }

  double value() const { return told_ ? room_ : away_ > kCrowded ? 0 : 1; }

 private:
  static constexpr double kGain = 0.02;     // of one report: some fifty count
  static constexpr double kCrowded = 0.05;  // of attempts turned away: there is no room left

  double room_ = 1;
  double away_ = 0;
  bool told_ = false;
};

}  // namespace shorelead::estimate
