#include "faults/fault_plan.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <charconv>
#include <cstdlib>
#include <ctime>
#include <mutex>
#include <string_view>
#include <vector>

namespace shorelead::faults {
namespace {

constexpr std::array<const char*, kCalls> kNames = {
    "accept",   "socket", "connect",   "so_error",   "recv",       "peek",      "send",
    "sendmsg",  "read",   "read_file", "write_file", "epoll_wait", "epoll_ctl", "timer_set",
    "signalfd", "open",   "fsync",     "rename",     "stall"};

constexpr int kPartial = -1;  // in place of an errno: a partial transfer

// The transient errors that Linux documents for each call.
const std::vector<int>& errors_of(Call call) {
  static const std::array<std::vector<int>, kCalls> kErrors = {{
      {EINTR, ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, ENETUNREACH, EHOSTUNREACH, ENETDOWN},
      {EMFILE, ENFILE, ENOBUFS, ENOMEM},
      {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN, EINTR, EHOSTUNREACH},
      {ENOMEM},
      {EINTR, EAGAIN, ENOMEM, kPartial},
      {EINTR, ENOMEM},
      {EINTR, EAGAIN, ENOBUFS, ENOMEM, kPartial},
      {EINTR, EAGAIN, ENOBUFS, ENOMEM, kPartial},
      {EINTR, EAGAIN},
      {EINTR, EIO},
      {EINTR, ENOSPC, EIO, kPartial},
      {EINTR},
      {ENOMEM, ENOSPC},
      {ENOMEM},
      {EMFILE, ENFILE, ENOMEM},
      {EINTR, EMFILE, ENFILE, ENOMEM, EIO},
      {EIO, ENOSPC, EINTR},
      {EIO, ENOSPC},
      {0},
  }};
  return kErrors[static_cast<std::size_t>(call)];
}

struct NamedFault {
  Call call;
  int error;
  int times;
  int spare;
};

struct ClockStep {
  std::int64_t at_ns;  // after the start
  std::int64_t by_ns;
};

struct Plan {
  std::mutex mutex;
  std::vector<NamedFault> named_faults;
  bool drawn = false;
  std::uint64_t random = 0;
  std::array<std::uint64_t, kCalls> one_in{};
  std::int64_t burst_length_ns = 0;
  std::int64_t burst_every_ns = 0;
  std::vector<ClockStep> steps;
  std::int64_t started_ns = 0;
};

// Never destroyed, as calls are made during the exit of the process.
Plan& plan() {
  static Plan* const one = new Plan;
  return *one;
}

std::array<std::atomic<std::uint64_t>, kCalls> own_counts;
std::atomic<std::uint64_t>* counts = own_counts.data();
std::atomic<bool> any{false};
std::atomic<std::int64_t> stepped_ns{0};
thread_local int thread_depth = 0;

// SplitMix64.
std::uint64_t draw(Plan& p) {
  std::uint64_t z = (p.random += 0x9e3779b97f4a7c15ULL);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

std::int64_t monotonic_ns() {
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1'000'000'000LL + now.tv_nsec;
}

Fault fault_of(int error) { return error == kPartial ? Fault{0, true} : Fault{error, false}; }

std::optional<Fault> named_next(Plan& p, Call call) {
  if (thread_depth == 0) return std::nullopt;
  for (auto it = p.named_faults.begin(); it != p.named_faults.end(); ++it) {
    if (it->call != call) continue;
    if (it->spare-- > 0) return std::nullopt;
    it->spare = 0;
    const Fault fault = fault_of(it->error);
    if (--it->times == 0) p.named_faults.erase(it);
    return fault;
  }
  return std::nullopt;
}

std::optional<Fault> drawn_next(Plan& p, Call call) {
  const std::uint64_t one_in = p.one_in[static_cast<std::size_t>(call)];
  if (one_in == 0) return std::nullopt;
  if (p.burst_every_ns > 0 && (monotonic_ns() - p.started_ns) % p.burst_every_ns >= p.burst_length_ns)
    return std::nullopt;
  if (draw(p) % one_in != 0) return std::nullopt;
  const std::vector<int>& errors = errors_of(call);
  return fault_of(errors[draw(p) % errors.size()]);
}

template <typename Number>
bool read_number(std::string_view text, Number& into) {
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), into);
  return error == std::errc() && rest == text.data() + text.size();
}

// Parses two numbers that are separated by `between`.
bool read_pair(std::string_view text, char between, std::int64_t& first, std::int64_t& second) {
  const std::size_t at = text.find(between);
  return at != std::string_view::npos && read_number(text.substr(0, at), first) &&
         read_number(text.substr(at + 1), second);
}

bool read_setting(Plan& p, std::string_view name, std::string_view value) {
  constexpr std::int64_t kMs = 1'000'000;
  if (name == "seed") return read_number(value, p.random);
  if (name == "clock") {
    ClockStep step{};
    if (!read_pair(value, '@', step.by_ns, step.at_ns)) return false;
    p.steps.push_back({step.at_ns * kMs, step.by_ns * kMs});
    return true;
  }
  if (name == "burst") {
    if (!read_pair(value, '/', p.burst_length_ns, p.burst_every_ns)) return false;
    p.burst_length_ns *= kMs;
    p.burst_every_ns *= kMs;
    return p.burst_every_ns > 0;
  }
  for (std::size_t n = 0; n < kCalls; ++n) {
    if (name == kNames[n]) return read_number(value, p.one_in[n]);
  }
  return false;
}

}  // namespace

void fail_next(Call call, int error, int times, int spare) {
  Plan& p = plan();
  const std::lock_guard lock(p.mutex);
  p.named_faults.push_back({call, error, times, spare});
  any = true;
}

InjectInThisThread::InjectInThisThread() { ++thread_depth; }
InjectInThisThread::~InjectInThisThread() { --thread_depth; }
bool thread_has_faults() { return thread_depth > 0; }

void clear() {
  Plan& p = plan();
  const std::lock_guard lock(p.mutex);
  p.named_faults.clear();
  p.steps.clear();
  any = p.drawn;
  stepped_ns = 0;
}

std::optional<std::string> draw_faults(const std::string& text) {
  Plan& p = plan();
  const std::lock_guard lock(p.mutex);
  p.started_ns = monotonic_ns();
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    const std::string_view setting = rest.substr(0, comma);
    rest.remove_prefix(std::min(comma + 1, rest.size()));
    const std::size_t equals = std::min(setting.find('='), setting.size());
    const std::string_view value = equals < setting.size() ? setting.substr(equals + 1) : std::string_view();
    if (!read_setting(p, setting.substr(0, equals), value)) return "not understood: " + std::string(setting);
  }
  p.drawn = true;
  any = true;
  return std::nullopt;
}

bool count_into(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (fd < 0) return false;
  constexpr std::size_t kSize = kCalls * sizeof(std::uint64_t);
  void* const at = ::ftruncate(fd, kSize) == 0
                       ? ::mmap(nullptr, kSize, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0)
                       : MAP_FAILED;
  ::close(fd);
  if (at == MAP_FAILED) return false;
  counts = static_cast<std::atomic<std::uint64_t>*>(at);
  return true;
}

std::optional<Fault> next(Call call) {
  if (!any.load(std::memory_order_relaxed)) return std::nullopt;
  Plan& p = plan();
  const std::lock_guard lock(p.mutex);
  const auto fault = p.drawn ? drawn_next(p, call) : named_next(p, call);
  if (fault) counts[static_cast<std::size_t>(call)].fetch_add(1, std::memory_order_relaxed);
  return fault;
}

std::uint64_t injected_count(Call call) { return counts[static_cast<std::size_t>(call)].load(); }
const char* name_of(Call call) { return kNames[static_cast<std::size_t>(call)]; }

std::int64_t wall_clock_step(std::int64_t monotonic_now) {
  std::int64_t by = stepped_ns.load(std::memory_order_relaxed);
  const Plan& p = plan();
  for (const ClockStep& step : p.steps) {
    if (monotonic_now - p.started_ns >= step.at_ns) by += step.by_ns;
  }
  return by;
}

void step_wall_clock(double ms) { stepped_ns += static_cast<std::int64_t>(ms * 1e6); }

}  // namespace shorelead::faults
