// The coin that tells who goes first within one rank: the same for a client at every process and at each of
// its repeats, and another one some time later, so that it is not always the same client that goes. Pure, no
// state, no allocation. It must never depend on a process, a plan's epoch or chance.
//
// What changes a coin is the time alone. A salt that never changes would have the same clients turned away in
// every shortage of the year; one that changes with the plan's epoch would redraw everybody whenever a
// process joins, and a client that repeats would soon be in: the cut would leak. So a coin lasts for `lasts`
// (an hour: longer than most shortages, short beside a day), and each key's hour begins at a moment of its
// own, or all of them would change at once, with a burst of those who were out. Clocks of processes that
// differ by d have different coins of a key for d an hour.
#pragma once

#include <string_view>

#include "base/millis.h"

namespace shorelead::plans {

inline constexpr Millis kCoinLasts = 3'600'000;

// From 0, under 1. `key`: what tells a tenant's clients apart (a user, an address); without one the whole
// tenant has one coin. `wall`: the time since 1970 by the machine's clock.
double coin_of(std::string_view tenant, std::string_view key, Millis wall, Millis lasts = kCoinLasts);

// One request's coin, made when it is first asked for: out of a shortage nobody does. It must not outlive the
// texts.
class Coin {
 public:
  Coin(std::string_view tenant, std::string_view key, Millis wall)
      : tenant_(tenant), key_(key), wall_(wall) {}
  Coin(double value) : value_(value) {}

  operator double() const {
    if (value_ < 0) value_ = coin_of(tenant_, key_, wall_);
    return value_;
  }

 private:
  std::string_view tenant_;
  std::string_view key_;
  Millis wall_ = 0;
  mutable double value_ = -1;
};

}  // namespace shorelead::plans
