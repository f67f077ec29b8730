// The invariants of the fleet, checked from outside: on what is spent and sent, in world time, and on the
// contents of the store.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/model_store.h"
#include "fleet/spec.h"

namespace shorelead::fleet::model {

class Checks {
 public:
  Checks(const Sharing& sharing, const std::vector<Budget>& budgets) : sharing_(sharing), budgets_(budgets) {}

  void spent_rate(Millis at);
  void spent_attempt(Millis at);
  void at_once_begins(Millis at, Millis ends);
  void sends(int process, std::size_t slot, const std::string& backend, Millis at, Millis ends);
  // The invariant of plan.h.
  void store(const Store& store);
  void fail(const std::string& what);

  const std::string& broken() const { return broken_; }  // the first violation; empty = none

  std::uint64_t spent = 0, sent = 0, looked = 0;

 private:
  struct Send {
    int process;
    std::size_t slot;
    std::string backend;
    Millis ends;
  };
  const Budget* of(BudgetKind kind) const;
  void store_slots(const Store& store);

  const Sharing sharing_;
  const std::vector<Budget> budgets_;
  std::string broken_;
  double tokens_ = -1;  // token bucket of the whole rate
  Millis tokens_at_ = 0;
  std::deque<Millis> attempts_;
  std::vector<Millis> at_once_;
  std::vector<Send> sends_;
  std::map<std::uint64_t, std::shared_ptr<const Plan>> plans_;  // by epoch, of this history
  std::uint64_t cluster_ = 0;
};

}  // namespace shorelead::fleet::model
