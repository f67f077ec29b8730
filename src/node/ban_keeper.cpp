#include "node/ban_keeper.h"

#include <spdlog/spdlog.h>

namespace shorelead::node {
namespace {

constexpr Millis kLookAtBansEvery = 50;  // a fifth of the shortest grace in use

}  // namespace

void BanKeeper::share(const std::string& path) {
  file_ = std::make_unique<handover::BanFile>(path);
  look();
}

void BanKeeper::look() {
  look_ = loop_.after(kLookAtBansEvery, [this] { look(); });
  std::string cause;
  const auto fresh = file_->read_if_new(cause);
  if (!cause.empty()) spdlog::error("{}, not used", cause);
  if (!fresh || *fresh == bans_) return;
  spdlog::info("backends out by hand: {}, as told to the other process", fresh->count_out());
  bans_ = *fresh;
  changed_();
}

// A backend that is out stays known, whatever became of it in the list: else the call back would be refused.
std::string BanKeeper::change(const manage::Call& call) {
  if (!listed_(call.id) && !bans_.knows(call.id)) return manage::no("no backend " + call.id + " in the list");
  const bool out = call.kind == manage::CallKind::kDisable;
  bool changed = false;
  const auto change = [&](manage::BanSet& bans) {
    changed = out ? bans.disable(call.id, loop_.now()) : bans.enable(call.id, loop_.now());
  };
  if (file_) {
    std::string cause;
    bans_ = file_->change(bans_, change, cause);
    if (!cause.empty()) spdlog::error("{}: the next process will not know", cause);
  } else {
    change(bans_);
  }
  if (!changed) return manage::yes(call.id + (out ? " was out already" : " was in already"));
  spdlog::info("backend {} taken {} by hand", call.id, out ? "out" : "back in");
  changed_();
  return manage::yes(call.id + (out ? " is out" : " is back"));
}

}  // namespace shorelead::node
