#include "plans/shortage.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace shorelead::plans {
namespace {

constexpr double kMaxWeight = 3;   // multiple of the median
constexpr double kMinOffered = 1;  // requests per second; a record with less has no vote

struct Voter {
  const fleet::Record* record = nullptr;
  double offered = 0;
  double weight = 0;
  double missed = 0;
  double room = 1;
  bool sees = false;
};

double finite_or_zero(double value) { return std::isfinite(value) ? std::max(0.0, value) : 0; }

// Clamps a reported load: no more admitted than offered, no more answered than admitted.
fleet::RankLoad bounded(const fleet::RankLoad& load) {
  fleet::RankLoad out;
  out.offered = finite_or_zero(load.offered);
  out.taken = std::min(out.offered, finite_or_zero(load.taken));
  out.in_time = std::min(out.taken, finite_or_zero(load.in_time));
  out.failed = std::min(out.taken, finite_or_zero(load.failed));
  return out;
}

Voter voter_of(const fleet::Record& record, const ShortageSettings& settings) {
  Voter voter;
  voter.record = &record;
  voter.room = std::isfinite(record.room) ? std::clamp(record.room, 0.0, 1.0) : 1;
  double taken = 0;
  double failed = 0;
  for (const auto& [rank, reported] : record.ranks) {
    const fleet::RankLoad load = bounded(reported);
    voter.offered += load.offered;
    taken += load.taken;
    failed += load.failed;
  }
  voter.missed = taken > 0 ? failed / taken : 0;
  voter.sees = voter.missed > settings.missed && voter.room < settings.room;
  return voter;
}

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool majority_sees_shortage(const std::vector<Voter>& voters, const ShortageSettings& settings) {
  struct Zone {
    double weight = 0;
    double sees = 0;
    int processes = 0;
  };
  std::map<std::string, Zone> zones;
  double total = 0;
  std::size_t votes = 0;
  for (const Voter& voter : voters) {
    Zone& zone = zones[voter.record->zone];
    zone.weight += voter.weight;
    ++zone.processes;
    if (voter.sees) zone.sees += voter.weight;
    votes += voter.sees ? 1 : 0;
    total += voter.weight;
  }
  if (votes * 2 <= voters.size()) return false;
  double weight = 0;
  int large = 0;
  int see = 0;
  for (const auto& [name, zone] : zones) {
    const bool counts = zone.processes >= 2 && zone.weight >= settings.small_zone * total;
    const bool sees = zone.sees * 2 > zone.weight;
    large += counts ? 1 : 0;
    see += counts && sees ? 1 : 0;
    if (sees) weight += zone.weight;
  }
  return weight * 2 > total && (large < 2 || see >= 2);
}

}  // namespace

FleetView view_of(const std::vector<fleet::Record>& records, int ranks, const ShortageSettings& settings) {
  FleetView view;
  view.offered.assign(static_cast<std::size_t>(std::max(1, ranks)), 0);
  std::vector<Voter> voters;
  std::vector<double> offered;
  for (const fleet::Record& record : records) {
    const Voter voter = voter_of(record, settings);
    if (voter.offered < kMinOffered) continue;
    voters.push_back(voter);
    offered.push_back(voter.offered);
  }
  const double most = kMaxWeight * median(offered);
  std::vector<double> rooms;
  std::vector<double> missed;
  std::vector<double> missed_by_all;
  for (Voter& voter : voters) {
    voter.weight = std::min(voter.offered, most);
    const double scale = voter.weight / voter.offered;
    for (const auto& [rank, reported] : voter.record->ranks) {
      const fleet::RankLoad load = bounded(reported);
      view.offered[static_cast<std::size_t>(std::clamp(rank, 0, ranks - 1))] += load.offered * scale;
      view.taken += load.taken * scale;
      view.in_time += load.in_time * scale;
    }
    rooms.push_back(voter.room);
    missed_by_all.push_back(voter.missed);
    if (voter.sees) missed.push_back(voter.missed);
  }
  if (voters.empty()) return view;
  view.room = median(std::move(rooms));
  view.is_short = majority_sees_shortage(voters, settings);
  view.missed = median(view.is_short ? std::move(missed) : std::move(missed_by_all));
  return view;
}

}  // namespace shorelead::plans
