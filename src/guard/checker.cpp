#include "guard/checker.h"

#include <numeric>
#include <utility>

namespace shorelead::guard {
namespace {

// An attempt may still begin this long after its client has gone.
constexpr Millis kClientGoneTolerance = 100;
constexpr Millis kDeadlineTolerance = 150;  // a deadline stated to a backend may be too long by this much

}  // namespace

Checker::Checker(OnViolation on_violation) : on_violation_(std::move(on_violation)), records_(kCapacity) {}

Checker::Record* Checker::find(RequestId request) {
  Record& record = records_[request % kCapacity];
  return record.request == request ? &record : nullptr;
}

void Checker::report_violation(Rule rule, RequestId request) {
  ++counts_[static_cast<std::size_t>(rule)];
  on_violation_(rule, request);
}

void Checker::close_if_over(Record& record) {
  if (record.in_flight == 0 && (record.answered || record.client_left_at > 0)) record.open = false;
}

void Checker::request_accepted(RequestId request, const RequestRules& rules) {
  Record& record = records_[request % kCapacity];
  if (record.open) {
    ++unchecked_;
    return;
  }
  record = Record();
  record.request = request;
  record.open = true;
  record.rules = rules;
}

void Checker::deadline_set(RequestId request, Millis due) {
  if (Record* const record = find(request)) record->rules.due = due;
}

void Checker::attempt_written(RequestId request, bool withdrawn, Millis stated_timeout, Millis now) {
  if (withdrawn) report_violation(Rule::kToWithdrawn, request);
  Record* const record = find(request);
  if (record == nullptr) return;
  const RequestRules& rules = record->rules;
  if (record->answered) report_violation(Rule::kAfterAnswer, request);
  if (record->client_left_at > 0 && now > record->client_left_at + kClientGoneTolerance)
    report_violation(Rule::kAfterClientLeft, request);
  if (now > rules.due) report_violation(Rule::kAfterDue, request);
  if (stated_timeout > rules.due - now + kDeadlineTolerance)
    report_violation(Rule::kDeadlineTooLong, request);
  if (record->in_flight > 0 && !rules.parallel) report_violation(Rule::kTwoAtOnce, request);
  if (rules.run_once && (record->may_have_run || record->in_flight > 0))
    report_violation(Rule::kRunTwice, request);
  const bool is_repeat = record->may_have_run || record->in_flight > 0;
  if (rules.window > 0 && is_repeat && now > record->first_written + rules.window)
    report_violation(Rule::kOutsideWindow, request);
  if (record->attempts >= rules.max_attempts) report_violation(Rule::kTooManyAttempts, request);
  if (!is_repeat) record->first_written = now;
  ++record->attempts;
  ++record->in_flight;
  record->open = true;
}

void Checker::attempt_ended(RequestId request, bool never_ran) {
  Record* const record = find(request);
  if (record == nullptr || record->in_flight == 0) return;
  --record->in_flight;
  record->may_have_run = record->may_have_run || !never_ran;
  close_if_over(*record);
}

void Checker::request_answered(RequestId request, Answer answer) {
  Record* const record = find(request);
  if (record == nullptr) return;
  if (record->answered) report_violation(Rule::kAnsweredTwice, request);
  const bool ran = record->may_have_run || record->in_flight > 0;
  if (answer == Answer::kRefused && ran && !record->rules.refusal_is_safe)
    report_violation(Rule::kRefusedAfterRun, request);
  record->answered = true;
  close_if_over(*record);
}

void Checker::client_left(RequestId request, Millis now) {
  Record* const record = find(request);
  if (record == nullptr) return;
  record->client_left_at = now;
  close_if_over(*record);
}

std::uint64_t Checker::violations() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

const char* name_of(Rule rule) {
  static constexpr std::array<const char*, kRules> kNames = {
      "answered_twice", "never_answered",    "after_answer",      "after_client_left",
      "after_due",      "deadline_too_long", "run_twice",         "two_at_once",
      "outside_window", "too_many_attempts", "refused_after_run", "to_withdrawn"};
  return kNames[static_cast<std::size_t>(rule)];
}

}  // namespace shorelead::guard
