// What one process's traffic has of slots, from a request's arrival to the end of all that was sent for it:
//
//   arrived --> free                                        (no key; `prefer` that cannot be kept)
//           --> under way --slot closes--> closing --> over (called off where the rule says so)
//           --> waiting --> under way | refused
//
// Pure: requests, the maps in force, how units stand, endings and the time in; where a request may go, who is
// to be called off and whether closed slots are quiet out. Owns the places of `must` requests. It must never
// say that a slot is quiet while anything may be under way for it at a backend that it is closed for, nor let
// anything new go there; what began under one incarnation never counts as another's.
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

inline constexpr std::size_t kWhys = 11;

class Bindings {
 public:
  // How a unit stands in the host's eyes; none: it knows none of that name.
  using Look = std::function<std::optional<Standing>(To, const std::string& unit)>;

  struct Said {
    Go go = Go::kFree;
    Why why = Why::kNoKey;
    const std::string* unit = nullptr;  // kOnly, kPrefer: till the next maps
    To to = To::kBackend;
    int place = -1;  // kOnly: till over(); kWait: till again() says otherwise, or leave()
  };
  struct Counters {
    std::array<std::uint64_t, kWhys> by{};  // what became of requests, by Why
    std::uint64_t waited = 0;
    std::uint64_t called_off = 0;
  };

  Bindings(std::vector<Rule> rules, int most_waiting);

  const std::vector<Rule>& rules() const { return rules_; }

  // The maps of a snapshot, once it is in force. Not on a request's path: it goes through all slots.
  void take_up(const fleet::Snapshot& snapshot, Millis now);

  // `valid`: looked at for this request; `until`: its client's time. Allocates nothing but places, which are
  // used again.
  Said arrive(std::uint32_t request, const Found& found, bool valid, Millis until, Millis now,
              const Look& look);
  Said again(int place, bool valid, Millis now, const Look& look);
  void leave(int place);  // it waits no more: its client has gone

  // Whether one under way may still be sent to its unit.
  bool may_send(int place, bool valid) const;
  void over(int place);

  // Nothing is under way for a slot at a backend that it is closed for.
  bool quiet() const { return closing_ == 0; }
  // Whether anything is under way or waits.
  bool busy() const { return free_.size() < places_.size(); }
  const std::vector<int>& waiting() const { return waiting_; }
  std::uint32_t request_of(int place) const { return places_[static_cast<std::size_t>(place)].request; }
  // Those whose time is over, each told once.
  std::vector<int> call_off(bool valid, Millis now, const Look& look);

  const Counters& counters(std::size_t rule) const { return counters_[rule]; }

 private:
  enum class State { kFree, kWaiting, kUnderWay };
  struct Place {
    State state = State::kFree;
    std::uint32_t request = 0;
    Found found;
    int unit = -1;  // under way: there
    std::uint64_t incarnation = 0;
    Millis since = 0, until = 0;  // waiting
    Millis closed_at = -1;        // under way; -1: its slot is open there
    bool called_off = false;
  };
  struct Answer {
    Decision decision;
    const std::string* unit;
  };

  Place& at(int place) { return places_[static_cast<std::size_t>(place)]; }
  Answer ask(const Found& found, bool valid, Millis waited, const Look& look) const;
  Said settle(int place, const Answer& answer, bool in_time, Millis now);
  int take_place();
  void give_place(int place);
  Said said(const Found& found, const Answer& answer, int place);

  const std::vector<Rule> rules_;
  std::vector<std::string> names_;  // of maps, by rule
  WaitingRoom room_;
  std::uint64_t incarnation_ = 0;  // of the maps
  std::vector<Seats> seats_;       // by rule
  std::vector<std::string> units_;
  std::vector<Place> places_;
  std::vector<int> free_;
  std::vector<int> waiting_;  // the longest first
  int closing_ = 0;           // under way, and closed
  std::vector<Counters> counters_;
};

}  // namespace shorelead::affinity
