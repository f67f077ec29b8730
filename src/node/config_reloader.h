// Reloads the configuration: reads it, retries while the file cannot be read, checks it against the current
// one and hands it to the host. Counts successful and failed reloads. An invalid file changes nothing.
#pragma once

#include <cstdint>
#include <functional>

#include "node/config.h"
#include "node/net.h"

namespace shorelead::node {

class ConfigReloader {
 public:
  using ReadConfig = std::function<Config()>;
  struct Host {
    std::function<const ConfigKeys&()> keys;  // of the current file, whose keys a new one must have
    std::function<void(Config)> apply;        // throws if it cannot be applied; nothing has changed then
  };

  ConfigReloader(Loop& loop, Host host) : loop_(loop), host_(std::move(host)) {}
  ~ConfigReloader() { loop_.cancel(retry_timer_); }
  ConfigReloader(const ConfigReloader&) = delete;
  ConfigReloader& operator=(const ConfigReloader&) = delete;

  // Applies the configuration that `read` returns. If `read` throws, or a key is missing, nothing changes. A
  // file that cannot be read is retried for a while, so that a transient error does not lose the reload.
  void reload(const ReadConfig& read);

  std::uint64_t succeeded() const { return succeeded_; }
  std::uint64_t failed() const { return failed_; }

 private:
  void attempt(const ReadConfig& read);
  void reject(const char* what, const std::exception& error);

  Loop& loop_;
  const Host host_;
  Loop::TimerId retry_timer_ = 0;
  int attempts_ = 0;
  Millis requested_at_ = 0;  // of the first request that is not carried out yet; 0 = none
  std::uint64_t succeeded_ = 0;
  std::uint64_t failed_ = 0;
};

}  // namespace shorelead::node
