// One pool of backends: its decision module behind the policy host, its connections, its source of backends,
// and the requests that are with it. It owns these and their order. It must never speak to a client but
// through its host, never see another pool, and never send anything new once it has been left, except for
// what it has.
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
  // What a pool needs of the node. Each request gets one of the three answers, unless gone() came first.
  struct Host {
    std::function<void(RequestId, const Message&, std::shared_ptr<net::Flow>)> serve;
    std::function<void(RequestId, Millis wait)> refuse;
    std::function<void(RequestId, int status)> fail;
    std::function<bool(limits::Purpose)> make_room;
    std::function<bool(limits::Purpose)> keep;
    std::function<bool(RequestId)> still_waits;  // its client; asked just before an attempt is written
    Recorder* recorder = nullptr;                // outlives the pool; none: nothing is written down
  };

  Pool(Loop& loop, const PoolConfig& config, std::uint64_t seed, std::shared_ptr<net::FlowBudget> flows,
       Host host);
  ~Pool();
  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;

  void start();
  void request(RequestId request, const RequestInfo& info, std::shared_ptr<const Message> message);
  void gone(RequestId request);  // its client is
  // All of it that is out; where it has no answer yet it is answered as failed.
  void cancel(RequestId request);
  // A backend, cell or zone of this pool, as it stands now.
  std::optional<UnitState> find_unit(Unit::Kind kind, const std::string& unit) {
    return policy_host_.find_unit(kind, unit);
  }
  std::uint64_t list_changes() const { return policy_host_.endpoints().changes(); }
  std::vector<ListedBackend> listed_backends() const { return policy_host_.endpoints().all(); }
  // The body of one that came by parts is whole now; its client waits until `due`.
  void body_complete(RequestId request, Millis due);

  // Whether a pool that is told so may go on as it is, with what it has learnt; then follow() brings it
  // there.
  bool serves_as(const PoolConfig& config) const;
  void follow(const PoolConfig& config);
  // New settings for the same pool, of the platform's form. Says the number that each of their classes has
  // here.
  std::vector<int> adopt(const PoolConfig& config);
  // No request comes any more. What is under way goes on, and so does the list; probes end.
  void leave() { left_ = true; }
  void rejoin() { left_ = false; }
  // What a fleet allows of further attempts from now on.
  void set_retry_allowance(PolicyHost::RetryAllowance retry_allowance) {
    policy_host_.set_retry_allowance(std::move(retry_allowance), loop_.now());
  }
  double room() const { return policy_host_.room(); }
  // That a refusal may say to wait; 0 = it may say nothing.
  Millis most_advice() const { return config_.settings.advise_wait ? config_.settings.max_wait_advice : 0; }
  bool idle() const;  // nothing is under way

  const std::string& name() const { return config_.name; }
  const PoolConfig& config() const { return config_; }
  bool told() const { return source_->told(); }  // has its list of now
  bool pushed() const { return source_->pushed(); }
  // By the list given at the start, of whatever age: health checks confirm it, or lists never expire.
  bool may_use_given_list() const { return config_.settings.probing || !source_->expires(); }
  bool unreached() const { return source_->unreached(); }
  // What is out by hand from now on; nothing that is not yet written goes there any more.
  void ban(const manage::BanSet& bans);
  std::string list_text() const;  // in discovery's form, births labelled by the wall clock
  bool lists(const std::string& host) const { return policy_host_.endpoints().lists(host); }
  std::size_t in_list() const { return policy_host_.endpoints().listed(); }
  std::size_t skipped() const { return policy_host_.skipped(loop_.now()); }
  std::uint64_t written() const { return upstream_->written(); }
  std::size_t backends() const { return policy_host_.backends(); }
  bool anybody_ready() const { return policy_host_.ready() > 0; }
  std::size_t open_requests() const { return policy_host_.open_requests(); }
  std::size_t connections() const { return upstream_->connections(); }
  std::size_t probing() const { return upstream_->probing(); }
  Millis unused_since() const { return upstream_->unused_since(); }
  bool evict_idle() { return upstream_->evict_idle(); }
  void log_counters(const std::string& before) const;

 private:
  struct Open {
    std::shared_ptr<const Message> message;
    Ending last = Ending::kNotSent;  // of its attempts
  };

  void carry_out(const Choice& choice);
  void carry_out_step(const Choice& choice);
  void abandon(RequestId request);
  void attempt_ended(RequestId request, int attempt, const Result& result);
  void close(RequestId request);
  void settle();
  void probe(BackendId backend);
  void attempt_done(RequestId request, int attempt, const Result& result);

  Loop& loop_;
  PoolConfig config_;
  const Host host_;
  PolicyHost policy_host_;
  PoolRecord record_;
  std::unique_ptr<Upstream> upstream_;
  std::unique_ptr<BackendSource> source_;
  std::unordered_map<RequestId, Open> open_;
  bool settling_ = false;
  bool left_ = false;
  Loop::TimerId wake_ = 0;
  Millis wake_at_ = 0;
  PoolCounters counters_;
};

}  // namespace shorelead::node
