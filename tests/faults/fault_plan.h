// Which system calls of this process fail, how, and how often they did. Two uses: a test names the next
// failures itself (fail_next), or a seed draws them (draw_faults), as the preloaded library does for whole
// processes. Only threads that asked for it are struck, unless a seed draws: then all are.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace shorelead::faults {

enum class Call : std::size_t {
  kAccept,
  kSocket,
  kConnect,
  kSocketError,  // getsockopt(SO_ERROR)
  kReceive,
  kPeek,  // recv(MSG_PEEK)
  kSend,
  kSendMessage,
  kRead,
  kReadFile,
  kWriteFile,
  kEpollWait,
  kEpollControl,
  kTimerSet,
  kSignalDescriptor,
  kOpen,
  kSync,
  kRename,
  kStall,  // no failure: the process is held up just before a write
  kCount
};

inline constexpr std::size_t kCalls = static_cast<std::size_t>(Call::kCount);

// What is to become of a call.
struct Fault {
  int error = 0;         // errno of the failure; 0: no failure, but
  bool partial = false;  // fewer bytes than asked for
};

// ---- for tests ----

// The next `times` such calls of struck threads fail with `error`, after `spare` calls that do not.
void fail_next(Call call, int error, int times = 1, int spare = 0);
// Calls of this thread may fail while one of these stands.
class InjectInThisThread {
 public:
  InjectInThisThread();
  ~InjectInThisThread();
  InjectInThisThread(const InjectInThisThread&) = delete;
  InjectInThisThread& operator=(const InjectInThisThread&) = delete;
};
bool thread_has_faults();
// Forgets all failures named before, and the step of the wall clock.
void clear();

// ---- for whole processes ----

// Reads "seed=7,recv=200,connect=50,clock=-3600000@1500": one in so many calls fails, drawn from the seed;
// the wall clock is stepped by so many milliseconds, so long after the start. `burst=LENGTH/EVERY`: calls
// fail only within the first LENGTH ms of every EVERY ms. Says what is wrong with the text.
std::optional<std::string> draw_faults(const std::string& text);
// Keeps the counts in this file, which outlives the process however it ends. False: it cannot be written.
bool count_into(const std::string& path);

// ---- for both ----

std::optional<Fault> next(Call call);     // none: the call goes through
std::uint64_t injected_count(Call call);  // how often such calls failed
const char* name_of(Call call);
// By how much the wall clock is off now, in ns.
std::int64_t wall_clock_step(std::int64_t monotonic_ns);
void step_wall_clock(double ms);  // at once

}  // namespace shorelead::faults
