#include "lab/audit.h"

#include <algorithm>

#include "lab/audit_view.h"

namespace shorelead::lab {

const char* name_of(Breach breach) {
  switch (breach) {
    case Breach::kLost:
      return "lost";
    case Breach::kLate:
      return "late";
    case Breach::kCut:
      return "cut";
    case Breach::kTwice:
      return "answered twice";
    case Breach::kInvented:
      return "invented";
    case Breach::kHeld:
      return "held back";
    case Breach::kSentAfter:
      return "sent after the end";
    case Breach::kResent:
      return "sent again";
    case Breach::kRefusedRan:
      return "refused after a run";
    case Breach::kWindow:
      return "outside its window";
    case Breach::kParallel:
      return "two at once";
    case Breach::kTooMany:
      return "too many attempts";
    case Breach::kDrained:
      return "sent to a drained box";
    case Breach::kPushedOver:
      return "cold box pushed over";
    case Breach::kOverBudget:
      return "over the whole";
    case Breach::kShedOrder:
      return "shed out of order";
    case Breach::kTwoBoxes:
      return "one key at two boxes";
  }
  return "?";
}

const char* rule_of(Breach breach) {
  switch (breach) {
    case Breach::kResent:
    case Breach::kRefusedRan:
    case Breach::kWindow:
    case Breach::kParallel:
    case Breach::kTooMany:
      return "2";
    case Breach::kDrained:
      return "3";
    case Breach::kPushedOver:
      return "4";
    case Breach::kOverBudget:
      return "F1";
    case Breach::kShedOrder:
      return "F2";
    case Breach::kTwoBoxes:
      return "F3";
    default:
      return "1";
  }
}

Audit audit(const Run& run, const AuditLimits& limits) {
  const RunView view(run, limits);
  Audit result;
  for (const Asked& asked : run.asked) {
    judge_answer(view, asked, result);
    judge_attempts(view, asked, result);
  }
  judge_boxes(view, result);
  judge_budgets(view, result);
  judge_order(view, result);
  judge_keys(view, result);
  std::stable_sort(result.findings.begin(), result.findings.end(),
                   [](const Finding& a, const Finding& b) { return a.at < b.at; });
  return result;
}

}  // namespace shorelead::lab
