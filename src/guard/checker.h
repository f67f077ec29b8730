// Counts violations of the rules below as they happen, as an independent check of the guard: it receives the
// same events, but keeps its own records and never reads the guard's state. Owns those records, whose number
// is fixed, so that no event allocates. Pure: the caller passes the time, and violations go to a callback.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/millis.h"

namespace shorelead::guard {

enum class Rule : std::uint8_t {
  // Each request gets one complete final answer in time, and nothing is sent for it afterwards.
  kAnsweredTwice,
  kNeverAnswered,    // this node closed its connection without an answer
  kAfterAnswer,      // an attempt was written after the final answer
  kAfterClientLeft,  // an attempt was written over 0.1 s after the client had gone
  kAfterDue,
  kDeadlineTooLong,  // a deadline stated to a backend was longer than the client's
  // No effect happens twice.
  kRunTwice,       // a `run_once` request was sent again though an attempt may have run
  kTwoAtOnce,      // two attempts were in flight without `parallel`
  kOutsideWindow,  // a keyed request was sent again after its `window`
  kTooManyAttempts,
  kRefusedAfterRun,  // refused though an attempt may have run and `refusal_is_safe` is false
  // No new request goes to a backend that drains, is gone or was taken out of service.
  kToWithdrawn,
  kCount
};

inline constexpr std::size_t kRules = static_cast<std::size_t>(Rule::kCount);

const char* name_of(Rule rule);

// The settings for a request at the time of its arrival.
struct RequestRules {
  bool run_once = false;  // unsafe: not repeated once an attempt may have run
  bool parallel = false;  // two attempts may be in flight at once
  // The client can repeat the request after a refusal without harm, even if an attempt ran.
  bool refusal_is_safe = true;
  int max_attempts = 1;
  // Keyed requests: how long backends recognize the key, from the first attempt that may have run. 0 = not
  // keyed.
  Millis window = 0;
  Millis due = 0;  // deadline: the client waits until then
};

enum class Answer : std::uint8_t { kServed, kRefused, kFailed };

class Checker {
 public:
  using RequestId = std::uint32_t;
  using OnViolation = std::function<void(Rule, RequestId)>;

  explicit Checker(OnViolation on_violation);

  void request_accepted(RequestId request, const RequestRules& rules);
  void deadline_set(RequestId request, Millis due);  // once its body has arrived
  // The first byte of an attempt was handed to the system. `withdrawn`: the backend was no longer to get new
  // requests; `stated_timeout`: the remaining time sent to the backend.
  void attempt_written(RequestId request, bool withdrawn, Millis stated_timeout, Millis now);
  // An attempt that was written has ended. `never_ran`: its outcome proves that it did not run.
  void attempt_ended(RequestId request, bool never_ran);
  void request_answered(RequestId request, Answer answer);
  void client_left(RequestId request, Millis now);
  void closed_unanswered(RequestId request) { report_violation(Rule::kNeverAnswered, request); }

  std::uint64_t violations() const;  // of all rules
  std::uint64_t violations(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t unchecked() const { return unchecked_; }  // requests whose record was still in use

 private:
  struct Record {
    RequestId request = 0;
    bool open = false;  // not answered and its client still there, or an attempt in flight
    bool answered = false;
    bool may_have_run = false;
    std::uint8_t attempts = 0;
    std::uint8_t in_flight = 0;
    RequestRules rules;
    Millis first_written = 0;   // first attempt that may have run
    Millis client_left_at = 0;  // 0 = its client is there
  };
  // Records, one for each concurrent request; a node has fewer file descriptors.
  static constexpr std::size_t kCapacity = 2048;

  Record* find(RequestId request);
  void report_violation(Rule rule, RequestId request);
  void close_if_over(Record& record);

  const OnViolation on_violation_;
  std::vector<Record> records_;  // indexed by request number modulo kCapacity
  std::array<std::uint64_t, kRules> counts_{};
  std::uint64_t unchecked_ = 0;
};

}  // namespace shorelead::guard
