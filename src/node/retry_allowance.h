// Passes the fleet's retry budget on to the decision module: tells it how many retries are left and counts
// those that were made or that the budget prevented. Does not decide whether a retry is made.
#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

#include "policy/policy.h"

namespace shorelead::node {

// `left` returns how many retries are left; `count` is called for each that was made, or wanted with none
// left. Empty functions: only the module's own bound applies.
struct RetryAllowance {
  std::function<double()> left;
  std::function<void()> count;
};

class RetryAllowanceBound {
 public:
  // Replaces the allowance. Returns the event that the module has to be given at once, if any.
  std::optional<RetriesAllowed> set(RetryAllowance retry_allowance) {
    retry_allowance_ = std::move(retry_allowance);
    if (retry_allowance_.left) return std::nullopt;
    return RetriesAllowed{reported_ = std::numeric_limits<double>::infinity()};
  }
  // Called before each event. Returns the event that brings the module up to date, if the number has changed.
  std::optional<RetriesAllowed> update() {
    if (!retry_allowance_.left) return std::nullopt;
    const double left = retry_allowance_.left();
    if (left == reported_) return std::nullopt;
    return RetriesAllowed{reported_ = left};
  }
  void count_retry() {
    if (retry_allowance_.count) retry_allowance_.count();
  }
  // Called after each event: where an attempt failed, no retries were left and none was sent, one was wanted.
  void count_unmet_demand(const Event& event, const std::vector<Action>& actions) {
    const auto* const ended = std::get_if<AttemptEnded>(&event);
    if (!retry_allowance_.count || ended == nullptr || ended->outcome == Outcome::kServed ||
        ended->request_over)
      return;
    const auto sends = [](const Action& action) { return std::holds_alternative<SendAttempt>(action); };
    if (reported_ < 1 && std::none_of(actions.begin(), actions.end(), sends)) retry_allowance_.count();
  }

 private:
  RetryAllowance retry_allowance_;
  double reported_ = std::numeric_limits<double>::infinity();
};

}  // namespace shorelead::node
