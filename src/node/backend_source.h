// The source of a pool's list of backends: discovery, a registry, or the configuration itself. Owns the watch
// and its reconnects, the membership view where one is configured, and the copy of the list on disk. It
// passes lists on to its listener and does not judge backends.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "guard/discovery_record.h"
#include "membership/registry/client.h"
#include "membership/view.h"
#include "node/config.h"
#include "node/discovery.h"
#include "node/discovery_lease.h"
#include "node/net.h"
#include "node/saved_list_copy.h"
#include "node/start_times.h"
#include "node/view_lists.h"
#include "node/watch_backoff.h"

namespace shorelead::node {

class BackendSource {
 public:
  struct Listener {
    std::function<void(const List&, ListSource)> list;
    std::function<void()> watch_ended;  // a watch ended and the listener decides when to call again
    // For how long the list may be acted on; called whenever that changes.
    std::function<void(const ListValidity&)> validity = [](const ListValidity&) {};
    // What was heard of discovery, where a list expires; for the checker.
    std::function<void(const guard::DiscoverySign&)> discovery = [](const guard::DiscoverySign&) {};
  };

  BackendSource(Loop& loop, const PoolConfig& config, std::uint64_t seed, Listener listener);
  ~BackendSource();
  BackendSource(const BackendSource&) = delete;
  BackendSource& operator=(const BackendSource&) = delete;

  void start();
  void watch();  // calls for the list
  void follow(const PoolConfig& config);
  void adopt(const Settings& settings);

  // The list known before the start, with start times by the loop's clock.
  List known() { return start_times_.resolve(config_.known); }
  bool has_current_list() const;  // whether it has a list that arrived since the start
  // Whether no call since the start has reached discovery, so that no list can have arrived.
  bool unreached() const { return unreached_ && discovery_->last_received() == 0; }
  // Whether discovery pushes lists, and no copy of a list is kept for times without it.
  bool pushed() const { return discovery_ && !config_.settings.list_on_request && !saved_list_copy_; }
  // Whether a list may be used for a limited time only, and one of unknown age not at all.
  bool expires() const { return lease_ && !view_ && config_.settings.drain_grace.has_value(); }
  void log_counters(const std::string& prefix) const;

 private:
  void forward(const List& list, ListSource from);
  void apply_configured_list();
  void list_changed(const List& list);
  void watch_ended(Ending ending);
  void report_changes(const membership::Update& update);
  void tick_view();
  void update_lease_terms();
  void report_sign(guard::DiscoverySign::Kind kind, Millis at) const;
  void log_list_settings() const;
  void log_answer(bool late) const;

  Loop& loop_;
  PoolConfig config_;
  const Listener listener_;
  StartTimes start_times_;
  std::unique_ptr<membership::View> view_;
  std::unique_ptr<DiscoveryLease> lease_;  // with discovery only
  std::unique_ptr<Discovery> discovery_;   // null with a registry, or where the configuration holds the list
  std::unique_ptr<membership::registry::Client> registry_;
  std::unique_ptr<SavedListCopy> saved_list_copy_;
  bool stale_ = false;
  bool unreached_ = false;
  std::uint64_t logged_unreadable_ = 0;  // count already reported in the log
  DiscoveryViewLists view_lists_;
  std::uint64_t last_list_number_ = 0;  // of lists passed on, where the source has no version
  Loop::TimerId view_timer_ = 0;
  Loop::TimerId rewatch_timer_ = 0;
  WatchBackoff watch_backoff_;
  std::mt19937_64 jitter_;
  std::map<Ending, std::uint64_t> watch_endings_;
};

}  // namespace shorelead::node
