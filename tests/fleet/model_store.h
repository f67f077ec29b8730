// The model's store: typed keys of one fleet with leases, revisions and comparisons, in simulated time, small
// enough to be copied for each state of the search (lab::KeyStore keeps its whole log and texts). The tests
// of the client check that the real transactions have the same effect.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "fleet/member_events.h"
#include "fleet/planner_events.h"

namespace shorelead::fleet::model {

struct StoreState {
  struct Lease {
    Millis length;
    Millis ends;
  };
  struct StoredRecord {
    Record record;
    std::uint64_t modified;
    std::int64_t lease;
    bool blind;  // its writer knew another history and does not use it
  };
  struct Leader {
    std::string value;
    std::uint64_t created;
    std::int64_t lease;
  };
  std::uint64_t cluster = 1;
  std::uint64_t revision = 1;
  std::map<std::int64_t, Lease> leases;
  std::map<std::string, StoredRecord> records;
  std::optional<Leader> leader;
  std::optional<Plan> plan;
  std::uint64_t plan_modified = 0;
  enum class Text { kGood, kBroken, kNewer } plan_text = Text::kGood;
};

class Store {
 public:
  // `knows`: the cluster id that the caller has seen last. nullopt = the store answers with an error.
  std::optional<MemberEvent> execute(const MemberCall& call, Millis now, std::uint64_t knows);
  std::optional<PlannerEvent> execute(const PlannerCall& call, Millis now);

  void expire(Millis now);
  void keep_copy() { copies_.push_back(state); }
  void restore(std::size_t back, Millis now);  // continues from that copy, with a new cluster id
  void spoil_plan(StoreState::Text text);

  Header header() const { return {state.cluster, state.revision}; }

  StoreState state;
  // Plans written by a process that is not the planner, or over another plan than the one it had read.
  std::uint64_t unfenced = 0;

 private:
  MemberEvent put(const PutRecord& call, std::uint64_t knows);
  bool done(const PutPlan& call);
  void drop(std::int64_t lease);

  std::deque<StoreState> copies_;
  std::uint64_t clusters_ = 1;
  std::int64_t leases_ = 0;
};

}  // namespace shorelead::fleet::model
