// Which requests go first in a shortage, and which last: plans and the worth of classes made into one order
// of compound ranks. Pure, immutable once made. Owns the numbering; it must never decide whether there is a
// shortage, nor allocate while the traffic looks something up.
//
// The order is that of DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018):
// first by whose the request is (the plan's rank), then by what it is (the class's worth). Ranks are numbered
// densely, 0 the highest, as fleet::CutOff counts them.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shorelead::plans {

// As the configuration has it: plan gold { rank 1; tenants acme initech; floor 10 % }
struct PlanSpec {
  std::string name;
  int rank = 1;  // 1 = the highest; plans may share one
  // Share of the plan's own offered load, from 0 to 1, that each process goes on taking whatever the cut-off.
  double floor = 0;
  std::vector<std::string> tenants;
  bool is_default = false;  // of tenants that no plan names

  bool operator==(const PlanSpec&) const = default;
};

// What is wrong with the plans, a sentence each; empty: nothing. Order takes them all the same: of two plans
// that name one tenant, or are both the default, the first counts.
std::vector<std::string> faults_of(const std::vector<PlanSpec>& plans);

struct Rung {
  int plan_rank = 0;
  double worth = 0;

  bool operator==(const Rung&) const = default;
};

class Order {
 public:
  // `worths`: of the classes, by their index; not finite counts as 0. No plans: one without a name and floor.
  Order(std::vector<PlanSpec> plans, std::vector<double> worths);

  // A tenant that no plan names has the default plan; where there is none, the last of the lowest rank.
  int plan_of(std::string_view tenant) const;
  // A class that does not exist counts as the one of least worth.
  int rank_of(int plan, int request_class) const { return at(rank_of_, plan, request_class); }
  // How many classes of higher worth the plan has: who has the plan's floor first.
  int step_of(int plan, int request_class) const { return at(step_of_, plan, request_class); }

  int ranks() const { return static_cast<int>(rungs_.size()); }
  int classes() const { return classes_; }
  const std::vector<Rung>& rungs() const { return rungs_; }
  const std::vector<PlanSpec>& plans() const { return plans_; }

 private:
  int at(const std::vector<int>& table, int plan, int request_class) const {
    const int column = request_class < 0 || request_class >= classes_ ? least_ : request_class;
    return table[static_cast<std::size_t>(plan * classes_ + column)];
  }

  std::vector<PlanSpec> plans_;
  int classes_ = 0;
  int least_ = 0;  // the class of least worth
  int default_ = 0;
  std::vector<Rung> rungs_;
  std::vector<int> rank_of_;
  std::vector<int> step_of_;
  std::vector<std::pair<std::string, int>> tenants_;  // by name
};

}  // namespace shorelead::plans
