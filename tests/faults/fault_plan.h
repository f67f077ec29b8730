// Fault injection: which system calls of this process fail and how, with counts. Either a test names the next
// failures (fail_next), or they are drawn at random from a seed (draw_faults), as the preloaded library does
// for whole processes. Named failures affect only threads with InjectInThisThread, drawn ones all threads.
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
  kStall,  // no failure: a delay just before a write
  kCount
};

inline constexpr std::size_t kCalls = static_cast<std::size_t>(Call::kCount);

// The fault injected into a call.
struct Fault {
  int error = 0;         // errno of the failure; 0 if the call succeeds
  bool partial = false;  // the call transfers fewer bytes than requested
};

// ---- for tests ----

// After `spare` successful calls, the next `times` calls of threads with injection fail with `error`.
void fail_next(Call call, int error, int times = 1, int spare = 0);
// Enables injection in the current thread for the lifetime of the object.
class InjectInThisThread {
 public:
  InjectInThisThread();
  ~InjectInThisThread();
  InjectInThisThread(const InjectInThisThread&) = delete;
  InjectInThisThread& operator=(const InjectInThisThread&) = delete;
};
bool thread_has_faults();
// Removes all named failures and the step of the wall clock.
void clear();

// ---- for whole processes ----

// Parses settings such as "seed=7,recv=200,connect=50,clock=-3600000@1500": one in 200 calls of recv() fails,
// drawn from the seed; `clock=BY@AT` steps the wall clock by BY ms, AT ms after the start. With
// `burst=LENGTH/EVERY` calls fail only in the first LENGTH ms of every EVERY ms. Returns an error message if
// the text is not valid.
std::optional<std::string> draw_faults(const std::string& text);
// Keeps the counts in a file, which remains when the process is killed. Returns false if it cannot be
// written.
bool count_into(const std::string& path);

// ---- for both ----

std::optional<Fault> next(Call call);     // nothing if the call is not to fail
std::uint64_t injected_count(Call call);  // number of injected faults
const char* name_of(Call call);
// Current offset of the wall clock, in ns.
std::int64_t wall_clock_step(std::int64_t monotonic_ns);
void step_wall_clock(double ms);  // immediately

}  // namespace shorelead::faults
