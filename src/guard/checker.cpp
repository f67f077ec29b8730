#include "guard/checker.h"

#include <numeric>
#include <utility>

namespace shorelead::guard {
namespace {

constexpr Millis kLeftSlack = 100;      // after a client's end an attempt may still begin
constexpr Millis kDeadlineSlack = 150;  // by which a told deadline may be too long

}  // namespace

Checker::Checker(OnViolation on_violation) : on_violation_(std::move(on_violation)), records_(kRoom) {}

Checker::Record* Checker::find(RequestId request) {
  Record& record = records_[request % kRoom];
  return record.request == request ? &record : nullptr;
}

void Checker::violated(Rule rule, RequestId request) {
  ++counts_[static_cast<std::size_t>(rule)];
  on_violation_(rule, request);
}

void Checker::close_if_over(Record& record) {
  if (record.in_flight == 0 && (record.answered || record.left_at > 0)) record.open = false;
}

void Checker::taken(RequestId request, const RequestRules& rules) {
  Record& record = records_[request % kRoom];
  if (record.open) {
    ++unchecked_;
    return;
  }
  record = Record();
  record.request = request;
  record.open = true;
  record.rules = rules;
}

void Checker::due(RequestId request, Millis due) {
  if (Record* const record = find(request)) record->rules.due = due;
}

void Checker::written(RequestId request, bool withdrawn, Millis told, Millis now) {
  if (withdrawn) violated(Rule::kToWithdrawn, request);
  Record* const record = find(request);
  if (record == nullptr) return;
  const RequestRules& rules = record->rules;
  if (record->answered) violated(Rule::kAfterAnswer, request);
  if (record->left_at > 0 && now > record->left_at + kLeftSlack) violated(Rule::kAfterClientLeft, request);
  if (now > rules.due) violated(Rule::kAfterDue, request);
  if (told > rules.due - now + kDeadlineSlack) violated(Rule::kDeadlineTooLong, request);
  if (record->in_flight > 0 && !rules.parallel) violated(Rule::kTwoAtOnce, request);
  if (rules.run_once && (record->may_have_run || record->in_flight > 0)) violated(Rule::kRunTwice, request);
  const bool repeats = record->may_have_run || record->in_flight > 0;
  if (rules.window > 0 && repeats && now > record->first_written + rules.window)
    violated(Rule::kOutsideWindow, request);
  if (record->attempts >= rules.max_attempts) violated(Rule::kTooManyAttempts, request);
  if (!repeats) record->first_written = now;
  ++record->attempts;
  ++record->in_flight;
  record->open = true;
}

void Checker::over(RequestId request, bool never_ran) {
  Record* const record = find(request);
  if (record == nullptr || record->in_flight == 0) return;
  --record->in_flight;
  record->may_have_run = record->may_have_run || !never_ran;
  close_if_over(*record);
}

void Checker::answered(RequestId request, Answer answer) {
  Record* const record = find(request);
  if (record == nullptr) return;
  if (record->answered) violated(Rule::kAnsweredTwice, request);
  const bool ran = record->may_have_run || record->in_flight > 0;
  if (answer == Answer::kRefused && ran && !record->rules.refusal_repeats)
    violated(Rule::kRefusedAfterRun, request);
  record->answered = true;
  close_if_over(*record);
}

void Checker::client_left(RequestId request, Millis now) {
  Record* const record = find(request);
  if (record == nullptr) return;
  record->left_at = now;
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
