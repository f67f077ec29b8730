#include "guard/guard.h"

namespace shorelead::guard {
namespace {

// A build without one of the conditions, to verify that the tests notice its absence
// (tests/guard/mutants.sh).
#ifdef SHORELEAD_GUARD_WITHOUT
Verdict deny(Reason reason) {
  return {reason == Reason::SHORELEAD_GUARD_WITHOUT ? Reason::kAllowed : reason};
}
#else
Verdict deny(Reason reason) { return {reason}; }
#endif

// Conditions of every attempt, both when it is decided and when it is written.
Verdict may_begin(const RequestState& request, Millis now) {
  if (request.answered) return deny(Reason::kAnswered);
  if (!request.client_waiting) return deny(Reason::kClientGone);
  if (now >= request.due) return deny(Reason::kDeadline);
  if (request.attempts >= request.max_attempts) return deny(Reason::kAttemptsSpent);
  if (request.run_once && request.may_have_run) return deny(Reason::kMayHaveRun);
  if (now >= request.repeat_until) return deny(Reason::kRepeatWindow);
  if (!request.slot_open) return deny(Reason::kSlotClosed);
  return {};
}

}  // namespace

Verdict may_write(const RequestState& request, const BackendState& backend, Millis now) {
  if (!backend.in_service) return deny(Reason::kBackendWithdrawn);
  if (!backend.list_valid) return deny(Reason::kListOutdated);
  if (request.body_taken) return deny(Reason::kBodyTaken);
  if (request.in_flight > 0 && !request.parallel) return deny(Reason::kAnotherOut);
  return may_begin(request, now);
}

Verdict may_send(const RequestState& request, Millis now) {
  if (request.attempts > 0 && request.retries_left < 1) return deny(Reason::kBudgetSpent);
  return may_begin(request, now);
}

Verdict may_hedge(const RequestState& request, Millis now) {
  if (request.in_flight > 1 || (request.in_flight == 1 && !request.parallel))
    return deny(Reason::kAnotherOut);
  return may_send(request, now);
}

Verdict may_refuse(const RequestState& request) {
  if (request.answered) return deny(Reason::kAnswered);
  if (request.may_have_run && !request.refusal_is_safe) return deny(Reason::kMayHaveRun);
  return {};
}

Verdict may_fail(const RequestState& request) {
  return request.answered ? deny(Reason::kAnswered) : Verdict{};
}

Verdict may_forward(const RequestState& request) {
  return request.answered ? deny(Reason::kAnswered) : Verdict{};
}

Verdict may_close_client(const ConnectionState& connection) {
  if (connection.under_way) return deny(Reason::kRequestUnderWay);
  if (connection.unsent) return deny(Reason::kOutputUnsent);
  return connection.unread ? deny(Reason::kInputUnread) : Verdict{};
}

Verdict may_reuse(const ConnectionState& connection) {
  if (connection.under_way) return deny(Reason::kRequestUnderWay);
  if (!connection.address_current) return deny(Reason::kOtherAddress);
  if (connection.idle >= connection.max_idle) return deny(Reason::kTooOld);
  return connection.unread ? deny(Reason::kInputUnread) : Verdict{};
}

Verdict may_close_idle(const ConnectionState& connection) {
  return connection.under_way ? deny(Reason::kRequestUnderWay) : Verdict{};
}

Verdict may_accept(const ProcessState& process) { return process.held ? deny(Reason::kHeld) : Verdict{}; }

Verdict may_report_ready(const ProcessState& process) {
  if (process.held) return deny(Reason::kHeld);
  if (process.draining || process.leaving) return deny(Reason::kDraining);
  return process.list_known ? Verdict{} : deny(Reason::kNoList);
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
