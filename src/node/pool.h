// One pool of backends: its policy behind the policy host, its connections, its source of backends and its
// open requests. Owns all of these. It reaches clients only through its Host, knows no other pool, and after
// leave() sends nothing new except for the requests that it already has.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "limits/descriptors.h"
#include "node/backend_source.h"
#include "node/config.h"
#include "node/net.h"
#include "node/policy_host.h"
#include "node/pool_counters.h"
#include "node/pool_record.h"
#include "node/upstream.h"

namespace shorelead::node {

class Pool {
 public:
  // What a pool needs of the node. Each request ends with serve, refuse or fail, unless client_gone() came
  // first.
  struct Host {
    std::function<void(RequestId, const Message&, std::shared_ptr<net::Flow>)> serve;
    std::function<void(RequestId, Millis wait)> refuse;
    std::function<void(RequestId, int status)> fail;
    std::function<bool(limits::Purpose)> make_room;
    std::function<bool(limits::Purpose)> keep;
    // Whether its client waits; asked just before an attempt is written.
    std::function<bool(RequestId)> still_waits;
    // Whether a further request, or a part of one, has been read on this request's connection.
    std::function<bool(RequestId)> has_read_ahead;
    Recorder* recorder = nullptr;  // outlives the pool; null: the pool records nothing
  };

  Pool(Loop& loop, const PoolConfig& config, std::uint64_t seed, std::shared_ptr<net::FlowBudget> flows,
       Host host);
  ~Pool();
  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;

  void start();
  void request(RequestId request, const RequestInfo& info, std::shared_ptr<const Message> message);
  void client_gone(RequestId request);  // its client closed the connection
  // Whether an attempt of this open request may have been processed.
  bool may_have_run(RequestId request) const { return policy_host_.may_have_run(request); }
  // Cancels all attempts at a request; if it has no response yet, it fails.
  void cancel(RequestId request);
  // The current state of a backend, cell or zone of this pool.
  std::optional<UnitState> find_unit(Unit::Kind kind, const std::string& unit) {
    return policy_host_.find_unit(kind, unit);
  }
  std::uint64_t list_changes() const { return policy_host_.endpoints().changes(); }
  std::vector<ListedBackend> listed_backends() const { return policy_host_.endpoints().all(); }
  // The request's streamed body has arrived whole; its client waits until `due`.
  void body_complete(RequestId request, Millis due);

  // Whether this pool can serve a new configuration without being rebuilt, keeping what it has learned; if
  // so, follow() applies the configuration.
  bool serves_as(const PoolConfig& config) const;
  void follow(const PoolConfig& config);
  // Applies new settings to the same pool. Returns the number that each of their classes has here.
  std::vector<int> adopt(const PoolConfig& config);
  // The pool is no longer configured: no new requests come and probes stop; open requests and list updates go
  // on.
  void retire() { retired_ = true; }
  void restore() { retired_ = false; }
  // Sets the fleet's limit on retries.
  void set_retry_allowance(PolicyHost::RetryAllowance retry_allowance) {
    policy_host_.set_retry_allowance(std::move(retry_allowance), loop_.now());
  }
  double room() const { return policy_host_.room(); }
  // The longest wait that a refusal may advise; 0 = none.
  Millis max_wait_advice() const {
    return config_.settings.advise_wait ? config_.settings.max_wait_advice : 0;
  }
  bool idle() const;  // no request is open and no connection is in use

  const std::string& name() const { return config_.name; }
  const PoolConfig& config() const { return config_; }
  bool has_current_list() const { return source_->has_current_list(); }  // a list has arrived since the start
  bool pushed() const { return source_->pushed(); }
  // Whether the list stored before the start may be used, however old.
  bool may_use_given_list() const { return !source_->expires(); }
  bool unreached() const { return source_->unreached(); }
  // Applies bans set by an operator; unwritten attempts to banned backends are cancelled.
  void ban(const manage::BanSet& bans);
  std::string list_text() const;  // in discovery's format, with start times by the wall clock
  bool lists(const std::string& host) const { return policy_host_.endpoints().lists(host); }
  std::size_t in_list() const { return policy_host_.endpoints().listed(); }
  std::size_t skipped() const { return policy_host_.skipped(loop_.now()); }
  std::uint64_t written() const { return upstream_->written(); }
  std::size_t backends() const { return policy_host_.backends(); }
  bool any_ready() const { return policy_host_.ready() > 0; }
  std::size_t open_requests() const { return policy_host_.open_requests(); }
  std::size_t connections() const { return upstream_->connections(); }
  std::size_t probing() const { return upstream_->probing(); }
  Millis oldest_idle_since() const { return upstream_->oldest_idle_since(); }
  bool evict_idle() { return upstream_->evict_idle(); }
  void log_counters(const std::string& prefix) const;

 private:
  struct OpenRequest {
    std::shared_ptr<const Message> message;
    Ending last = Ending::kNotSent;  // of its last attempt
  };

  Upstream::Listener upstream_listener();
  BackendSource::Listener source_listener();
  void apply(const List& list, ListSource from);
  void execute(const Choice& choice);
  void execute_step(const Choice& choice);
  void fail_after_exception(RequestId request);
  void attempt_ended(RequestId request, int attempt, const Result& result);
  void close(RequestId request);
  void run_due();
  void probe(BackendId backend);
  void attempt_done(RequestId request, int attempt, const Result& result);
  void probe_done(BackendId backend, const Result& result);

  Loop& loop_;
  PoolConfig config_;
  const Host host_;
  PolicyHost policy_host_;
  PoolRecord record_;
  std::unique_ptr<Upstream> upstream_;
  std::unique_ptr<BackendSource> source_;
  std::unordered_map<RequestId, OpenRequest> open_;
  bool run_due_scheduled_ = false;
  bool retired_ = false;
  Loop::TimerId wake_timer_ = 0;
  Millis wake_at_ = 0;
  PoolCounters counters_;
};

}  // namespace shorelead::node
