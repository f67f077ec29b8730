// One process of the model: member, planner and traffic under one drifting clock. The process may be paused,
// and each call gets one answer or none.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fleet/member.h"
#include "fleet/model_traffic.h"
#include "fleet/planner.h"

namespace shorelead::fleet::model {

using AnyCall = std::variant<MemberCall, PlannerCall>;
using AnyEvent = std::variant<MemberEvent, PlannerEvent>;

struct Clock {
  double rate = 1;
  Millis offset = 0;
  Millis read(Millis at) const { return offset + rate * at; }
};

class Process {
 public:
  Process(int number, const std::string& name, const Clock& clock, const Sharing& sharing,
          const std::vector<Budget>& budgets, const std::shared_ptr<PlanShaper>& shaper, Checks& checks,
          std::uint64_t seed);

  using Send = std::function<void(const AnyCall&)>;
  void member(const MemberEvent& event, Millis at, const Send& send);
  void planner(const PlannerEvent& event, Millis at, const Send& send);
  // An answer of the store; `begun` is on the process's clock.
  void answer(const AnyEvent& event, Millis begun, Millis at, const Send& send);

  Millis now(Millis at) const { return clock_.read(at); }
  std::uint64_t cluster() const { return heard_; }

  const int number;
  const std::string name;
  bool alive = true;
  bool paused = false;
  Millis stood = 0;                           // the last time it read before it was paused
  bool cut_to = false;                        // its messages do not reach the store
  bool cut_from = false;                      // messages of the store do not reach it
  std::deque<std::function<void()>> waiting;  // messages that arrived while it was paused
  std::set<std::uint64_t> asked;              // calls in flight, by the world's number
  Member core;
  Planner plans;
  ProcessTraffic traffic;

 private:
  const Clock clock_;
  std::uint64_t heard_ = 0;
};

}  // namespace shorelead::fleet::model
