// Which requests are served first in a shortage: plans and the worth of classes combined into one order of
// compound ranks. Pure, immutable once constructed. Owns the numbering of ranks; it does not decide whether
// there is a shortage, and look-ups do not allocate.
//
// The order is that of DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018):
// first by the rank of the tenant's plan, then by the worth of the request's class. Ranks are numbered
// densely, 0 the highest, as fleet::CutOff counts them.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shorelead::plans {

// A plan of the configuration: plan gold { rank 1; tenants acme initech; floor 10 % }
struct PlanSpec {
  std::string name;
  int rank = 1;  // 1 = the highest; several plans may have the same
  // Share of the plan's own offered load, 0 to 1, that each process admits whatever the cut-off.
  double floor = 0;
  std::vector<std::string> tenants;
  bool is_default = false;  // for tenants that no plan lists

  bool operator==(const PlanSpec&) const = default;
};

// Returns the faults of the plans, a sentence each; empty = none. Order accepts faulty plans too: of two
// plans that list one tenant, or are both the default, the first counts.
std::vector<std::string> faults_of(const std::vector<PlanSpec>& plans);

struct RankStep {
  int plan_rank = 0;
  double worth = 0;

  bool operator==(const RankStep&) const = default;
};

class Order {
 public:
  // `worths`: by index of the class; one that is not finite counts as 0. Without plans there is one plan
  // without a name or floor.
  Order(std::vector<PlanSpec> plans, std::vector<double> worths);

  // A tenant that no plan lists has the default plan; if there is none, the last plan of the lowest rank.
  int plan_of(std::string_view tenant) const;
  // An unknown class counts as the class of least worth.
  int rank_of(int plan, int request_class) const { return at(rank_of_, plan, request_class); }
  // Returns the number of classes of higher worth: the plan's floor goes to the classes with the lowest step.
  int step_of(int plan, int request_class) const { return at(step_of_, plan, request_class); }

  int ranks() const { return static_cast<int>(rank_steps_.size()); }
  int classes() const { return classes_; }
  const std::vector<RankStep>& rank_steps() const { return rank_steps_; }
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
  std::vector<RankStep> rank_steps_;
  std::vector<int> rank_of_;
  std::vector<int> step_of_;
  std::vector<std::pair<std::string, int>> tenants_;  // sorted by name
};

}  // namespace shorelead::plans
