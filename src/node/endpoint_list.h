// Who is listed, and under which number the module knows each: numbers that are given out and back, what is
// out by hand, and the part of a large fleet that the module sees as its list. Owns these; what has changed
// it hands out as the module's list. It must never see a request, decide whom one goes to, or give a number
// to another while anything names it.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "manage/bans.h"
#include "membership/member.h"
#include "node/subset_selection.h"
#include "node/units.h"
#include "policy/policy.h"
#include "settings/settings.h"

namespace shorelead::node {

using ListedBackend = membership::Member;

struct List {
  std::uint64_t version = 0;
  bool whole = false;
  std::vector<ListedBackend> backends;
};

// How the node works with a fleet too large for it; all off unless set.
struct FleetOptions {
  std::optional<subset::Options> subset;
  subset::Place place;

  bool operator==(const FleetOptions&) const = default;
};

class EndpointList {
 public:
  EndpointList(const HostSettings& host, const FleetOptions& fleet);
  EndpointList(const EndpointList&) = delete;
  EndpointList& operator=(const EndpointList&) = delete;

  // What is to be told to the module, and who is unwanted from then on: nothing new may go there that might
  // have gone there before.
  struct Told {
    ListUpdate update;
    std::vector<BackendId> unwanted;
  };
  std::optional<Told> take(const List& list, ListKind kind, Millis now);
  std::optional<Told> take(const manage::BanSet& bans);
  // Who has been started anew since the last call, though it was ready before: what was opened to it earlier
  // is of no use.
  struct Restarted {
    BackendId backend = 0;
    Millis started = 0;
  };
  std::vector<Restarted> take_restarted() { return std::exchange(restarted_, {}); }
  // Changes of a large fleet are gathered before a part of it is drawn anew; 0 = there are none.
  Millis draw_at() const { return part_ ? part_->draw_at() : 0; }
  std::optional<Told> draw(Millis now);

  // Probes under way, attempts and requests that name a number keep it.
  void use(BackendId backend) { backends_.at(backend).uses += 1; }
  void release(BackendId backend) { backends_[backend].uses -= 1; }
  void heard(BackendId backend, Outcome outcome);

  const std::string& dial(BackendId backend) const { return backends_.at(backend).dial; }
  const std::string& host(BackendId backend) const { return backends_.at(backend).host; }
  bool wanted(BackendId backend) const { return backends_.at(backend).ready; }
  std::size_t ready() const { return ready_; }  // of those known to the module
  std::size_t backends() const { return part_ ? part_->counters().fleet : numbers_.size(); }
  bool lists(const std::string& host) const;  // whether the list names it now
  std::size_t listed() const;                 // how many it names
  std::size_t out() const;                    // of these, those that are not ready: by hand, or draining
  std::vector<ListedBackend> all() const;     // as the list last had them, out by hand as draining
  std::string text() const;                   // in discovery's form
  std::optional<SubsetCounters> subset_counters() const {
    return part_ ? std::optional(part_->counters()) : std::nullopt;
  }
  // The backend, cell or zone of that name, as this process sees it now; none: it knows none.
  std::optional<UnitState> find_unit(Unit::Kind kind, const std::string& name);
  std::uint64_t changes() const { return changes_; }  // of the list, counted

 private:
  struct Known {
    std::string host;  // empty: the number is free
    std::string dial;
    ListedBackend listed;  // as the list last had it
    bool ready = false;
    bool gone = false;
    bool leaving = false;  // its number is to be given back
    int uses = 0;          // probes under way, and attempts and requests that are open, that name it
    int silences = 0;      // in a row
  };

  int zone_number(const std::string& name);
  std::optional<BackendId> number_of(const ListedBackend& listed);
  void give_back_numbers();
  Told told(const std::vector<ListedBackend>& entries, ListKind kind);
  BackendState state_with_bans(const ListedBackend& listed) const;
  void leave(BackendId number);
  bool set_ready(Known& known, bool ready);

  std::vector<std::string> zones_;
  std::vector<Known> backends_;
  manage::BanSet bans_;
  std::unordered_map<std::string, BackendId> numbers_;
  std::vector<BackendId> free_;
  std::size_t ready_ = 0;
  std::vector<Restarted> restarted_;
  std::vector<BackendId> leaving_;  // numbers of those that are gone, to be given back
  Units units_;
  std::uint64_t units_of_ = ~std::uint64_t{0};  // the list that these are of
  std::uint64_t changes_ = 0;
  std::optional<SubsetSelection> part_;  // where the module sees not all
};

// A list in discovery's form, whole, with the number that makes discovery tell its own.
std::string list_text(const std::vector<ListedBackend>& all);

}  // namespace shorelead::node
