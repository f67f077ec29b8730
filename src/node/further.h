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
struct Further {
  std::function<double()> left;
  std::function<void()> made;
};

class FurtherBound {
 public:
  // From now on. What the module is to be told at once, if anything.
  std::optional<RetriesAllowed> set(Further further) {
    further_ = std::move(further);
    if (further_.left) return std::nullopt;
    return RetriesAllowed{told_ = std::numeric_limits<double>::infinity()};
  }
  // Before each event: what the module does not know yet.
  std::optional<RetriesAllowed> news() {
    if (!further_.left) return std::nullopt;
    const double left = further_.left();
    if (left == told_) return std::nullopt;
    return RetriesAllowed{told_ = left};
  }
  void made() {
    if (further_.made) further_.made();
  }
  // After it: an attempt that ended without being served, nothing left, and none sent is one that was wanted.
  void after(const Event& event, const std::vector<Action>& actions) {
    const auto* const ended = std::get_if<AttemptEnded>(&event);
    if (!further_.made || ended == nullptr || ended->outcome == Outcome::kServed || ended->request_over)
      return;
    const auto sends = [](const Action& action) { return std::holds_alternative<SendAttempt>(action); };
    if (told_ < 1 && std::none_of(actions.begin(), actions.end(), sends)) further_.made();
  }

 private:
  Further further_;
  double told_ = std::numeric_limits<double>::infinity();
};

}  // namespace shorelead::node
