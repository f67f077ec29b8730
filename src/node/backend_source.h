// Where a pool's list of backends comes from: discovery, a registry, or the configuration itself; what the
// view believes of it, and the copy on disk. Owns the watch, when it is opened again, and that copy. It must
// never decide what a backend is good for, nor speak to the module: what it has gone through it hands on.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "membership/registry/client.h"
#include "membership/view.h"
#include "node/config.h"
#include "node/discovery.h"
#include "node/discovery_lease.h"
#include "node/net.h"
#include "node/saved_list_copy.h"
#include "node/start_times.h"
#include "node/watch_backoff.h"

namespace shorelead::node {

class BackendSource {
 public:
  struct Listener {
    std::function<void(const List&, ListSource)> list;
    std::function<void()> watch_ended;  // and who asks for lists is to ask again
    // For how long the list may be acted on, whenever that has changed.
    std::function<void(const ListValidity&)> validity = [](const ListValidity&) {};
  };

  BackendSource(Loop& loop, const PoolConfig& config, std::uint64_t seed, Listener listener);
  ~BackendSource();
  BackendSource(const BackendSource&) = delete;
  BackendSource& operator=(const BackendSource&) = delete;

  void start();
  void watch();  // the list is asked for
  void follow(const PoolConfig& config);
  void adopt(const Settings& settings);

  // The list that was known before the start, with births by the loop's clock.
  List known() { return start_times_.resolve(config_.known); }
  bool told() const;  // has its list of now
  // No call since the start has found anyone there: nothing can have been told.
  bool unreached() const { return unreached_ && discovery_->last_received() == 0; }
  // Whether discovery tells by itself, and no list was kept for a time without it.
  bool pushed() const { return discovery_ && !config_.settings.list_on_request && !saved_list_copy_; }
  // Whether its list has to be confirmed once it is old.
  bool expires() const { return lease_ && !view_ && config_.settings.drain_grace.has_value(); }
  void log_counters(const std::string& before) const;

 private:
  void hand_on(const List& list, ListSource from);
  void take_backends();
  void list_changed(const List& list);
  void watch_ended(Ending ending);
  void tell(const membership::Update& update);
  membership::Update through_view(const List& list);
  void tick_view();
  void take_terms();

  Loop& loop_;
  PoolConfig config_;
  const Listener listener_;
  StartTimes start_times_;
  std::unique_ptr<membership::View> view_;
  std::unique_ptr<DiscoveryLease> lease_;  // with discovery
  std::unique_ptr<Discovery> discovery_;   // without it and a registry the list stands in the configuration
  std::unique_ptr<membership::registry::Client> registry_;
  std::unique_ptr<SavedListCopy> saved_list_copy_;
  bool stale_ = false;
  bool unreached_ = false;
  std::uint64_t unreadable_ = 0;   // told of in the log
  std::uint64_t epoch_ = 1;        // of discovery's numbers
  std::uint64_t list_number_ = 0;  // of what was told to the module, where there is no version
  Loop::TimerId view_tick_ = 0;
  Loop::TimerId rewatch_ = 0;
  WatchBackoff watch_backoff_;
  std::mt19937_64 jitter_;
  std::map<Ending, std::uint64_t> watch_endings_;
};

}  // namespace shorelead::node
