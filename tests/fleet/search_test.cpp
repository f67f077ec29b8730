// Breadth-first search over all message orders of a small fleet: three processes, a concurrency budget of two
// units, one slot. A fault makes one process slow (its messages take any time, in any order), pauses it, lets
// it lag behind its snapshot, kills it, doubles one of its calls, or lets one time out. For wider searches by
// hand set SEARCH_FAULTS and SEARCH_STEPS (a third of a lease each); SEARCH_STATES limits the number of
// states.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <set>

#include "fleet/search_fingerprint.h"

namespace shorelead::fleet::model {
namespace {

constexpr Millis kTurn = 12 * kStep;  // when the demand and the slot move

class OneSlot : public PlanShaper {
 public:
  void shape(Plan& next, const Plan*, const std::vector<Record>&, Millis now) override {
    next.affinity["rule"].slots = {{now < kTurn ? "a" : "b", true, "", 0}};
  }
};

std::size_t figure(const char* name, std::size_t otherwise) {
  const char* text = std::getenv(name);
  return text != nullptr ? static_cast<std::size_t>(std::atoll(text)) : otherwise;
}

// Three processes without faults: the first demands the units and the slot is on "a"; then the others demand.
Node beginning() {
  Node node(std::make_shared<OneSlot>());
  for (int i = 0; i < kCells; ++i) node.start(i);
  node.demand(0, 2);
  while (node.now < kTurn) {
    node.advance();
    node.settle();
  }
  node.judge();
  node.demand(0, 0);
  node.demand(1, 2);
  node.demand(2, 2);
  return node;
}

struct Search {
  std::size_t most = 0;
  int faults = 0;
  Millis until = 0;
  std::set<Fingerprint> seen;
  std::deque<std::pair<std::shared_ptr<const Node>, int>> next;
  std::size_t moves = 0, deepest = 0, raised = 0, opened = 0;
  std::string broken;

  void add(std::shared_ptr<Node> node, std::size_t depth) {
    ++moves;
    node->settle();
    node->judge();
    if (!node->broken().empty() && broken.empty()) {
      broken = node->broken() + " after " + std::to_string(depth) + " moves, " + std::to_string(seen.size()) +
               " states";
    }
    if (!seen.insert(fingerprint_of(*node)).second) return;
    deepest = std::max(deepest, depth);
    for (const int i : {1, 2})
      raised += node->cells[static_cast<std::size_t>(i)]->taken->parts.contains("units");
    for (const auto& cell : node->cells) {
      const auto map = cell->taken->affinity.find("rule");
      opened += map != cell->taken->affinity.end() && map->second.slots[0].open &&
                map->second.slots[0].backend == "b";
    }
    next.emplace_back(std::move(node), static_cast<int>(depth));
  }

  template <class Move>
  void attempt(const Node& from, int depth, bool fault, Move move) {
    if (fault && from.faults >= faults) return;
    auto node = std::make_shared<Node>(from);
    node->faults += fault ? 1 : 0;
    if (move(*node)) add(std::move(node), static_cast<std::size_t>(depth) + 1);
  }

  void expand(const Node& from, int depth) {
    for (std::size_t i = 0; i < from.messages.size(); ++i) {
      attempt(from, depth, false, [i](Node& node) { return node.deliver(i); });
      attempt(from, depth, true, [i](Node& node) { return node.twice(i); });
      attempt(from, depth, true, [i](Node& node) { return node.give_up(i); });
    }
    for (int i = 0; i < kCells; ++i) {
      attempt(from, depth, false, [i](Node& node) { return node.take_over(i); });
      attempt(from, depth, true, [i](Node& node) { return node.look_late(i); });
      attempt(from, depth, true, [i](Node& node) { return node.lag(i); });
      attempt(from, depth, false, [i](Node& node) { return node.look(i); });
      attempt(from, depth, false, [i](Node& node) { return node.go_on(i); });
      attempt(from, depth, true, [i](Node& node) { return node.pause(i); });
      attempt(from, depth, true, [i](Node& node) { return node.slow_down(i); });
      attempt(from, depth, true, [i](Node& node) { return node.kill(i); });
    }
    if (from.now < until) {
      attempt(from, depth, false, [](Node& node) {
        node.advance();
        return true;
      });
    }
  }

  void run(const Node& begin) {
    add(std::make_shared<Node>(begin), 0);
    while (!next.empty() && seen.size() < most && broken.empty()) {
      const auto [node, depth] = next.front();
      next.pop_front();
      expand(*node, depth);
    }
  }
};

TEST(Search, SmallFleetInEveryOrder) {
  Search search;
  search.most = figure("SEARCH_STATES", 1000000);
  search.faults = static_cast<int>(figure("SEARCH_FAULTS", 1));
  search.until = kTurn + kStep * static_cast<Millis>(figure("SEARCH_STEPS", 2));
  const Node begin = beginning();
  ASSERT_EQ(begin.broken(), "");
  ASSERT_EQ(begin.units(), 2);
  search.run(begin);
  std::printf("%zu states, %zu moves, %zu deep, %s; with a unit raised %zu, the slot opened %zu\n",
              search.seen.size(), search.moves, search.deepest, search.next.empty() ? "all" : "cut there",
              search.raised, search.opened);
  EXPECT_EQ(search.broken, "");
}

}  // namespace
}  // namespace shorelead::fleet::model
