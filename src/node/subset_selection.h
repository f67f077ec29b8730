// The subset of a large fleet that one node works with: all listed backends, and the selection of members
// among them. Decides when to select anew. It does not know the policy's numbers of backends.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/member.h"
#include "policy/policy.h"
#include "subset/subset.h"

namespace shorelead::node {

struct SubsetCounters {
  std::size_t fleet = 0;
  std::size_t members = 0;
  std::size_t borrowed = 0;
  int lots = 0;
  std::uint64_t drawings = 0;
  std::uint64_t changes = 0;  // members added or removed
};

class SubsetSelection {
 public:
  using Listed = membership::Member;
  // What it needs to know from the endpoint list.
  struct EndpointLookup {
    std::function<int(const std::string& zone)> zone_number;
    std::function<bool(const Listed&)> ready;            // by the list, and not banned
    std::function<bool(const std::string& host)> known;  // to the policy
  };

  SubsetSelection(const subset::Options& options, const subset::Place& place, EndpointLookup endpoints)
      : endpoints_(std::move(endpoints)), place_(place), subset_(options, place) {}

  // Applies a list; returns the changes that concern current members and need not wait for the next
  // selection.
  std::vector<Listed> take(const std::vector<Listed>& list, bool whole);
  void changed(const Listed& listed);  // its readiness may have changed
  void set_answering(const std::string& host, bool answers);

  Millis draw_at() const;  // when to select next; 0 = nothing has changed
  // Selects anew; returns the members to report as added or gone, or nothing if there are none.
  std::optional<std::vector<Listed>> draw(Millis now);

  const std::unordered_map<std::string, Listed>& fleet() const { return fleet_; }
  double holders() const { return subset::holders(place_, subset_.shards()); }
  SubsetCounters counters() const;

 private:
  void put(const Listed& listed);

  const EndpointLookup endpoints_;
  const subset::Place place_;
  subset::Subset subset_;
  std::unordered_map<std::string, Listed> fleet_;
  Millis drawn_at_ = 0;
  bool changed_ = false;
  SubsetCounters counters_;
};

}  // namespace shorelead::node
