// New configurations: when one is read, and again where its file could not be read for a moment. Owns the
// counts of both outcomes; it must never put anything in force itself, nor let a file that is wrong change
// anything.
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
    std::function<const Shape&()> shape;  // of the file in force, whose keys a new one has to have
    std::function<void(Config)> apply;    // throws where that cannot be; all is as before then
  };

  ConfigReloader(Loop& loop, Host host) : loop_(loop), host_(std::move(host)) {}
  ~ConfigReloader() { loop_.cancel(retry_timer_); }
  ConfigReloader(const ConfigReloader&) = delete;
  ConfigReloader& operator=(const ConfigReloader&) = delete;

  // What `read` brings counts from now on. Where it throws, or lacks a key, all stays as it was; but a file
  // that cannot be read now is read again for a while, as what it says is owed.
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
  std::uint64_t succeeded_ = 0;
  std::uint64_t failed_ = 0;
};

}  // namespace shorelead::node
