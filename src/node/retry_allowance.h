// What a fleet allows of further attempts, where the module meets it: what it was last told, and what it used
// or wanted. Owns that one figure; it must never say whether an attempt is made.
#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

#include "policy/policy.h"

namespace shorelead::node {

// How many are left now, and that one was made, or wanted and not left. Empty: only the module's own bound
// counts.
struct RetryAllowance {
  std::function<double()> left;
  std::function<void()> made;
};

class RetryAllowanceBound {
 public:
  // From now on. What the module is to be told at once, if anything.
  std::optional<RetriesAllowed> set(RetryAllowance retry_allowance) {
    retry_allowance_ = std::move(retry_allowance);
    if (retry_allowance_.left) return std::nullopt;
    return RetriesAllowed{told_ = std::numeric_limits<double>::infinity()};
  }
  // Before each event: what the module does not know yet.
  std::optional<RetriesAllowed> news() {
    if (!retry_allowance_.left) return std::nullopt;
    const double left = retry_allowance_.left();
    if (left == told_) return std::nullopt;
    return RetriesAllowed{told_ = left};
  }
  void made() {
    if (retry_allowance_.made) retry_allowance_.made();
  }
  // After it: an attempt that ended without being served, nothing left, and none sent is one that was wanted.
  void after(const Event& event, const std::vector<Action>& actions) {
    const auto* const ended = std::get_if<AttemptEnded>(&event);
    if (!retry_allowance_.made || ended == nullptr || ended->outcome == Outcome::kServed ||
        ended->request_over)
      return;
    const auto sends = [](const Action& action) { return std::holds_alternative<SendAttempt>(action); };
    if (told_ < 1 && std::none_of(actions.begin(), actions.end(), sends)) retry_allowance_.made();
  }

 private:
  RetryAllowance retry_allowance_;
  double told_ = std::numeric_limits<double>::infinity();
};

}  // namespace shorelead::node
