#include "guard/guard.h"

namespace shorelead::guard {
namespace {

// A build without one of the conditions, to see that its loss is found (tests/guard/mutants.sh).
#ifdef SHORELEAD_GUARD_WITHOUT
Verdict no(Reason reason) { return {reason == Reason::SHORELEAD_GUARD_WITHOUT ? Reason::kAllowed : reason}; }
#else
Verdict no(Reason reason) { return {reason}; }
#endif

// What holds for any attempt, be it decided or written.
Verdict may_begin(const RequestState& request, Millis now) {
  if (request.answered) return no(Reason::kAnswered);
  if (!request.client_waits) return no(Reason::kClientGone);
  if (now >= request.due) return no(Reason::kDeadline);
  if (request.attempts >= request.max_attempts) return no(Reason::kAttemptsSpent);
  if (request.run_once && request.may_have_run) return no(Reason::kMayHaveRun);
  if (now >= request.repeat_until) return no(Reason::kRepeatWindow);
  if (!request.slot_open) return no(Reason::kSlotClosed);
  return {};
}

}  // namespace

Verdict may_write(const RequestState& request, const BackendState& backend, Millis now) {
  if (!backend.wanted) return no(Reason::kBackendWithdrawn);
  if (!backend.confirmed) return no(Reason::kListOutdated);
  if (request.body_taken) return no(Reason::kBodyTaken);
  if (request.in_flight > 0 && !request.parallel) return no(Reason::kAnotherOut);
  return may_begin(request, now);
}

Verdict may_send(const RequestState& request, Millis now) {
  if (request.attempts > 0 && request.retries_left < 1) return no(Reason::kBudgetSpent);
  return may_begin(request, now);
}

Verdict may_hedge(const RequestState& request, Millis now) {
  if (request.in_flight > 1 || (request.in_flight == 1 && !request.parallel)) return no(Reason::kAnotherOut);
  return may_send(request, now);
}

Verdict may_refuse(const RequestState& request) {
  if (request.answered) return no(Reason::kAnswered);
  if (request.may_have_run && !request.refusal_repeats) return no(Reason::kMayHaveRun);
  return {};
}

Verdict may_fail(const RequestState& request) { return request.answered ? no(Reason::kAnswered) : Verdict{}; }

Verdict may_forward(const RequestState& request) {
  return request.answered ? no(Reason::kAnswered) : Verdict{};
}

Verdict may_close_client(const ConnectionState& connection) {
  if (connection.under_way) return no(Reason::kRequestUnderWay);
  if (connection.unsent) return no(Reason::kOutputUnsent);
  return connection.unread ? no(Reason::kInputUnread) : Verdict{};
}

Verdict may_reuse(const ConnectionState& connection) {
  if (connection.under_way) return no(Reason::kRequestUnderWay);
  if (!connection.address_holds) return no(Reason::kOtherAddress);
  if (connection.idle >= connection.max_idle) return no(Reason::kTooOld);
  return connection.unread ? no(Reason::kInputUnread) : Verdict{};
}

Verdict may_close_idle(const ConnectionState& connection) {
  return connection.under_way ? no(Reason::kRequestUnderWay) : Verdict{};
}

Verdict may_accept(const ProcessState& process) { return process.held ? no(Reason::kHeld) : Verdict{}; }

Verdict may_report_ready(const ProcessState& process) {
  if (process.held) return no(Reason::kHeld);
  if (process.draining || process.leaving) return no(Reason::kDraining);
  return process.list_known ? Verdict{} : no(Reason::kNoList);
}

const char* name_of(Reason reason) {
  switch (reason) {
    case Reason::kAllowed:
      return "allowed";
    case Reason::kAnswered:
      return "answered";
    case Reason::kClientGone:
      return "client_gone";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kRepeatWindow:
      return "repeat_window";
    case Reason::kMayHaveRun:
      return "may_have_run";
    case Reason::kAnotherOut:
      return "another_out";
    case Reason::kAttemptsSpent:
      return "attempts_spent";
    case Reason::kBudgetSpent:
      return "budget_spent";
    case Reason::kBodyTaken:
      return "body_taken";
    case Reason::kSlotClosed:
      return "slot_closed";
    case Reason::kBackendWithdrawn:
      return "backend_withdrawn";
    case Reason::kListOutdated:
      return "list_outdated";
    case Reason::kRequestUnderWay:
      return "request_under_way";
    case Reason::kInputUnread:
      return "input_unread";
    case Reason::kOutputUnsent:
      return "output_unsent";
    case Reason::kTooOld:
      return "too_old";
    case Reason::kOtherAddress:
      return "other_address";
    case Reason::kHeld:
      return "held";
    case Reason::kDraining:
      return "draining";
    case Reason::kNoList:
      return "no_list";
  }
  return "unknown";
}

}  // namespace shorelead::guard
