// Who is there, as lists tell it, and when a list is asked for. It owns the entries of all backends; it must
// never hold what the node sees of them itself.
#pragma once

#include <optional>
#include <unordered_map>

#include "policy/context.h"

namespace shorelead::policy {

constexpr Millis kListRetryMin = 200;    // a wait before asking for the list again doubles to this at least
constexpr Millis kListRetryMost = 4000;  // longest: with a call's 2 s, as long as news is not held to be told
constexpr double kListCalls = 20;        // calls a second that the list service is taken to bear

class Lists {
 public:
  explicit Lists(Context& context) : c_(context) {}
  void start() {
    const Millis first = std::min({spread(), kListRetryMost, 0.75 * told_anew()});
    if (c_.settings.list_on_request) c_.timer(kListTimer, c_.now + c_.random.unit() * first);
  }
  void ask() {
    if (c_.settings.list_on_request && asked_at_ < 0) c_.act(SubscribeList{}), asked_at_ = c_.now;
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
      if (whole) still.resize(std::max(still.size(), i + std::size_t{1})), still[i] = 1;
      BackendEntry& e = entries_[i];
      const bool returned = entry.state == BackendState::kReady && (!ready(i) || e.started != entry.started);
      e = entry;
      e.size = entry.size > 0 ? entry.size : 1;
      by_tag_[entry.tag] = i;
      named(i, returned);
    }
    for (std::size_t i = 0; i < still.size(); ++i)
      if (!still[i]) entries_[i].state = BackendState::kGone;
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
  // Again, soon, out of step; less so if it kept the call waiting, or has failed for long: it may be behind.
  void retry() {
    const bool at_once = c_.now - std::exchange(asked_at_, -1e9) < kListRetryMin;
    if (at_once || wait_ == 0) failing_since_ = c_.now;
    const Millis soon = c_.now - failing_since_ > 1.5 * told_anew() ? 1.5 * told_anew() : kListRetryMost;
    const Millis most = std::max(kListRetryMin, std::min(soon, (at_once ? 1 : 5) * spread()));
    const double part = wait_ < most ? c_.random.unit() : 1 - 0.1 * c_.random.unit();
    c_.timer(kListTimer, c_.now + part * (wait_ = std::clamp(wait_ * 2, std::min(spread(), most), most)));
  }
  Millis told_anew() const { return c_.settings.ask_every > 0 ? c_.settings.ask_every : 1e9; }
  // Calls are spread over what the list service bears: one that is behind works on calls given up long ago.
  Millis spread() const { return c_.stated_nodes() / kListCalls * 1000; }

  Context& c_;
  std::vector<BackendEntry> entries_;
  std::unordered_map<std::uint32_t, BackendId> by_tag_;
  Millis wait_ = 0;
  Millis failing_since_ = 0;
  Millis asked_at_ = -1e9;  // for the subscription that stands, or is under way
};

}  // namespace shorelead::policy
