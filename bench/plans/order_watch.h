// Whether the order was kept, from what was done: windows of 2 s, moved by half a second, in which somebody
// of a higher rank was turned away while over 2% of what a lower one offered was taken, floors apart. Knows
// nothing of what Admission believes.
#pragma once

#include <array>
#include <deque>

#include "plans/admission.h"

namespace shorelead::plans::sim {

class OrderWatch {
 public:
  double upside_down = 0;  // windows
  double windows = 0;

  void forget() { buckets_.clear(); }
  void see(int rank, const Verdict& verdict, Millis now) {
    const int number = static_cast<int>(now / 500);
    if (buckets_.empty() || buckets_.back().number != number) {
      while (!buckets_.empty() && buckets_.front().number < number - 4) buckets_.pop_front();
      judge();
      buckets_.push_back({});
      buckets_.back().number = number;
    }
    Counts& counts = buckets_.back().of[static_cast<std::size_t>(rank)];
    ++counts.offered;
    if (!verdict.taken()) ++counts.refused;
    if (verdict.taken() && verdict.as != Admitted::kAdmittedForFloor) ++counts.taken;
  }

 private:
  struct Counts {
    double offered = 0, taken = 0, refused = 0;
  };
  struct Bucket {
    int number = -1;  // of half a second
    std::array<Counts, 16> of{};
  };
  void judge() {
    ++windows;
    bool turned_away = false;
    for (std::size_t rank = 0; rank < 16; ++rank) {
      Counts sum;
      for (const Bucket& bucket : buckets_) {
        sum.offered += bucket.of[rank].offered;
        sum.taken += bucket.of[rank].taken;
        sum.refused += bucket.of[rank].refused;
      }
      if (turned_away && sum.taken > 0.02 * sum.offered) {
        ++upside_down;
        return;
      }
      turned_away |= sum.refused > 0;
    }
  }
  std::deque<Bucket> buckets_;
};

}  // namespace shorelead::plans::sim
