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
  using Read = std::function<Config()>;
  struct Host {
    std::function<const ConfigKeys&()> keys;  // of the running configuration; a new one must have all of them
    std::function<void(Config)> take_up;      // throws where that cannot be; all is as before then
  };

  ConfigReloader(Loop& loop, Host host) : loop_(loop), host_(std::move(host)) {}
  ~ConfigReloader() { loop_.cancel(again_); }
  ConfigReloader(const ConfigReloader&) = delete;
  ConfigReloader& operator=(const ConfigReloader&) = delete;

  // What `read` brings counts from now on. Where it throws, or lacks a key, all stays as it was; but a file
  // that cannot be read now is read again for a while, as what it says is owed.
  void reload(const Read& read);

  std::uint64_t done() const { return done_; }
  std::uint64_t refused() const { return refused_; }

 private:
  void attempt(const Read& read);
  void refuse(const char* what, const std::exception& error);

  Loop& loop_;
  const Host host_;
  Loop::TimerId again_ = 0;
  int tries_ = 0;
  std::uint64_t done_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace shorelead::node
