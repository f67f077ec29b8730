#include "node/memory_log.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <array>
#include <utility>

namespace shorelead::node {
namespace {

constexpr std::array<double, 6> kShares = {0.5, 0.7, 0.8, 0.9, 0.95, 1};  // of the limit

}  // namespace

MemoryLog::MemoryLog(std::function<MemoryHolders()> holders) : holders_(std::move(holders)) {}

void MemoryLog::observe(const ProcessMemory& memory, double limit_mb) {
  std::size_t passed = logged_;
  while (passed < kShares.size() && memory.peak_mb >= kShares[passed] * limit_mb) ++passed;
  if (passed == logged_) return;
  logged_ = passed;
  spdlog::warn("memory: peak {:.1f} MB, {:.0f}% of {:.0f} MB; resident_mb={:.1f} {}", memory.peak_mb,
               100 * memory.peak_mb / limit_mb, limit_mb, memory.resident_mb, holders());
}

std::string MemoryLog::holders() const {
  const MemoryHolders now = holders_();
  return fmt::format(
      "clients={} client_bytes={} open_requests={} streamed_bodies={} stream_bytes={} backend_connections={} "
      "given_up={}",
      now.clients, now.client_bytes, now.open_requests, now.streamed_bodies, now.stream_bytes,
      now.backend_connections, now.given_up);
}

void MemoryLog::log_counters(const ProcessMemory& memory, double limit_mb) const {
  spdlog::info("counters: memory peak_mb={:.1f} resident_mb={:.1f} limit_mb={:.0f} {}", memory.peak_mb,
               memory.resident_mb, limit_mb, holders());
}

}  // namespace shorelead::node
