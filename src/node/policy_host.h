// Adapter between the network code and the decision module (Policy): the caller asks for a backend with
// pick(), reports the outcome of attempts and probes, and calls tick() when due. Owns the module, its timers,
// the endpoint list and the open requests, and hides the module's events and actions. Does no I/O, reads no
// clock and makes no decision of its own.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "estimate/spare_capacity.h"
#include "node/class_numbers.h"
#include "node/deferred_actions.h"
#include "node/endpoint_list.h"
#include "node/net.h"
#include "node/open_requests.h"
#include "node/open_responses.h"
#include "node/retry_allowance.h"
#include "policy/policy.h"
#include "settings/settings.h"

namespace shorelead::node {

struct RequestInfo {
  int request_class = 0;
  int tenant = 0;
  Millis due = 0;
  double expected_work = -1;
  bool client_retry = false;
  double worth = -1;          // 0 to 1 by the fleet's order of ranks; negative = the worth of its class
  bool body_pending = false;  // the body is streamed: `due` applies only from body_complete() on
  Unit home{};                // the unit that an affinity rule keeps it at
  AffinityHold affinity_hold{};
};

enum class ListSource { kStored, kWatch };

class PolicyHost {
 public:
  PolicyHost(const Settings& settings, const HostSettings& host, std::uint64_t seed)
      : PolicyHost(settings, host, seed, FleetOptions()) {}
  PolicyHost(const Settings& settings, const HostSettings& host, std::uint64_t seed,
             const FleetOptions& fleet);

  // Called once, before anything else, with the stored endpoint list; empty where there is none.
  void start(const List& known, Millis now);

  // Applies new settings to requests that arrive from now on. Returns the number that each of their classes
  // has in this pool.
  std::vector<int> adopt(const Settings& settings, const HostSettings& host, Millis now);

  Choice pick(RequestId request, const RequestInfo& info, Millis now);
  // `response_open`: its response is still being received; if it is forwarded, report_response() follows.
  Choice report(RequestId request, int attempt, Ending ending, Millis elapsed, const LoadReport* load,
                Millis now, bool response_open = false);
  // How the response ended that was forwarded while it was received; empty: that says nothing about its
  // backend.
  void report_response(RequestId request, std::optional<Ending> ending, Millis now);
  void report_probe(BackendId backend, Ending ending, Millis elapsed, const LoadReport* load, Millis now);
  // Returns the backends that have just become unavailable for new attempts.
  std::vector<BackendId> report_list(const List& list, ListSource source, Millis now);
  // Applies the operator's bans, which override the list. Returns the backends that have just become
  // unavailable.
  std::vector<BackendId> report_bans(const manage::BanSet& bans, Millis now);
  std::vector<EndpointList::Restarted> take_restarted() { return endpoints_.take_restarted(); }
  void report_watch_ended(Millis now);
  // How long the list may be used.
  void report_validity(const ListValidity& validity, Millis now) { feed(validity, now); }
  void body_complete(RequestId request, Millis due);
  // Fills in what the guard checks before an attempt is written.
  void describe(RequestId request, BackendId backend, Millis now, guard::RequestState& state,
                guard::BackendState& there) const {
    requests_.describe(request, state);
    there.in_service = endpoints_.wanted(backend);
    there.list_valid = policy_.list_valid(now);
  }
  bool may_have_run(RequestId request) const { return requests_.may_have_run(request); }
  void report_client_gone(RequestId request, Millis now);
  // Cancels all of its attempts, even where the settings allow no cancellation. The caller answers the
  // request if it has no answer yet.
  void cancel(RequestId request, Millis now);
  DeferredActions tick(Millis now);

  using RetryAllowance = node::RetryAllowance;
  // Bounds retries by the fleet's allowance; with empty functions only the module's own bound applies.
  void set_retry_allowance(RetryAllowance retry_allowance, Millis now);
  double room() const { return spare_capacity_.value(); }  // share of the backends' capacity that is unused

  // `wake` is called when work for tick() comes up outside of tick().
  void on_deferred_action(std::function<void()> wake) { wake_ = std::move(wake); }

  std::optional<UnitState> find_unit(Unit::Kind kind, const std::string& unit) {
    return endpoints_.find_unit(kind, unit);
  }
  const EndpointList& endpoints() const { return endpoints_; }
  const Settings& settings() const { return classes_.settings(); }  // classes numbered as in this pool
  const std::string& dial(BackendId backend) const { return endpoints_.dial(backend); }
  const std::string& host(BackendId backend) const { return endpoints_.host(backend); }
  bool wanted(BackendId backend) const { return endpoints_.wanted(backend); }
  std::size_t ready() const { return endpoints_.ready(); }
  std::size_t backends() const { return endpoints_.backends(); }
  std::optional<SubsetCounters> subset_counters() const { return endpoints_.subset_counters(); }
  // Number of listed backends that are avoided now: banned, draining, or avoided by the module.
  std::size_t skipped(Millis now) const { return policy_.avoided(now) + endpoints_.out(); }
  std::size_t open_requests() const { return requests_.size(); }

 private:
  void feed(const Event& event, Millis now);
  void handle(const Event& event, Millis now);
  void perform(const Action& action, Millis now);
  void start_attempt(const SendAttempt& send, Millis now);
  void answer(RequestId request, Choice choice);
  void drop_unwanted(Millis now);

  ClassNumbers classes_;
  Policy policy_;
  EndpointList endpoints_;
  OpenRequests requests_;
  OpenResponses responses_;
  std::multimap<Millis, std::uint64_t> timers_;
  RetryAllowanceBound retry_allowance_;
  estimate::SpareCapacity spare_capacity_;
  std::vector<Event> unsent_;  // attempts that could not be started, still to be reported to the module
  DeferredActions deferred_;
  std::function<void()> wake_;
};

}  // namespace shorelead::node
