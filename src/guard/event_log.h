// The most recent events of a process, to find out afterwards what became of a request or a connection. Owns
// a ring of fixed size; adding an event neither allocates nor formats. It is written out as text after a
// violation of a rule and by the handler of a crash signal, hence writing uses only async-signal-safe
// functions. Not thread-safe: one thread adds.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/millis.h"

namespace shorelead::guard {

enum class EventKind : std::uint8_t {
  kNone,
  // of a request
  kTaken,
  kAttemptDecided,  // detail: backend
  kAttemptDenied,   // reason
  kAttemptWritten,
  kAttemptOver,  // reason: how it ended (net::Ending)
  kServed,
  kRefused,
  kFailed,
  kClientGone,
  kHandlerThrew,
  // of a connection; detail: its file descriptor
  kClientOpened,
  kClientClosed,  // reason: why (net::Ending)
  kBackendOpened,
  kBackendClosed,
  // of the process
  kList,        // detail: version of the list
  kGeneration,  // new configuration in force; detail: its number
  kProcess,     // reason: the new state (ProcessPhase)
  kViolation,   // reason: the rule that was violated (Rule)
};

enum class ProcessPhase : std::uint8_t { kStarting, kReady, kDraining, kLeaving, kStopped };

struct EventRecord {
  Millis at = 0;
  std::uint64_t detail = 0;
  std::uint32_t request = 0;
  std::uint16_t attempt = 0;
  EventKind kind = EventKind::kNone;
  std::uint8_t reason = 0;
};

const char* name_of(EventKind kind);

class EventLog {
 public:
  static constexpr std::size_t kSize = 4096;

  EventLog() = default;
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void add(const EventRecord& event) { ring_[count_++ % kSize] = event; }
  std::uint64_t count() const { return count_; }

  // Calls `visit` with each event that is still in the ring, the oldest first.
  template <typename Visit>
  void for_each(Visit visit) const {
    const std::uint64_t first = count_ > kSize ? count_ - kSize : 0;
    for (std::uint64_t n = first; n < count_; ++n) visit(ring_[n % kSize]);
  }

  // Writes one line for each event: milliseconds before `now`, kind, request.attempt, reason, detail.
  // Async-signal-safe.
  void write_to(int fd, Millis now) const;
  // Writes the log to standard error when a signal crashes the process; the signal then takes its default
  // action.
  void write_at_crash() const;

 private:
  std::array<EventRecord, kSize> ring_{};
  std::uint64_t count_ = 0;
};

}  // namespace shorelead::guard
