#include "lab/box_press.h"

#include <algorithm>

namespace shorelead::lab {
namespace {

constexpr Millis kSlice = 100;
constexpr double kLong = 0.3;        // of a class's aim: work that waits so long at a box shows it pressed
constexpr double kThroughout = 0.9;  // of the slices

}  // namespace

BoxPress::BoxPress(const RunView& view) : run_(view.run) {
  slices_ = static_cast<std::size_t>(std::max(0.0, run_.ended - run_.began) / kSlice) + 1;
  pressed_.assign(run_.boxes.size(), std::vector<char>(slices_, 0));
  there_.assign(run_.boxes.size(), std::vector<char>(slices_, 1));
  for (std::size_t box = 0; box < run_.boxes.size(); ++box) {
    std::fill_n(there_[box].begin(), slice(run_.boxes[box].born), 0);
  }
  for (const Changed& changed : run_.changed) {
    auto& there = there_[static_cast<std::size_t>(changed.box)];
    std::fill(there.begin() + static_cast<std::ptrdiff_t>(slice(changed.at)), there.end(),
              changed.state == BoxState::kReady);
  }
  for (const Arrived& a : run_.arrived) {
    if (a.last_byte == 0 || a.repeat) continue;
    const bool away = a.end == BoxEnd::kRejected;
    const Millis until = away ? a.last_byte : a.began > 0 ? a.began : a.closed > 0 ? a.closed : a.last_byte;
    const Millis aim = run_.classes[static_cast<std::size_t>(std::max(0, a.request_class))].aim;
    if (!away && until - a.last_byte < kLong * aim) continue;
    auto& pressed = pressed_[static_cast<std::size_t>(a.box)];
    for (std::size_t n = slice(a.last_byte); n <= slice(until); ++n) pressed[n] = 1;
  }
}

std::size_t BoxPress::slice(Millis at) const {
  return std::min(slices_ - 1, static_cast<std::size_t>(std::max(0.0, at - run_.began) / kSlice));
}

bool BoxPress::crowded(int pool, std::size_t slice) const {
  int there = 0;
  int pressed = 0;
  for (std::size_t box = 0; box < run_.boxes.size(); ++box) {
    if ((pool >= 0 && run_.boxes[box].pool != pool) || !there_[box][slice]) continue;
    ++there;
    pressed += pressed_[box][slice];
  }
  return 2 * pressed >= there;
}

bool BoxPress::crowded(int pool, Millis from, Millis to) const {
  for (std::size_t n = slice(from); n <= slice(to); ++n) {
    if (crowded(pool, n)) return true;
  }
  return false;
}

bool BoxPress::crowded_throughout(int pool, Millis from, Millis to) const {
  if (from < run_.began) return false;
  std::size_t count = 0;
  for (std::size_t n = slice(from); n <= slice(to); ++n) count += crowded(pool, n) ? 1 : 0;
  return static_cast<double>(count) >= kThroughout * static_cast<double>(slice(to) - slice(from) + 1);
}

}  // namespace shorelead::lab
