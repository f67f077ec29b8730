// Logs how much memory this process has used, as a share of its limit: a line whenever its peak passes a
// further share, with what it held at that moment. A process that is killed for its memory leaves no other
// trace.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "node/process_memory.h"

namespace shorelead::node {

// How many there are now of what holds memory.
struct MemoryHolders {
  std::size_t clients = 0;
  std::size_t client_bytes = 0;  // held by their connections
  std::size_t open_requests = 0;
  std::size_t streamed_bodies = 0;  // of requests and responses
  std::size_t stream_bytes = 0;     // held by these, and by responses that are not whole
  int backend_connections = 0;
  std::uint64_t given_up = 0;  // connections of clients, for their memory, since the start
};

class MemoryLog {
 public:
  explicit MemoryLog(std::function<MemoryHolders()> holders);

  // `limit_mb`: of this process, now.
  void observe(const ProcessMemory& memory, double limit_mb);
  void log_counters(const ProcessMemory& memory, double limit_mb) const;

 private:
  std::string holders() const;

  const std::function<MemoryHolders()> holders_;
  std::size_t logged_ = 0;  // shares that the peak has passed
};

}  // namespace shorelead::node
