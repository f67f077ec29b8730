#include "node/subset_selection.h"

#include <string_view>
#include <unordered_set>
#include <utility>

#include "node/outcome.h"

namespace shorelead::node {
namespace {

// Changes of the fleet are gathered for this long before a new selection, as its cost grows with the fleet. A
// member that drains is reported at once; its replacement follows well before its grace period ends.
constexpr Millis kDrawInterval = 100;

}  // namespace

std::vector<SubsetSelection::Listed> SubsetSelection::take(const std::vector<Listed>& list, bool whole) {
  std::vector<Listed> entries;
  std::vector<Listed> missing;
  if (whole) {
    std::unordered_set<std::string_view> named;
    named.reserve(list.size());
    for (const Listed& listed : list) named.insert(listed.host);
    for (const auto& [host, listed] : fleet_) {
      if (named.count(host) > 0) continue;
      missing.push_back(listed);
      missing.back().health = "gone";
    }
  }
  const auto apply = [this, &entries](const Listed& listed) {
    const auto entry = fleet_.find(listed.host);
    if (entry != fleet_.end() && entry->second == listed) return;  // unchanged
    if (endpoints_.known(listed.host)) entries.push_back(listed);
    put(listed);
  };
  for (const Listed& listed : missing) apply(listed);
  for (const Listed& listed : list) apply(listed);
  changed_ = true;
  std::erase_if(entries, [this](const Listed& listed) {
    return !subset_.contains(listed.host) && state_of(listed.health) == BackendState::kReady;
  });
  return entries;
}

void SubsetSelection::put(const Listed& listed) {
  if (state_of(listed.health) == BackendState::kGone) {
    subset_.remove(listed.host);
    fleet_.erase(listed.host);
    return;
  }
  subset_.put({listed.host, endpoints_.zone_number(listed.site), listed.size, endpoints_.ready(listed)});
  Listed& known = fleet_[listed.host];
  const std::string dial = listed.dial.empty() ? known.dial : listed.dial;
  known = listed;
  known.dial = dial;
}

void SubsetSelection::changed(const Listed& listed) {
  subset_.put({listed.host, endpoints_.zone_number(listed.site), listed.size, endpoints_.ready(listed)});
  changed_ = true;
}

void SubsetSelection::set_answering(const std::string& host, bool answers) {
  subset_.set_answering(host, answers);
  changed_ = true;
}

Millis SubsetSelection::draw_at() const { return changed_ ? drawn_at_ + kDrawInterval : 0; }

std::optional<std::vector<SubsetSelection::Listed>> SubsetSelection::draw(Millis now) {
  changed_ = false;
  drawn_at_ = now;
  ++counters_.drawings;
  const subset::Change change = subset_.update();
  counters_.changes += change.added.size() + change.removed.size();
  if (change.empty()) return std::nullopt;
  std::vector<Listed> entries;
  for (const std::string& host : change.removed) {
    // To the policy a backend that is no longer a member is gone; requests in progress there go on.
    const auto it = fleet_.find(host);
    if (!endpoints_.known(host) || (it != fleet_.end() && it->second.health != "ready")) continue;
    entries.emplace_back();
    entries.back().host = host;
    entries.back().health = "gone";
  }
  for (const std::string& host : change.added) entries.push_back(fleet_.at(host));
  return entries;
}

SubsetCounters SubsetSelection::counters() const {
  SubsetCounters counters = counters_;
  counters.fleet = subset_.fleet();
  counters.members = subset_.size();
  counters.borrowed = subset_.borrowed();
  counters.lots = subset_.shards();
  return counters;
}

}  // namespace shorelead::node
