// Admission control by the limits that the processes of a fleet share, on the traffic thread: admits a
// request by its budgets and, in a shortage, by the rank of its tenant's plan; bounds retries. Owns this
// process's side of the sharing (port and control thread), the order of ranks and the counters of each rank.
// Sends, queues and answers nothing, and never waits for the store.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/channel.h"
#include "fleet/control.h"
#include "fleet/port.h"
#include "node/affinity_router.h"
#include "node/fleet_rules.h"
#include "node/net.h"
#include "node/rank_counts.h"
#include "plans/admission.h"
#include "plans/cutoff.h"
#include "plans/order.h"

namespace shorelead::node {

class FleetAdmission {
 public:
  // What an admitted request uses of the shared limits until it ends.
  struct Ticket {
    std::uint64_t at_once = 0;  // concurrency budgets in use, a bit each
    int rank = -1;              // -1: there are no plans
    Millis aim_at = 0;          // when its class's target latency is over
  };
  struct Verdict {
    int refused = 0;  // the status of the refusal; 0: admitted
    const char* cause = "";
    const char* proxy_status = "";
    Millis retry_after = 0;
    double worth = -1;  // 1 for the highest rank down to 0; negative: there are no plans
    Ticket ticket;
  };
  enum class End { kServed, kFailed, kClientGone };

  // Pools, routes and classes in their order, to which the budgets refer.
  using Names = std::vector<std::vector<std::string>>;
  static Names names_of(const Config& config);

  // `name` is this process's, unique in the fleet. Times of requests are by `loop`'s clock.
  FleetAdmission(Loop& loop, const FleetConfig& fleet, const Config& config, const std::string& name,
                 std::uint64_t seed, const std::function<void(RequestId)>& reconsider);
  ~FleetAdmission();
  FleetAdmission(const FleetAdmission&) = delete;
  FleetAdmission& operator=(const FleetAdmission&) = delete;

  const FleetConfig& config() const { return fleet_; }
  bool serves(const FleetConfig& fleet, const Names& names) const {
    return fleet == fleet_ && names == names_;
  }

  struct Request {
    int pool = 0;
    int route = -1;
    int request_class = 0;
    std::string_view tenant;
    std::string_view client;     // empty: the tenant counts as one client
    Millis max_retry_after = 0;  // the longest wait that a refusal may state; 0: it states none
  };
  Verdict admit(const Request& request, Millis aim);
  void ended(const Ticket& ticket, End end);

  // By the retry budgets that apply to a pool.
  bool bounds_retries(int pool) const { return rules_.attempts_of(pool) != 0; }
  double retries_left(int pool);
  void count_retry(int pool);

  // The field's value that distinguishes clients of one tenant; empty: they are not distinguished.
  std::string_view client_of(const Message& message) const {
    return fleet_.client.empty() ? std::string_view() : message.value(fleet_.client);
  }

  // Null where there are no affinity rules.
  AffinityRouter* affinity_router() { return affinity_router_.get(); }
  const std::string& plan_of(std::string_view tenant) const {
    return order_.plans()[static_cast<std::size_t>(order_.plan_of(tenant))].name;
  }

  void report_spare_capacity(double share) { port_.room(share); }  // unused share of the backends' capacity
  bool plan_settled() const { return !affinity_router_ || affinity_router_->plan_settled(); }
  bool has_places() const { return affinity_router_ && affinity_router_->busy(); }  // held by requests
  // A node has one reserve, used by one of its fleet admissions at a time, over all generations and
  // processes. A new fleet admission does not have it. `before`: what the previous holder admitted with it
  // has ended after so long.
  void begin_reserve(Millis before) { port_.begin_reserve(fleet::boot_now(), before); }
  void cease_reserve() { port_.cease_reserve(fleet::boot_now()); }
  Millis longest_hold() const;  // how long a request may use a concurrency budget at most

  void leave();  // returns all shares to the fleet; requests under way go on
  // Whether all shares are returned.
  bool left() const { return !control_ || control_->left(); }
  void log_counters() const;

 private:
  void each_second();
  void apply_snapshot();  // the newest, if it is not applied yet
  fleet::RankCells* cells_of(int rank) { return rank < 0 ? nullptr : port_.rank(rank); }

  Loop& loop_;
  Millis wall_offset_;  // of the wall clock to the boot clock, as of the last second
  const FleetConfig fleet_;
  const Names names_;
  const FleetRules rules_;
  const std::shared_ptr<fleet::Channel> channel_;
  fleet::Port port_;
  const plans::Order order_;
  plans::Admission admission_;
  plans::LocalShedder shedder_;
  fleet::CutOff cut_off_;
  RankCounts rank_counts_;  // as of the last second
  std::unique_ptr<AffinityRouter> affinity_router_;
  std::unique_ptr<fleet::Control> control_;
  std::unique_ptr<net::Descriptor> wake_fd_;
  std::unique_ptr<net::Watch::Handler> on_wake_;
  std::unique_ptr<net::Watch> watch_;
  Loop::TimerId each_second_timer_ = 0;
  Loop::TimerId start_ = 0;
};

}  // namespace shorelead::node
