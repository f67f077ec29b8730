#include "node/ban_list.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace shorelead::node {
namespace {

constexpr Millis kLookAtBansEvery = 50;  // a fifth of the shortest grace in use
constexpr Millis kKeepEvery = 1000;      // what could not be written is tried again

}  // namespace

void BanList::share(const std::string& path) {
  handover::LabelledTimes times;
  times.from_wall = [this](Millis label) { return loop_.from_wall(label); };
  times.to_wall = [this](Millis at) { return loop_.to_wall(at); };
  file_ = std::make_unique<handover::BanFile>(path, std::move(times));
  look();
}

void BanList::look() {
  look_ = loop_.after(kLookAtBansEvery, [this] { look(); });
  std::string cause;
  auto fresh = file_->read_if_new(cause);
  known_ = known_ || file_->known();
  if (!cause.empty() && cause != told_cause_) spdlog::error("{}, not used", cause);
  told_cause_ = cause;
  if (!not_kept_.empty() && loop_.now() >= keep_at_) keep_what_is_not_kept();
  if (!fresh) return;
  for (const std::string& id : not_kept_) fresh->disable(id, loop_.now());
  if (*fresh == bans_) return;
  spdlog::info("backends out by hand: {}, as told to the other process", fresh->count_out());
  put_in_force(*fresh);
}

void BanList::keep_what_is_not_kept() {
  keep_at_ = loop_.now() + kKeepEvery;
  const auto kept = file_->change(bans_, [this](manage::BanSet& bans) {
    for (const std::string& id : not_kept_) bans.disable(id, loop_.now());
  });
  if (!kept.kept) return;
  spdlog::info("{} backends taken out by hand are kept now", not_kept_.size());
  not_kept_.clear();
  put_in_force(kept.bans);
}

// A backend that is out stays known, whatever became of it in the list: else the call back would be refused.
std::string BanList::change(const manage::Call& call) {
  if (!listed_(call.id) && !bans_.knows(call.id)) return manage::no("no backend " + call.id + " in the list");
  return call.kind == manage::CallKind::kDisable ? disable(call.id) : enable(call.id);
}

handover::BanFile::Changed BanList::apply(const std::function<void(manage::BanSet&)>& change) {
  if (file_) {
    handover::BanFile::Changed changed = file_->change(bans_, change);
    if (!changed.trouble.empty()) spdlog::error("{}", changed.trouble);
    return changed;
  }
  handover::BanFile::Changed changed{bans_, true, ""};
  change(changed.bans);
  return changed;
}

// Where it cannot be kept it holds in this process, which is what an operator needs first; but the answer is
// no, as the next one would not know.
std::string BanList::disable(const std::string& id) {
  bool changed = false;
  const auto next = apply([&](manage::BanSet& bans) { changed = bans.disable(id, loop_.now()); });
  if (changed) spdlog::info("backend {} taken out by hand", id);
  put_in_force(next.bans);
  if (!next.kept) {
    not_kept_.insert(id);
    return manage::no(id + " is out in this process alone: " + next.trouble);
  }
  not_kept_.erase(id);
  return manage::yes(id + (changed ? " is out" : " was out already"));
}

// It stays out where that cannot be kept: the next process would have it out again.
std::string BanList::enable(const std::string& id) {
  bool changed = false;
  const auto next = apply([&](manage::BanSet& bans) {
    if (not_kept_.count(id) > 0) bans.disable(id, loop_.now());
    changed = bans.enable(id, loop_.now());
  });
  if (!next.kept) return manage::no(id + " stays out: " + next.trouble);
  not_kept_.erase(id);
  if (changed) spdlog::info("backend {} taken back in by hand", id);
  put_in_force(next.bans);
  return manage::yes(id + (changed ? " is back" : " was in already"));
}

void BanList::put_in_force(const manage::BanSet& bans) {
  if (bans == bans_) return;
  bans_ = bans;
  changed_();
}

}  // namespace shorelead::node
