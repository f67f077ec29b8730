// Rule 1: each request taken gets one whole answer in its time, made for it, and nothing is sent after it.
#include <algorithm>

#include "lab/audit_view.h"

namespace shorelead::lab {
namespace {

// Whether whoever sent it must reckon with its having run. A box that has turned it away never ran it.
bool may_have_run(const Arrived& a) { return a.last_byte > 0 && a.end != BoxEnd::kRejected; }

// Lost with a process that was killed, or that stood still past the due time: nobody could have answered.
bool excused(const RunView& view, const Asked& asked, Audit& audit) {
  if (view.lost_with_node(asked)) return ++audit.lost_with_node, true;
  if (view.paused_past_due(asked)) return ++audit.lost_in_pause, true;
  // Where idle clients hold every descriptor a new connection may be shut unread.
  const bool shut = asked.end == ClientEnd::kReset && asked.fresh && view.attempts(asked.id).empty();
  if (shut && view.crowded(asked.node, asked.ended)) return ++audit.shut_in_crowd, true;
  return false;
}

void judge_final(const RunView& view, const Asked& asked, const std::string& client, Audit& audit) {
  Findings findings(audit);
  if (asked.ended > asked.due + view.limits.slack) {
    if (view.paused_past_due(asked)) {
      ++audit.lost_in_pause;
    } else {
      findings.add(Breach::kLate, asked.id, asked.ended, client);
    }
  }
  if (asked.extra) findings.add(Breach::kTwice, asked.id, asked.ended, client + ", more bytes behind it");
  if (asked.status == 200) {
    const Arrived* const made = view.by_serial(asked.run);
    if (!asked.right_body || made == nullptr || made->id != asked.id) {
      findings.add(Breach::kInvented, asked.id, asked.ended, client + ", which no box made for it");
    } else if (made->answered > 0 &&
               asked.ended - made->answered - view.paused_within(asked.node, made->answered, asked.ended) >
                   view.limits.held) {
      findings.add(Breach::kHeld, asked.id, asked.ended,
                   client + "; the box had answered " + view.at(made->answered));
    }
  }
  if (asked.status != 429 && asked.status != 503) return;
  const ClassRules& rules = view.rules_of(asked);
  const bool harmless =
      rules.effect == Effect::kSafe || (rules.effect == Effect::kKeyed && rules.group == Group::kAll);
  for (const Arrived* a : view.attempts(asked.id)) {
    if (harmless || !may_have_run(*a) || a->first_byte > asked.ended) continue;
    findings.add(Breach::kRefusedRan, asked.id, asked.ended, client + "; but " + view.attempt(*a));
    break;
  }
}

}  // namespace

void judge_answer(const RunView& view, const Asked& asked, Audit& audit) {
  Findings findings(audit);
  const Attempts& attempts = view.attempts(asked.id);
  if (asked.end == ClientEnd::kNoConnection || asked.sent == 0) return;  // never taken
  const std::string client = "sent " + view.at(asked.sent) + " to node " + std::to_string(asked.node) +
                             ", due " + view.at(asked.due) + ", " + name_of(asked.end) + " " +
                             view.at(asked.ended);
  switch (asked.end) {
    case ClientEnd::kReset:
    case ClientEnd::kSilent:
      if (!excused(view, asked, audit)) findings.add(Breach::kLost, asked.id, asked.ended, client);
      break;
    case ClientEnd::kCut: {
      // No fault of the node's where a box cut its own answer short; the client can tell.
      const bool spoilt = std::any_of(attempts.begin(), attempts.end(), [](const Arrived* a) {
        return a->end == BoxEnd::kSpoilt || a->end == BoxEnd::kDropped || a->end == BoxEnd::kSwallowed;
      });
      if (!excused(view, asked, audit) && !spoilt) {
        findings.add(Breach::kCut, asked.id, asked.ended, client);
      }
      break;
    }
    case ClientEnd::kAnswered:
      judge_final(view, asked, client + " with " + std::to_string(asked.status), audit);
      break;
    case ClientEnd::kNoConnection:
    case ClientEnd::kLeft:
      break;
  }
  for (const Arrived* a : attempts) {
    if (asked.end == ClientEnd::kAnswered && a->first_byte > asked.ended + view.limits.slack) {
      findings.add(Breach::kSentAfter, asked.id, a->first_byte, client + "; then " + view.attempt(*a));
    } else if (a->first_byte > asked.due + view.limits.slack) {
      findings.add(Breach::kSentAfter, asked.id, a->first_byte,
                   client + "; past its due time " + view.attempt(*a));
    }
  }
}

}  // namespace shorelead::lab
