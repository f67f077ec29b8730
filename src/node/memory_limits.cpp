#include "node/memory_limits.h"

#include <malloc.h>

#include <utility>

#include "node/process_memory.h"

namespace shorelead::node {
namespace {

constexpr Millis kInterval = 250;
constexpr double kBytesPerMb = 1048576;
constexpr double kDefaultLimitMb = 256;  // if the configuration gives none
constexpr double kFreedMb = 2;           // that the allocator may keep

double limit_or_default(double limit_mb) { return limit_mb > 0 ? limit_mb : kDefaultLimitMb; }

}  // namespace

MemoryLimits::MemoryLimits(Loop& loop, double limit_mb, bool restartable, Host host)
    : loop_(loop),
      host_(std::move(host)),
      configured_(limit_mb > 0),
      use_{.limit_mb = limit_or_default(limit_mb), .restartable = configured_ && restartable},
      streams_(std::make_shared<net::FlowBudget>(0)),
      log_(host_.holders) {
  started();
  timer_ = loop_.after(kInterval, [this] { check(); });
}

void MemoryLimits::started() {
  measure();
  use_.start_mb = kept_mb_ = measured_.resident_mb;
  divide();
}

void MemoryLimits::set_limit(double limit_mb) {
  configured_ = limit_mb > 0;
  use_.limit_mb = limit_or_default(limit_mb);
  measure();
  divide();
}

void MemoryLimits::adjust() {
  measure();
  divide();
  host_.relieve();
  ::malloc_trim(0);
}

void MemoryLimits::check() {
  timer_ = loop_.after(kInterval, [this] { check(); });
  measure();
  if (beside_mb() > kept_mb_ + kFreedMb) {
    ::malloc_trim(0);
    measure();
    kept_mb_ = beside_mb();
  }
  divide();
  host_.relieve();
  log_.observe(measured_, process_limit_mb());
}

void MemoryLimits::measure() {
  if (const auto memory = process_memory()) measured_ = *memory;
}

double MemoryLimits::beside_mb() const { return configured_ ? measured_.resident_mb - buffered_mb() : 0; }

double MemoryLimits::buffered_mb() const {
  return static_cast<double>(host_.client_bytes() + streams_->held()) / kBytesPerMb;
}

void MemoryLimits::divide() {
  use_.processes = host_.processes();
  use_.beside_mb = beside_mb();
  const limits::MemoryShares shares = limits::memory_shares(use_);
  clients_ = shares.clients;
  streams_->set_limit(shares.streams);
}

}  // namespace shorelead::node
