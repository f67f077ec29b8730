// The listed backends and the numbers by which the policy knows them: assigns and recycles numbers, applies
// bans, and selects the subset of a large fleet that the policy sees. Turns lists into updates for the
// policy. A number is not reused while a request, an attempt or a probe refers to it.
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

// How the node uses a fleet too large for one node; off unless set.
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

  // An update for the policy, and the backends that must receive nothing new from now on but might have
  // before.
  struct Changes {
    ListUpdate update;
    std::vector<BackendId> unwanted;
  };
  std::optional<Changes> take(const List& list, ListKind kind, Millis now);
  std::optional<Changes> take(const manage::BanSet& bans);
  // Backends restarted since the last call that were ready before: connections opened to the old process are
  // of no use.
  struct Restarted {
    BackendId backend = 0;
    Millis started = 0;
  };
  std::vector<Restarted> take_restarted() { return std::exchange(restarted_, {}); }
  // When the next subset is drawn; changes of a large fleet are gathered until then. 0 = there are none.
  Millis draw_at() const { return subset_ ? subset_->draw_at() : 0; }
  std::optional<Changes> draw(Millis now);

  // Requests, attempts and probes in progress that refer to a number keep it in use.
  void use(BackendId backend) { backends_.at(backend).uses += 1; }
  void release(BackendId backend) { backends_[backend].uses -= 1; }
  void heard(BackendId backend, Outcome outcome);

  const std::string& dial(BackendId backend) const { return backends_.at(backend).dial; }
  const std::string& host(BackendId backend) const { return backends_.at(backend).host; }
  bool wanted(BackendId backend) const { return backends_.at(backend).ready; }
  std::size_t ready() const { return ready_; }  // of those known to the policy
  std::size_t backends() const { return subset_ ? subset_->counters().fleet : numbers_.size(); }
  bool lists(const std::string& host) const;  // whether the current list names it
  std::size_t listed() const;                 // how many backends the list names
  std::size_t out() const;                    // how many of these are not ready: banned or draining
  std::vector<ListedBackend> all() const;     // as in the last list; banned ones as draining
  std::string text() const;                   // in discovery's format
  std::optional<SubsetCounters> subset_counters() const {
    return subset_ ? std::optional(subset_->counters()) : std::nullopt;
  }
  // The current state of the backend, cell or zone of that name; nothing if it is unknown.
  std::optional<UnitState> find_unit(Unit::Kind kind, const std::string& name);
  std::uint64_t changes() const { return changes_; }  // number of changes of the list

 private:
  struct Endpoint {
    std::string host;  // empty: the number is free
    std::string dial;
    ListedBackend listed;  // as in the last list
    bool ready = false;
    bool gone = false;
    bool awaiting_recycling = false;  // its number is to be recycled
    int uses = 0;                     // requests, attempts and probes that refer to it
    int unanswered = 0;               // attempts and probes in a row without an answer
  };

  int zone_number(const std::string& name);
  std::optional<BackendId> number_of(const ListedBackend& listed);
  void recycle_numbers();
  Changes make_changes(const std::vector<ListedBackend>& entries, ListKind kind);
  BackendState state_with_bans(const ListedBackend& listed) const;
  void mark_gone(BackendId number);
  bool set_ready(Endpoint& endpoint, bool ready);

  std::vector<std::string> zones_;
  std::vector<Endpoint> backends_;
  manage::BanSet bans_;
  std::unordered_map<std::string, BackendId> numbers_;
  std::vector<BackendId> free_numbers_;
  std::size_t ready_ = 0;
  std::vector<Restarted> restarted_;
  std::vector<BackendId> to_recycle_;  // numbers of gone backends, to be recycled
  Units units_;
  std::uint64_t units_version_ = ~std::uint64_t{0};  // value of changes_ that units_ was built from
  std::uint64_t changes_ = 0;
  std::optional<SubsetSelection> subset_;  // set where the policy sees only a subset
};

// A whole list in discovery's format, with the version that makes discovery send its own list next.
std::string list_text(const std::vector<ListedBackend>& all);

}  // namespace shorelead::node
