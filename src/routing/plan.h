// What a route leads to: a class and a pool, or shares of several pools, with pools that stand in for those
// where nobody is ready. Pure: a key and a word on who is ready in, a pool's number out. It must never know
// what a pool is, and never let one key change its pool unless shares or pools change for it.
//
// Shares are drawn by weighted rendezvous hashing (Thaler and Ravishankar 1998; weights by -w / ln(u), as in
// Schindelhauer and Schomaker 2005): each pool draws a number from the key and its own name, and the largest
// wins. So a key keeps its pool whatever the order of pools; and where one pool's share grows, keys come to
// it and none moves between the others.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "routing/table.h"

namespace shorelead::routing {

struct Arm {
  int pool = 0;
  double share = 1;  // 0 to 1; of all arms together 1
  std::string name;  // of the pool: keys follow it and not its number
  bool operator==(const Arm&) const = default;
};

struct Route {
  std::string name;
  std::string place;  // file:line
  int request_class = 0;
  std::vector<Arm> arms{};  // empty: pool 0
  std::string by{};         // the field, in small letters, whose value keeps its pool; empty: one arm
  bool same(const Route& o) const { return request_class == o.request_class && arms == o.arms && by == o.by; }
};

// All routes of one configuration, by the table's rules.
struct Plan {
  Table table;
  std::vector<Rule> rules;
  std::vector<Route> routes;
  std::vector<int> fallbacks;  // by pool: who stands in for it; -1 or none = nobody
};

// The pool that this key falls to.
int arm_of(const Route& route, std::string_view key);

// The first with anybody ready among `pool`, who stands in for it, who stands in for that one, and so on;
// `pool` itself where none has, which then says so in its own words.
int standing_in(const std::vector<int>& fallbacks, int pool, const std::function<bool(int)>& ready);

}  // namespace shorelead::routing
