#include "guard/event_log.h"

#include <unistd.h>

#include <atomic>
#include <csignal>

namespace shorelead::guard {
namespace {

std::atomic<const EventLog*> crash_log{nullptr};

// Builds a line of text without library functions that are not async-signal-safe.
class Line {
 public:
  void append(const char* text) {
    while (*text != 0 && size_ < kSize) buffer_[size_++] = *text++;
  }
  void append(std::uint64_t value) {
    std::array<char, 20> digits{};
    std::size_t count = 0;
    do {
      digits[count++] = static_cast<char>('0' + value % 10);
      value /= 10;
    } while (value != 0);
    while (count > 0 && size_ < kSize) buffer_[size_++] = digits[--count];
  }
  void write_to(int fd) const {
    std::size_t done = 0;
    while (done < size_) {
      const ssize_t wrote = ::write(fd, buffer_.data() + done, size_ - done);
      if (wrote <= 0) return;
      done += static_cast<std::size_t>(wrote);
    }
  }

 private:
  static constexpr std::size_t kSize = 160;
  std::array<char, kSize> buffer_{};
  std::size_t size_ = 0;
};

void on_crash(int signal) {
  if (const EventLog* const log = crash_log.load()) log->write_to(STDERR_FILENO, 0);
  std::signal(signal, SIG_DFL);
  std::raise(signal);
}

}  // namespace

EventLog::~EventLog() {
  const EventLog* here = this;
  crash_log.compare_exchange_strong(here, nullptr);
}

void EventLog::write_to(int fd, Millis now) const {
  for_each([fd, now](const EventRecord& event) {
    Line line;
    line.append("event ");
    // Milliseconds before `now` if that is known, otherwise since the clock's origin.
    const Millis at = now > 0 ? now - event.at : event.at;
    line.append(at > 0 ? static_cast<std::uint64_t>(at) : 0);
    line.append(now > 0 ? "ms_ago " : "ms ");
    line.append(name_of(event.kind));
    line.append(" request=");
    line.append(event.request);
    line.append(".");
    line.append(event.attempt);
    line.append(" reason=");
    line.append(event.reason);
    line.append(" detail=");
    line.append(event.detail);
    line.append("\n");
    line.write_to(fd);
  });
}

void EventLog::write_at_crash() const {
  crash_log = this;
  for (const int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) std::signal(signal, on_crash);
}

const char* name_of(EventKind kind) {
  switch (kind) {
    case EventKind::kNone:
      return "none";
    case EventKind::kTaken:
      return "taken";
    case EventKind::kAttemptDecided:
      return "attempt_decided";
    case EventKind::kAttemptDenied:
      return "attempt_denied";
    case EventKind::kAttemptWritten:
      return "attempt_written";
    case EventKind::kAttemptOver:
      return "attempt_over";
    case EventKind::kServed:
      return "served";
    case EventKind::kRefused:
      return "refused";
    case EventKind::kFailed:
      return "failed";
    case EventKind::kClientGone:
      return "client_gone";
    case EventKind::kHandlerThrew:
      return "handler_threw";
    case EventKind::kClientOpened:
      return "client_opened";
    case EventKind::kClientClosed:
      return "client_closed";
    case EventKind::kBackendOpened:
      return "backend_opened";
    case EventKind::kBackendClosed:
      return "backend_closed";
    case EventKind::kList:
      return "list";
    case EventKind::kGeneration:
      return "generation";
    case EventKind::kProcess:
      return "process";
    case EventKind::kViolation:
      return "violation";
  }
  return "unknown";
}

}  // namespace shorelead::guard
