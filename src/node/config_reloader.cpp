#include "node/config_reloader.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace shorelead::node {
namespace {

// A new configuration must be in force 4 s after the signal; half of that is left for its new pools.
constexpr Millis kRetryInterval = 50;
constexpr int kMaxAttempts = 40;

}  // namespace

void ConfigReloader::reload(const ReadConfig& read) {
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
  try {
    host_.apply(std::move(fresh));
    ++succeeded_;
  } catch (const std::exception& error) {
    reject("taken up", error);
  }
}

void ConfigReloader::reject(const char* what, const std::exception& error) {
  ++failed_;
  spdlog::error("configuration not {}, keeping the current one: {}", what, error.what());
}

}  // namespace shorelead::node
