// The part of a large fleet that one node works with: all that are listed, and the drawing of members among
// them. Owns both, and when it is time to draw anew; it must never know the numbers that the module has for
// backends.
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
  std::uint64_t changes = 0;  // members taken in or given up
};

class SubsetSelection {
 public:
  using Listed = membership::Member;
  // What the endpoint list knows beside.
  struct EndpointLookup {
    std::function<int(const std::string& zone)> zone_number;
    std::function<bool(const Listed&)> ready;            // by the list, and not out by hand
    std::function<bool(const std::string& host)> known;  // to the module
  };

  SubsetSelection(const subset::Options& options, const subset::Place& place, EndpointLookup endpoints)
      : endpoints_(std::move(endpoints)), place_(place), subset_(options, place) {}

  // Takes a list in; says what of it concerns members as they are, without waiting for a drawing.
  std::vector<Listed> take(const std::vector<Listed>& list, bool whole);
  void changed(const Listed& listed);  // whether it is ready may have
  void heard(const std::string& host, bool answers);

  Millis draw_at() const;  // 0 = nothing has changed
  // Who is to be told to the module as come or gone; none: nobody.
  std::optional<std::vector<Listed>> draw(Millis now);

  const std::unordered_map<std::string, Listed>& fleet() const { return fleet_; }
  double holders() const { return subset::holders(place_, subset_.lots()); }
  SubsetCounters counters() const;

 private:
  void put(const Listed& listed);

  const EndpointLookup endpoints_;
  const subset::Place place_;
  subset::Subset subset_;
  std::unordered_map<std::string, Listed> fleet_;
  Millis drawn_at_ = 0;
  bool unsettled_ = false;
  SubsetCounters counters_;
};

}  // namespace shorelead::node
