#include "node/config_reloader.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "membership/list_lease.h"

namespace shorelead::node {
namespace {

// A new configuration must be in force 4 s after the signal; half of that is left for its new pools.
constexpr Millis kRetryInterval = 50;
constexpr int kMaxAttempts = 40;

}  // namespace

void ConfigReloader::reload(const ReadConfig& read) {
  // The signal may have come while the process was suspended.
  const Millis now = loop_.now();
  const Millis requested_at = std::max(loop_.no_event_before(), now - membership::ListLease::kMaxPause);
  if (requested_at_ == 0) requested_at_ = requested_at;
  loop_.cancel(retry_timer_);
  attempts_ = 0;
  attempt(read);
}

void ConfigReloader::attempt(const ReadConfig& read) {
  Config fresh;
  try {
    fresh = read();
    fresh.keys.require_all_of(host_.keys());
  } catch (const UnreadableConfig& error) {
    if (++attempts_ >= kMaxAttempts) return reject("reloaded", error);
    spdlog::warn("cannot read the configuration, retrying: {}", error.what());
    retry_timer_ = loop_.after(kRetryInterval, [this, read] {
      retry_timer_ = 0;
      attempt(read);
    });
    return;
  } catch (const std::exception& error) {
    return reject("reloaded", error);
  }
  fresh.requested_at = std::exchange(requested_at_, 0);
  try {
    host_.apply(std::move(fresh));
    ++succeeded_;
  } catch (const std::exception& error) {
    reject("taken up", error);
  }
}

void ConfigReloader::reject(const char* what, const std::exception& error) {
  ++failed_;
  requested_at_ = 0;
  spdlog::error("configuration not {}, keeping the current one: {}", what, error.what());
}

}  // namespace shorelead::node
