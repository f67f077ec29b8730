// The slots that one process's requests use, from a request's arrival to the end of everything sent for it:
//
//   arrived --> free                                        (no key; `prefer` that cannot be kept)
//           --> in flight --slot closes--> closing --> finished (cancelled where the rule says so)
//           --> waiting --> in flight | refused
//
// Pure: takes requests, the maps in force, the status of units, the ends of requests and the time; returns
// where a request may be sent, which requests to cancel and whether all closed slots are quiet. Owns the
// entries of `must` requests. A slot is never reported quiet while a request may be in flight for it at a
// backend that it is closed for, and no new request is sent there. A request that began under one incarnation
// never counts for another.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "affinity/choice.h"
#include "affinity/rules.h"
#include "base/millis.h"
#include "fleet/member_events.h"

namespace shorelead::affinity {

inline constexpr std::size_t kRoutingReasons = 11;

class Bindings {
 public:
  // Returns the host's status of a unit; nullopt: the host knows no unit of that name.
  using StatusLookup = std::function<std::optional<UnitStatus>(Scope, const std::string& unit)>;

  struct RoutingResult {
    RoutingAction action = RoutingAction::kFree;
    RoutingReason reason = RoutingReason::kNoKey;
    const std::string* unit = nullptr;  // kOnly, kPrefer: valid until the next apply_snapshot()
    Scope to = Scope::kBackend;
    int place = -1;  // kOnly: valid until release(); kWait: until reconsider() decides otherwise, or leave()
  };
  struct Counters {
    std::array<std::uint64_t, kRoutingReasons> by{};  // requests by the reason of their decision
    std::uint64_t waited = 0;
    std::uint64_t cancelled = 0;
  };

  Bindings(std::vector<Rule> rules, int max_waiting);

  const std::vector<Rule>& rules() const { return rules_; }

  // Applies the maps of a snapshot that is in force. Not for the request path: it iterates over all slots.
  void apply_snapshot(const fleet::Snapshot& snapshot, Millis now);

  // `valid`: whether the snapshot is valid now; `until`: the request's deadline. Allocates nothing but
  // entries, which are reused.
  RoutingResult arrive(std::uint32_t request, const RuleMatch& match, bool valid, Millis until, Millis now,
                       const StatusLookup& status_of);
  RoutingResult reconsider(int place, bool valid, Millis now, const StatusLookup& status_of);
  void leave(int place);  // stops waiting: the client has disconnected

  // Whether a request in flight may still be sent to its unit.
  bool may_send(int place, bool valid) const;
  void release(int place);

  // Nothing is in flight for a slot at a backend that it is closed for.
  bool quiet() const { return closing_ == 0; }
  // Whether any request is in flight or waits.
  bool busy() const { return free_.size() < places_.size(); }
  const std::vector<int>& waiting() const { return waiting_; }
  std::uint32_t request_of(int place) const { return places_[static_cast<std::size_t>(place)].request; }
  // Returns the requests to cancel, each once.
  std::vector<int> cancel_due(bool valid, Millis now, const StatusLookup& status_of);

  const Counters& counters(std::size_t rule) const { return counters_[rule]; }

 private:
  enum class State { kFree, kWaiting, kInFlight };
  struct Place {
    State state = State::kFree;
    std::uint32_t request = 0;
    RuleMatch match;
    int unit = -1;  // in flight: its unit
    std::uint64_t incarnation = 0;
    Millis since = 0, until = 0;  // while waiting
    Millis closed_at = -1;        // in flight; -1: its slot is open there
    bool cancelled = false;
  };
  struct Evaluation {
    Decision decision;
    const std::string* unit;
  };

  Place& at(int place) { return places_[static_cast<std::size_t>(place)]; }
  Evaluation evaluate(const RuleMatch& match, bool valid, Millis waited, const StatusLookup& status_of) const;
  RoutingResult settle(int place, const Evaluation& evaluation, bool in_time, Millis now);
  int take_place();
  void give_place(int place);
  RoutingResult routing_result(const RuleMatch& match, const Evaluation& evaluation, int place);

  const std::vector<Rule> rules_;
  std::vector<std::string> names_;  // of the maps, by rule
  WaitQueue wait_queue_;
  std::uint64_t incarnation_ = 0;   // of the maps
  std::vector<SlotOwners> owners_;  // by rule
  std::vector<std::string> units_;
  std::vector<Place> places_;
  std::vector<int> free_;
  std::vector<int> waiting_;  // the longest waiting first
  int closing_ = 0;           // requests in flight whose slot is closed
  std::vector<Counters> counters_;
};

}  // namespace shorelead::affinity
