// Who is there, as lists tell it, and when a list is asked for. It owns the entries of all backends; it must
// never hold what the node sees of them itself.
#pragma once

#include <optional>
#include <unordered_map>

#include "policy/context.h"

namespace shorelead::policy {

constexpr Millis kListRetryMin = 200;    // first wait before asking for the list again; doubles, with jitter
constexpr Millis kListRetryMax = 10000;  // longest such wait
constexpr double kListCalls = 20;        // calls a second that the list service is taken to bear
constexpr double kFirstCall = 0.75;  // within this part of the time after which an old list counts as told

class Lists {
 public:
  explicit Lists(Context& context) : c_(context) {}
  void start() {
    if (!c_.settings.list_on_request) return;
    const Millis most = c_.settings.ask_every > 0 ? kFirstCall * c_.settings.ask_every : spread();
    c_.timer(kListTimer, c_.now + c_.random.unit() * std::min(spread(), most));
  }
  void ask() {
    if (c_.settings.list_on_request && !std::exchange(asked_, true)) c_.act(SubscribeList{});
  }
  // Takes a list in. Of each entry in turn `named` is told the backend, and whether it is new or returned.
  template <typename Named>
  void take(const ListUpdate& update, Named named) {
    if (update.kind == ListKind::kFailed) return retry();
    if (update.kind != ListKind::kStored) wait_ = 0;
    if (update.kind == ListKind::kStored && update.entries.empty()) ask();
    c_.share(update.sharing);
    const bool whole = update.kind != ListKind::kDelta;
    std::vector<char> still(whole ? entries_.size() : 0, 0);
    for (const BackendEntry& entry : update.entries) {
      const BackendId i = entry.backend;
      if (i >= entries_.size()) entries_.resize(i + std::size_t{1}, {.state = BackendState::kGone});
      if (whole && i >= still.size()) still.resize(i + std::size_t{1});
      if (whole) still[i] = 1;
      BackendEntry& e = entries_[i];
      const bool returned = entry.state == BackendState::kReady && (!ready(i) || e.started != entry.started);
      e = entry;
      e.size = entry.size > 0 ? entry.size : 1;
      by_tag_[entry.tag] = i;
      named(i, returned);
    }
    for (std::size_t i = 0; i < still.size(); ++i) {
      if (!still[i]) entries_[i].state = BackendState::kGone;
    }
  }

  std::size_t size() const { return entries_.size(); }
  const BackendEntry& operator[](BackendId i) const { return entries_[i]; }
  void require(BackendId i) const { (void)entries_.at(i); }  // throws std::out_of_range
  bool ready(BackendId i) const { return entries_[i].state == BackendState::kReady; }
  // Whose tag it is, unless that number is another's by now.
  std::optional<BackendId> tagged(std::uint32_t tag) const {
    const auto it = by_tag_.find(tag);
    if (it == by_tag_.end() || entries_[it->second].tag != tag) return std::nullopt;
    return it->second;
  }

 private:
  // Again, ever later, not in step with other nodes, and before an old list counts as told anew.
  void retry() {
    const Millis told_anew = c_.settings.ask_every;
    const Millis most = std::min(kListRetryMax, told_anew > 0 ? told_anew : kListRetryMax);
    wait_ = std::clamp(wait_ * 2, std::min(std::max(kListRetryMin, spread()), most / 2), most);
    asked_ = false;
    c_.timer(kListTimer, c_.now + wait_ * (0.5 + c_.random.unit()));
  }
  // Calls are spread over what the list service bears: one that is behind works on calls given up long ago.
  Millis spread() const { return c_.stated_nodes() / kListCalls * 1000; }

  Context& c_;
  std::vector<BackendEntry> entries_;
  std::unordered_map<std::uint32_t, BackendId> by_tag_;
  Millis wait_ = 0;
  bool asked_ = false;  // a subscription stands, or is under way
};

}  // namespace shorelead::policy
