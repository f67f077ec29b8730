// Counts violations of the rules as they happen, from the same events as the guard but by a record of its
// own: what the guard believes of a request or a backend is never looked at. Owns that record, of fixed size,
// so that no event allocates. Pure: events come with the time, violations go to whoever listens.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/millis.h"

namespace shorelead::guard {

enum class Rule : std::uint8_t {
  // One whole final answer in its time, and nothing sent for it after.
  kAnsweredTwice,
  kNeverAnswered,    // its connection was closed by this node with no answer
  kAfterAnswer,      // an attempt was written
  kAfterClientLeft,  // over 0.1 s
  kAfterDue,
  kDeadlineTooLong,  // told to a backend: more than the client has left
  // No effect twice.
  kRunTwice,
  kTwoAtOnce,
  kOutsideWindow,
  kTooManyAttempts,
  kRefusedAfterRun,
  // Nothing new to a backend that drains, is gone or was taken out.
  kToWithdrawn,
  kCount
};

inline constexpr std::size_t kRules = static_cast<std::size_t>(Rule::kCount);

const char* name_of(Rule rule);

// What the settings said of a request when it came.
struct RequestRules {
  bool run_once = false;        // unsafe: never again once an attempt may have run
  bool parallel = false;        // two attempts may be out at once
  bool refusal_repeats = true;  // a client's repeat is harmless even if an attempt has run
  int max_attempts = 1;
  Millis window = 0;  // keyed: for how long its key is known after the first attempt; 0 = it is not keyed
  Millis due = 0;     // its client waits until then
};

enum class Answer : std::uint8_t { kServed, kRefused, kFailed };

class Checker {
 public:
  using RequestId = std::uint32_t;
  using OnViolation = std::function<void(Rule, RequestId)>;

  explicit Checker(OnViolation on_violation);

  void taken(RequestId request, const RequestRules& rules);
  void due(RequestId request, Millis due);  // its body has come: from now on
  // An attempt's first byte was handed to the system; `told`: the time that it tells its backend.
  // `withdrawn`: its backend was to get nothing new by then.
  void written(RequestId request, bool withdrawn, Millis told, Millis now);
  // One that was written has ended; `never_ran`: its outcome proves it.
  void over(RequestId request, bool never_ran);
  void answered(RequestId request, Answer answer);
  void client_left(RequestId request, Millis now);
  void closed_unanswered(RequestId request) { violated(Rule::kNeverAnswered, request); }

  std::uint64_t violations() const;  // all
  std::uint64_t violations(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t unchecked() const { return unchecked_; }  // requests for which there was no room

 private:
  struct Record {
    RequestId request = 0;
    bool open = false;  // it has no answer, and its client is there; or an attempt is out
    bool answered = false;
    bool may_have_run = false;
    std::uint8_t attempts = 0;
    std::uint8_t in_flight = 0;
    RequestRules rules;
    Millis first_written = 0;  // of those that may have run
    Millis left_at = 0;        // 0: its client is there
  };
  static constexpr std::size_t kRoom = 2048;  // requests at once; more than a node's descriptors

  Record* find(RequestId request);
  void violated(Rule rule, RequestId request);
  void close_if_over(Record& record);

  const OnViolation on_violation_;
  std::vector<Record> records_;  // by number, of kRoom
  std::array<std::uint64_t, kRules> counts_{};
  std::uint64_t unchecked_ = 0;
};

}  // namespace shorelead::guard
