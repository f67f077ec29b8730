// The backends and their states according to the lists, and when the node subscribes to a list. Owns the
// entries of all backends. What this node observes of a backend itself is kept elsewhere.
#pragma once

#include <optional>
#include <unordered_map>

#include "policy/context.h"

namespace shorelead::policy {

// Lower bound of the wait before a failed subscription is repeated, which doubles.
constexpr Millis kMinListRetry = 200;
// Upper bound. With the 2 s that a call may take it makes 6 s, the time within which a node must learn of a
// change.
constexpr Millis kMaxListRetry = 4000;
constexpr double kListCallsPerSecond = 20;  // that the discovery service can serve

class Lists {
 public:
  explicit Lists(Context& context) : context_(context) {}
  void start() {
    const Millis first = std::min({call_spread(), kMaxListRetry, 0.75 * max_list_age()});
    if (context_.settings.list_on_request)
      context_.set_timer(kListTimer, context_.now + context_.random.unit() * first);
  }
  void subscribe() {
    if (context_.settings.list_on_request && subscribed_at_ < 0)
      context_.emit(SubscribeList{}), subscribed_at_ = context_.now;
  }
  // Applies a list. Calls `on_entry` for each entry with the backend and whether it is new or has returned.
  template <typename OnEntry>
  void apply(const ListUpdate& update, OnEntry on_entry) {
    if (update.kind == ListKind::kFailed) return retry();
    if (update.kind != ListKind::kStored) retry_wait_ = 0;
    if (update.kind == ListKind::kStored && update.entries.empty()) subscribe();
    context_.set_sharing_nodes(update.sharing);
    const bool full = update.kind != ListKind::kDelta;
    std::vector<char> still_listed(full ? entries_.size() : 0, 0);
    for (const BackendEntry& entry : update.entries) {
      const BackendId backend = entry.backend;
      if (backend >= entries_.size())
        entries_.resize(backend + std::size_t{1}, {.state = BackendState::kGone});
      if (full)
        still_listed.resize(std::max(still_listed.size(), backend + std::size_t{1})),
            still_listed[backend] = 1;
      BackendEntry& e = entries_[backend];
      const bool returned =
          entry.state == BackendState::kReady && (!ready(backend) || e.started != entry.started);
      e = entry;
      e.size = entry.size > 0 ? entry.size : 1;
      by_tag_[entry.tag] = backend;
      on_entry(backend, returned);
    }
    for (std::size_t backend = 0; backend < still_listed.size(); ++backend)
      if (!still_listed[backend]) entries_[backend].state = BackendState::kGone;
  }

  void set_validity(const ListValidity& validity) { validity_ = validity; }
  bool valid(Millis now) const { return now < validity_.until; }
  // Whether changes that have not arrived may bind, so that no backend may get a request.
  bool outdated() const { return !valid(context_.now); }

  std::size_t size() const { return entries_.size(); }
  const BackendEntry& operator[](BackendId backend) const { return entries_[backend]; }
  // Throws std::out_of_range if no list has named it.
  void require_known(BackendId backend) const { (void)entries_.at(backend); }
  bool ready(BackendId backend) const { return entries_[backend].state == BackendState::kReady; }
  // The backend with this tag, unless its index has been given to another address since.
  std::optional<BackendId> find_by_tag(std::uint32_t tag) const {
    const auto it = by_tag_.find(tag);
    if (it == by_tag_.end() || entries_[it->second].tag != tag) return std::nullopt;
    return it->second;
  }

 private:
  // Schedules the next call, at a random time so that nodes do not call in step. The wait is longer if the
  // call was kept waiting, and while calls fail for longer than a list may be used: the service may be
  // overloaded.
  void retry() {
    const bool at_once = context_.now - std::exchange(subscribed_at_, -1e9) < kMinListRetry;
    if (at_once || retry_wait_ == 0) failing_since_ = context_.now;
    const Millis soon =
        context_.now - failing_since_ > 1.5 * max_list_age() ? 1.5 * max_list_age() : kMaxListRetry;
    const Millis max_wait = std::max(kMinListRetry, std::min(soon, (at_once ? 1 : 5) * call_spread()));
    const double jitter = retry_wait_ < max_wait ? context_.random.unit() : 1 - 0.1 * context_.random.unit();
    context_.set_timer(
        kListTimer,
        context_.now + jitter * (retry_wait_ = std::clamp(retry_wait_ * 2, std::min(call_spread(), max_wait),
                                                          max_wait)));
  }
  Millis max_list_age() const { return context_.settings.ask_every > 0 ? context_.settings.ask_every : 1e9; }
  // Calls of all nodes are spread over the rate that the service can bear. One that is overloaded still works
  // on calls that were abandoned long ago, so early repeats would keep it so.
  Millis call_spread() const { return context_.configured_nodes() / kListCallsPerSecond * 1000; }

  Context& context_;
  std::vector<BackendEntry> entries_;
  std::unordered_map<std::uint32_t, BackendId> by_tag_;
  ListValidity validity_;
  Millis retry_wait_ = 0;
  Millis failing_since_ = 0;
  Millis subscribed_at_ = -1e9;  // of the subscription that is open or being opened; negative = none
};

}  // namespace shorelead::policy
