// The fleet's word on each request, on the traffic's thread: is it taken, by the budgets it spends of and by
// its plan in a shortage; how many further attempts are left. Owns the process's end of the sharing (port,
// control thread), the order of ranks and what is counted of each rank. It must never send, queue or answer
// anything, and never wait for the store.
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
  // What one request has of the fleet, until it is over.
  struct Ticket {
    std::uint64_t at_once = 0;  // budgets in use, a bit each
    int rank = -1;              // none: no plans
    Millis aim_at = 0;
  };
  struct Verdict {
    int refused = 0;  // 0: taken; else the status to answer with
    const char* cause = "";
    const char* why = "";
    Millis come_back = 0;
    double worth = -1;  // beside the highest rank; negative: no plans
    Ticket ticket;
  };
  enum class End { kServed, kFailed, kGone };

  // `name`: of this process; no other that lives has it. Times of requests are `loop`'s.
  // Pools, routes and classes in their order: what its rules go by.
  using Names = std::vector<std::vector<std::string>>;
  static Names names_of(const Config& config);

  FleetAdmission(Loop& loop, const FleetConfig& fleet, const Config& config, const std::string& name,
                 std::uint64_t seed, const std::function<void(RequestId)>& again);
  ~FleetAdmission();
  FleetAdmission(const FleetAdmission&) = delete;
  FleetAdmission& operator=(const FleetAdmission&) = delete;

  const FleetConfig& config() const { return fleet_; }
  bool serves(const FleetConfig& fleet, const Names& names) const {
    return fleet == fleet_ && names == names_;
  }

  struct Words {
    int pool = 0;
    int route = -1;
    int request_class = 0;
    std::string_view tenant;
    std::string_view client;  // empty = the tenant goes as one
    Millis most_wait = 0;     // that a refusal may say to wait before coming back; 0 = it says nothing
  };
  Verdict admit(const Words& words, Millis aim);
  void ended(const Ticket& ticket, End end);

  // Of the budgets of further attempts that count for a pool.
  bool bounds_attempts(int pool) const { return rules_.attempts_of(pool) != 0; }
  double attempts_left(int pool);
  void attempt_made(int pool);

  // What tells its client apart within its tenant; empty = nothing does.
  std::string_view client_of(const Message& message) const {
    return fleet_.client.empty() ? std::string_view() : message.value(fleet_.client);
  }

  // Rules of affinity; null where there are none.
  AffinityRouter* keys() { return keys_.get(); }
  const std::string& plan_of(std::string_view tenant) const {
    return order_.plans()[static_cast<std::size_t>(order_.plan_of(tenant))].name;
  }

  void room(double share) { port_.room(share); }  // of the backends' capacity, that is unused
  bool told() const { return !keys_ || keys_->told(); }
  bool bound() const { return keys_ && keys_->busy(); }  // requests have places, which end with it
  // A node has one reserve, whichever of its fleet admissions, generations and processes alike, serves. A
  // fleet admission begins without it. `before`: what another began with it is over after so long.
  void begin_reserve(Millis before) { port_.begin_reserve(fleet::boot_now(), before); }
  void cease_reserve() { port_.cease_reserve(fleet::boot_now()); }
  Millis longest_hold() const;  // of what is at once

  void leave();  // gives back all; what is in use goes on
  bool left() const { return !control_ || control_->left(); }
  void log_counters() const;

 private:
  void each_second();
  void follow();  // the newest snapshot
  fleet::RankCells* cells_of(int rank) { return rank < 0 ? nullptr : port_.rank(rank); }

  Loop& loop_;
  Millis wall_;  // the wall clock above the one of validity, as of the last second
  const FleetConfig fleet_;
  const Names names_;
  const FleetRules rules_;
  const std::shared_ptr<fleet::Channel> channel_;
  fleet::Port port_;
  const plans::Order order_;
  plans::Admission admission_;
  plans::LocalShedder shedder_;
  fleet::CutOff cut_off_;
  RankCounts counted_;  // at the last second
  std::unique_ptr<AffinityRouter> keys_;
  std::unique_ptr<fleet::Control> control_;
  std::unique_ptr<net::Descriptor> bell_;
  std::unique_ptr<net::Watch::Handler> on_bell_;
  std::unique_ptr<net::Watch> watch_;
  Loop::TimerId second_ = 0;
  Loop::TimerId start_ = 0;
};

}  // namespace shorelead::node
