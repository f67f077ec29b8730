#include "node/ban_list.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace shorelead::node {
namespace {

constexpr Millis kPollInterval = 50;         // 1/5 of the shortest grace in use
constexpr Millis kSaveRetryInterval = 1000;  // after a failed write

}  // namespace

void BanList::use_file(const std::string& path) {
  handover::LabelledTimes times;
  times.from_wall = [this](Millis label) { return loop_.from_wall(label); };
  times.to_wall = [this](Millis at) { return loop_.to_wall(at); };
  file_ = std::make_unique<handover::BanFile>(path, std::move(times));
  poll_file();
}

void BanList::poll_file() {
  poll_timer_ = loop_.after(kPollInterval, [this] { poll_file(); });
  std::string cause;
  auto fresh = file_->read_if_new(cause);
  file_read_ = file_read_ || file_->known();
  if (!cause.empty() && cause != logged_cause_) spdlog::error("{}, ignored", cause);
  logged_cause_ = cause;
  if (!unsaved_.empty() && loop_.now() >= next_save_) save_unsaved();
  if (!fresh) return;
  for (const std::string& id : unsaved_) fresh->disable(id, loop_.now());
  if (*fresh == bans_) return;
  spdlog::info("backends out by hand: {}, changed by the other process", fresh->count_out());
  set_bans(*fresh);
}

void BanList::save_unsaved() {
  next_save_ = loop_.now() + kSaveRetryInterval;
  const auto saved = file_->change(bans_, [this](manage::BanSet& bans) {
    for (const std::string& id : unsaved_) bans.disable(id, loop_.now());
  });
  if (!saved.saved) return;
  spdlog::info("{} backends taken out by hand are now saved", unsaved_.size());
  unsaved_.clear();
  set_bans(saved.bans);
}

// A banned backend stays known even if the list no longer holds it; otherwise enabling it would be refused.
std::string BanList::change(const manage::Call& call) {
  if (!is_listed_(call.id) && !bans_.knows(call.id))
    return manage::error_response("no backend " + call.id + " in the list");
  return call.kind == manage::CallKind::kDisable ? disable(call.id) : enable(call.id);
}

handover::BanFile::Changed BanList::apply(const std::function<void(manage::BanSet&)>& change) {
  if (file_) {
    handover::BanFile::Changed changed = file_->change(bans_, change);
    if (!changed.error.empty()) spdlog::error("{}", changed.error);
    return changed;
  }
  handover::BanFile::Changed changed{bans_, true, ""};
  change(changed.bans);
  return changed;
}

// If the file cannot be written, the ban still holds in this process, which an operator needs first. The
// response is an error, as the next process would not know the ban.
std::string BanList::disable(const std::string& id) {
  bool changed = false;
  const auto next = apply([&](manage::BanSet& bans) { changed = bans.disable(id, loop_.now()); });
  if (changed) spdlog::info("backend {} taken out by hand", id);
  set_bans(next.bans);
  if (!next.saved) {
    unsaved_.insert(id);
    return manage::error_response(id + " is out in this process alone: " + next.error);
  }
  unsaved_.erase(id);
  return manage::ok_response(id + (changed ? " is out" : " was out already"));
}

// If the file cannot be written, the backend stays banned: the next process would ban it again.
std::string BanList::enable(const std::string& id) {
  bool changed = false;
  const auto next = apply([&](manage::BanSet& bans) {
    if (unsaved_.count(id) > 0) bans.disable(id, loop_.now());
    changed = bans.enable(id, loop_.now());
  });
  if (!next.saved) return manage::error_response(id + " stays out: " + next.error);
  unsaved_.erase(id);
  if (changed) spdlog::info("backend {} taken back in by hand", id);
  set_bans(next.bans);
  return manage::ok_response(id + (changed ? " is back" : " was in already"));
}

void BanList::set_bans(const manage::BanSet& bans) {
  if (bans == bans_) return;
  bans_ = bans;
  on_changed_();
}

}  // namespace shorelead::node
