// The limits on what this process buffers, adjusted to what it holds beside its buffers. Measures the process
// at intervals, has memory that was freed given back to the system, and has buffers freed when a limit has
// become lower than what they hold.
#pragma once

#include <functional>
#include <memory>

#include "limits/memory_shares.h"
#include "net/flow_budget.h"
#include "node/memory_log.h"
#include "node/net.h"

namespace shorelead::node {

class MemoryLimits {
 public:
  struct Host {
    std::function<int()> processes;             // of the node, that share the limit
    std::function<std::size_t()> client_bytes;  // that clients' connections hold
    std::function<void()> relieve;              // gives up connections until the limits are kept
    std::function<MemoryHolders()> holders;
  };

  // `limit_mb`: of the node; 0: none is configured. `restartable`: another process of the node may be
  // started.
  MemoryLimits(Loop& loop, double limit_mb, bool restartable, Host host);
  ~MemoryLimits() { loop_.cancel(timer_); }
  MemoryLimits(const MemoryLimits&) = delete;
  MemoryLimits& operator=(const MemoryLimits&) = delete;

  void started();                   // all parts of the process have been made
  void set_limit(double limit_mb);  // the configuration has changed
  void adjust();                    // another process has come or gone
  // Of streamed bodies, and of responses that are not whole.
  const std::shared_ptr<net::FlowBudget>& streams() const { return streams_; }
  std::size_t clients() const { return clients_; }  // bytes that clients' connections may hold
  void log_counters() const { log_.log_counters(process_memory().value_or(measured_), process_limit_mb()); }

 private:
  void check();
  void measure();  // what cannot be measured now stays as it was
  void divide();
  double beside_mb() const;
  double buffered_mb() const;
  double process_limit_mb() const { return use_.limit_mb / host_.processes(); }

  Loop& loop_;
  const Host host_;
  bool configured_;  // a limit; else nothing is adjusted to what the process holds
  limits::MemoryUse use_;
  ProcessMemory measured_;
  double kept_mb_ = 0;  // beside the buffers, when memory was last given back
  const std::shared_ptr<net::FlowBudget> streams_;
  std::size_t clients_ = 0;
  MemoryLog log_;
  Loop::TimerId timer_ = 0;
};

}  // namespace shorelead::node
