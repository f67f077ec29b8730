// The decision module as the network code sees it: one asks for a pick, reports how things ended and calls
// tick() when it is time. It owns the module, its timers, the endpoint list and the requests that are open.
// It must never do I/O, read a clock or decide; and the module's events and actions stay behind it.
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
  double worth = -1;  // beside the dearest, by the fleet's order; negative = its class's
  bool body_comes =
      false;    // by parts: its time counts from body_whole(), and until then there is no due time
  Unit home{};  // where a rule of affinity keeps it
  AffinityHold affinity_hold{};
};

enum class ListSource { kStored, kWatch };

class PolicyHost {
 public:
  PolicyHost(const Settings& settings, const HostSettings& host, std::uint64_t seed)
      : PolicyHost(settings, host, seed, FleetOptions()) {}
  PolicyHost(const Settings& settings, const HostSettings& host, std::uint64_t seed,
             const FleetOptions& fleet);

  // Call first, with the list that the node had before; empty where it had none.
  void start(const List& known, Millis now);

  // New settings count from now on; says the number that each of their classes has here.
  std::vector<int> adopt(const Settings& settings, const HostSettings& host, Millis now);

  Choice pick(RequestId request, const RequestInfo& info, Millis now);
  Choice report(RequestId request, int attempt, Ending ending, Millis elapsed, const LoadReport* load,
                Millis now);
  void report_probe(BackendId backend, Ending ending, Millis elapsed, const LoadReport* load, Millis now);
  // Says which backends nothing new may go to from now on that it might have gone to before.
  std::vector<BackendId> report_list(const List& list, ListSource source, Millis now);
  // What is out by hand counts from now on, whatever the list says. Says who is unwanted, as report_list()
  // does.
  std::vector<BackendId> report_bans(const manage::BanSet& bans, Millis now);
  std::vector<EndpointList::Restarted> take_restarted() { return endpoints_.take_restarted(); }
  void report_watch_ended(Millis now);
  // For how long the list may be acted on.
  void report_validity(const ListValidity& validity, Millis now) { feed(validity, now); }
  void body_whole(RequestId request, Millis due);
  // What the guard is to know of an attempt that is about to be written.
  void describe(RequestId request, BackendId backend, Millis now, guard::RequestState& state,
                guard::BackendState& there) const {
    requests_.describe(request, state);
    there.in_service = endpoints_.wanted(backend);
    there.confirmed = policy_.confirmed(backend, now);
  }
  void report_client_gone(RequestId request, Millis now);
  // All that is out of it, whether the settings allow that or not; its answer, if it has none, is the
  // caller's.
  void call_off(RequestId request, Millis now);
  DeferredActions tick(Millis now);

  using RetryAllowance = node::RetryAllowance;
  // From now on; with empty functions only the module's own bound counts.
  void bound_attempts(RetryAllowance retry_allowance, Millis now);
  double room() const { return spare_capacity_.value(); }  // share of the backends' capacity that is unused

  // Set by the host: called when something for tick() came up outside of it.
  void on_deferred_action(std::function<void()> wake) { wake_ = std::move(wake); }

  std::optional<Seen> see(Unit::Kind kind, const std::string& unit) { return endpoints_.see(kind, unit); }
  const EndpointList& endpoints() const { return endpoints_; }
  const Settings& settings() const { return classes_.settings(); }  // with the numbers of classes here
  const std::string& dial(BackendId backend) const { return endpoints_.dial(backend); }
  const std::string& host(BackendId backend) const { return endpoints_.host(backend); }
  bool wanted(BackendId backend) const { return endpoints_.wanted(backend); }
  std::size_t ready() const { return endpoints_.ready(); }
  std::size_t backends() const { return endpoints_.backends(); }
  std::optional<SubsetCounters> subset_counters() const { return endpoints_.subset_counters(); }
  // Of those listed, how many are avoided now: out by hand, draining, or passed over by the module's choice.
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
  std::multimap<Millis, std::uint64_t> timers_;
  RetryAllowanceBound retry_allowance_;
  estimate::SpareCapacity spare_capacity_;
  std::vector<Event> unsent_;  // attempts that could not be begun, to be told to the module
  DeferredActions deferred_actions_;
  std::function<void()> wake_;
};

}  // namespace shorelead::node
