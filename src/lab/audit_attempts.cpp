// Rule 2: nothing that may have run is sent again where that does harm, nor too often, nor twice at once.
#include <algorithm>

#include "lab/audit_view.h"

namespace shorelead::lab {
namespace {

// The end of one connection and the first byte on the next come to one thread, which may read them in any
// order.
constexpr Millis kSeenApart = 5;  // or by as much as the stand-ins were late at worst

// Whether whoever sent it must reckon with its having run. A box that has turned it away never ran it.
bool may_have_run(const Arrived& a) { return a.last_byte > 0 && a.end != BoxEnd::kRejected; }

void judge_second(const RunView& view, const Asked& asked, const Arrived& first, const Arrived& next,
                  Findings& findings) {
  const ClassRules& rules = view.rules_of(asked);
  const std::string evidence = view.attempt(first) + "; then " + view.attempt(next);
  if (rules.effect == Effect::kUnsafe) findings.add(Breach::kResent, asked.id, next.first_byte, evidence);
  if (rules.effect != Effect::kKeyed) return;
  const BoxNote& a = view.run.boxes[static_cast<std::size_t>(first.box)];
  const BoxNote& b = view.run.boxes[static_cast<std::size_t>(next.box)];
  const bool same = rules.group == Group::kAll || (rules.group == Group::kZone && a.zone == b.zone) ||
                    (rules.group == Group::kCell && a.cell == b.cell);
  const bool in_window = next.first_byte <= first.first_byte + rules.window + view.limits.slack;
  if (!same || !in_window) {
    findings.add(Breach::kWindow, asked.id, next.first_byte,
                 evidence + (same ? ", too late" : ", another group"));
  }
}

void judge_overlap(const RunView& view, const Asked& asked, const Arrived& first, const Arrived& next,
                   Findings& findings) {
  const ClassRules& rules = view.rules_of(asked);
  if (view.run.parallel_allowed && rules.effect != Effect::kUnsafe) return;
  if (rules.effect == Effect::kUnsafe && may_have_run(first)) return;   // found as sent again
  if (first.last_byte == 0 || first.end == BoxEnd::kSwallowed) return;  // its end was not to be seen
  const Millis over = first.closed > 0 ? first.closed : first.answered;
  if (over == 0 || next.first_byte + std::max(kSeenApart, view.run.fleet_late) < over) {
    if (over == 0 && first.end != BoxEnd::kOpen) return;
    findings.add(Breach::kParallel, asked.id, next.first_byte,
                 view.attempt(first) + "; at once with " + view.attempt(next));
  }
}

void judge_repeats(const RunView& view, const Asked& asked, const Attempts& attempts, Findings& findings) {
  int whole = 0;
  const Arrived* first = nullptr;  // that may have run
  for (std::size_t n = 0; n < attempts.size(); ++n) {
    const Arrived& a = *attempts[n];
    if (a.last_byte == 0) continue;
    if (++whole == view.run.most_attempts + 1) {
      findings.add(Breach::kTooMany, asked.id, a.first_byte,
                   std::to_string(whole) + " attempts; " + view.attempt(a));
    }
    if (first != nullptr) judge_second(view, asked, *first, a, findings);
    for (std::size_t m = 0; m < n; ++m) judge_overlap(view, asked, *attempts[m], a, findings);
    if (first == nullptr && may_have_run(a)) first = &a;
  }
}

}  // namespace

void judge_attempts(const RunView& view, const Asked& asked, Audit& audit) {
  Findings findings(audit);
  const Attempts& attempts = view.attempts(asked.id);
  if (asked.resent == 0) return judge_repeats(view, asked, attempts, findings);
  // What the client itself sent twice is no repeat of the node's. But it only does so because its
  // connection was ended under the request, and a node may do that only to one that it has not read.
  const auto second = std::find_if(attempts.begin(), attempts.end(),
                                   [&asked](const Arrived* a) { return a->first_byte >= asked.resent; });
  if (second != attempts.begin()) {
    // Of a request that was sent once more the record has the second sending.
    if (view.killed_within(asked.node, (*attempts.begin())->first_byte, asked.resent)) {
      ++audit.lost_with_node;
    } else {
      findings.add(Breach::kLost, asked.id, asked.resent,
                   "its connection was ended " + view.at(asked.resent) +
                       " though it had been sent on: " + view.attempt(**attempts.begin()));
    }
  }
  judge_repeats(view, asked, {attempts.begin(), second}, findings);
  judge_repeats(view, asked, {second, attempts.end()}, findings);
}

}  // namespace shorelead::lab
