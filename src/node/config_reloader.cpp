#include "node/config_reloader.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace shorelead::node {
namespace {

// A new configuration counts 4 s after it was told; half of that is left for what it brings.
constexpr Millis kReadAgain = 50;
constexpr int kMostTries = 40;

}  // namespace

void ConfigReloader::reload(const Read& read) {
  loop_.cancel(again_);
  tries_ = 0;
  attempt(read);
}

void ConfigReloader::attempt(const Read& read) {
  Config fresh;
  try {
    fresh = read();
    fresh.keys.require_all_of(host_.keys());
  } catch (const UnreadableConfig& error) {
    if (++tries_ >= kMostTries) return refuse("reloaded", error);
    spdlog::warn("configuration not read, it is read again: {}", error.what());
    again_ = loop_.after(kReadAgain, [this, read] {
      again_ = 0;
      attempt(read);
    });
    return;
  } catch (const std::exception& error) {
    return refuse("reloaded", error);
  }
  try {
    host_.take_up(std::move(fresh));
    ++done_;
  } catch (const std::exception& error) {
    refuse("taken up", error);
  }
}

void ConfigReloader::refuse(const char* what, const std::exception& error) {
  ++refused_;
  spdlog::error("configuration not {}, the old one stays: {}", what, error.what());
}

}  // namespace shorelead::node
