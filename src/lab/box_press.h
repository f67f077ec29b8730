// How pressed the boxes of a run were, moment by moment, by their own ledgers: what a process's word that it
// found no room is held against. Pure. Owns the moments at which each box made work wait long or turned it
// away; it must never look at what a process or a client says.
#pragma once

#include <vector>

#include "lab/audit_view.h"

namespace shorelead::lab {

class BoxPress {
 public:
  explicit BoxPress(const RunView& view);

  // At some moment from `from` to `to` half of the boxes of that pool (-1: of all) that stood then were
  // pressed.
  bool crowded(int pool, Millis from, Millis to) const;
  // So they were nearly all the time from `from` to `to`.
  bool crowded_throughout(int pool, Millis from, Millis to) const;

 private:
  std::size_t slice(Millis at) const;
  bool crowded(int pool, std::size_t slice) const;

  const Run& run_;
  std::size_t slices_ = 0;
  std::vector<std::vector<char>> pressed_;  // by box and slice
  std::vector<std::vector<char>> there_;    // ready and not draining
};

}  // namespace shorelead::lab
