#include "node/request_table.h"

#include <string_view>
#include <utility>

namespace shorelead::node {
namespace {

std::optional<affinity::RuleMatch> rule_of(const FleetAdmission& admission,
                                           const AffinityRouter& affinity_router,
                                           const RequestRoute& request_route, const Message& message) {
  const Head& head = message.head();
  const std::function<std::string_view(std::string_view)> field = [&message](std::string_view name) {
    return message.value(name);
  };
  affinity::Request request;
  if (request_route.route >= 0 && request_route.snapshot->routes) {
    const auto n = static_cast<std::size_t>(request_route.route);
    request.route = request_route.snapshot->routes->routes[n].name;
    request.pattern = request_route.snapshot->routes->rules[n].path;
  }
  request.request_class =
      request_route.snapshot->names[static_cast<std::size_t>(request_route.request_class)];
  request.tenant = message.value("x-tenant-id");
  request.plan = admission.plan_of(request.tenant);
  request.method = head.method.in(message.raw);
  request.path = head.target.in(message.raw);
  request.field = &field;
  return affinity_router.find(request);
}

}  // namespace

void RequestTable::accept(RequestId request, RequestInfo info, const RequestRoute& request_route,
                          std::shared_ptr<const Message> message) {
  const RoutingSnapshot& snapshot = *request_route.snapshot;
  FleetAdmission* const admission = snapshot.admission.get();
  AffinityRouter* const affinity_router = admission == nullptr ? nullptr : admission->affinity_router();
  const auto found = affinity_router == nullptr
                         ? std::nullopt
                         : rule_of(*admission, *affinity_router, request_route, *message);
  // A client's repeat of a keyed request stays in its pool, where its idempotency key may be known. So does a
  // request that an affinity rule binds to a unit: no other pool has that unit.
  const auto& request_class = snapshot.classes[static_cast<std::size_t>(request_route.request_class)];
  const bool bound = (info.client_retry && request_class.effect == Effect::kKeyed) ||
                     (found && found->keyed && affinity_router->must(*found));
  const int target = bound
                         ? request_route.pool
                         : routing::fallback_pool(snapshot.fallbacks, request_route.pool, [&snapshot](int n) {
                             return snapshot.pools[static_cast<std::size_t>(n)]->any_ready();
                           });
  if (target != request_route.pool) ++stood_in_;
  const auto n = static_cast<std::size_t>(target);
  FleetAdmission::Ticket ticket;
  if (admission != nullptr) {
    admission->report_spare_capacity(snapshot.pools[n]->room());
    const auto verdict = admission->admit(
        {target, request_route.route, request_route.request_class, message->value("x-tenant-id"),
         admission->client_of(*message), snapshot.pools[n]->max_wait_advice()},
        request_class.aim);
    if (verdict.refused != 0) {
      return refuse_(request, {verdict.refused, verdict.cause, verdict.proxy_status, verdict.retry_after});
    }
    ticket = verdict.ticket, info.worth = verdict.worth;
  }
  info.request_class = snapshot.class_in_pool[n][static_cast<std::size_t>(request_route.request_class)];
  const std::shared_ptr<Pool> pool = snapshot.pools[n];
  entries_[request] = {pool, snapshot.admission, ticket};
  if (!found) return pool->request(request, info, std::move(message));
  apply(request, affinity_router->route(request, *found, pool, info.due), info, std::move(message));
}

void RequestTable::apply(RequestId request, const AffinityRouter::Decision& decision, RequestInfo info,
                         std::shared_ptr<const Message> message) {
  Entry& entry = entries_.at(request);
  switch (decision.action) {
    case affinity::RoutingAction::kWait:
      if (!entry.waiting) entry.waiting = std::make_unique<Waiting>();
      *entry.waiting = {std::move(info), std::move(message), decision.place};
      return;
    case affinity::RoutingAction::kRefuse: {
      const Millis retry_after = entry.pool->max_wait_advice();
      close(request, FleetAdmission::End::kFailed);
      return refuse_(request, {503, cause_of(decision.reason), kProxyStatusAffinity, retry_after});
    }
    case affinity::RoutingAction::kOnly:
      // The hold keeps the fleet admission, which owns the router, alive until the last attempt has ended.
      info.affinity_hold = {
          std::shared_ptr<AffinityPlaces>(entry.admission, entry.admission->affinity_router()),
          decision.place};
      [[fallthrough]];
    case affinity::RoutingAction::kPrefer:
      info.home = decision.home;
      [[fallthrough]];
    case affinity::RoutingAction::kFree:
      break;
  }
  entry.waiting.reset();
  const std::shared_ptr<Pool> pool = entry.pool;
  pool->request(request, info, std::move(message));
}

void RequestTable::reconsider(RequestId request) {
  const auto it = entries_.find(request);
  if (it == entries_.end() || !it->second.waiting) return;
  Waiting& waiting = *it->second.waiting;
  const AffinityRouter::Decision decision =
      it->second.admission->affinity_router()->reconsider(waiting.place);
  if (decision.action == affinity::RoutingAction::kWait) return;
  waiting.place = -1;
  apply(request, decision, std::move(waiting.info), std::move(waiting.message));
}

void RequestTable::body_complete(RequestId request, Millis due) {
  const auto it = entries_.find(request);
  if (it == entries_.end()) return;
  if (!it->second.waiting) return it->second.pool->body_complete(request, due);
  it->second.waiting->info.due = due;
  it->second.waiting->info.body_pending = false;
}

void RequestTable::client_gone(RequestId request) {
  const auto it = entries_.find(request);
  if (it == entries_.end()) return;
  const std::shared_ptr<Pool> pool = it->second.waiting ? nullptr : it->second.pool;
  close(request, FleetAdmission::End::kClientGone);
  if (pool) pool->client_gone(request);
}

bool RequestTable::may_have_run(RequestId request) const {
  const auto it = entries_.find(request);
  return it != entries_.end() && !it->second.waiting && it->second.pool->may_have_run(request);
}

void RequestTable::close(RequestId request, FleetAdmission::End end) {
  const auto it = entries_.find(request);
  if (it == entries_.end()) return;
  const Entry entry = std::move(it->second);
  entries_.erase(it);
  if (entry.waiting && entry.waiting->place >= 0)
    entry.admission->affinity_router()->leave(entry.waiting->place);
  if (entry.admission) entry.admission->ended(entry.ticket, end);
}

}  // namespace shorelead::node
