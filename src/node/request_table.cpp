#include "node/request_table.h"

#include <string_view>
#include <utility>

namespace shorelead::node {
namespace {

std::optional<affinity::Found> rule_of(const FleetAdmission& admission, const AffinityRouter& keys,
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
  return keys.find(request);
}

}  // namespace

void RequestTable::take(RequestId request, RequestInfo info, const RequestRoute& request_route,
                        std::shared_ptr<const Message> message) {
  const RoutingSnapshot& snapshot = *request_route.snapshot;
  FleetAdmission* const admission = snapshot.admission.get();
  AffinityRouter* const keys = admission == nullptr ? nullptr : admission->keys();
  const auto found = keys == nullptr ? std::nullopt : rule_of(*admission, *keys, request_route, *message);
  // A client's repeat of a keyed request stays where its key may be known; and what has a backend of its own
  // has none in another pool.
  const auto& request_class = snapshot.classes[static_cast<std::size_t>(request_route.request_class)];
  const bool bound = (info.client_retry && request_class.effect == Effect::kKeyed) ||
                     (found && found->keyed && keys->must(*found));
  const int to = bound ? request_route.pool
                       : routing::standing_in(snapshot.fallbacks, request_route.pool, [&snapshot](int n) {
                           return snapshot.pools[static_cast<std::size_t>(n)]->any_ready();
                         });
  if (to != request_route.pool) ++stood_in_;
  const auto n = static_cast<std::size_t>(to);
  FleetAdmission::Ticket ticket;
  if (admission != nullptr) {
    admission->room(snapshot.pools[n]->room());
    const auto said =
        admission->admit({to, request_route.route, request_route.request_class, message->value("x-tenant-id"),
                          admission->client_of(*message), snapshot.pools[n]->max_wait_advice()},
                         request_class.aim);
    if (said.refused != 0) {
      return refuse_(request, {said.refused, said.cause, said.why, said.come_back});
    }
    ticket = said.ticket, info.worth = said.worth;
  }
  info.request_class = snapshot.class_in_pool[n][static_cast<std::size_t>(request_route.request_class)];
  const std::shared_ptr<Pool> pool = snapshot.pools[n];
  with_[request] = {pool, snapshot.admission, ticket};
  if (!found) return pool->request(request, info, std::move(message));
  go(request, keys->arrive(request, *found, pool, info.due), info, std::move(message));
}

void RequestTable::go(RequestId request, const AffinityRouter::Said& said, RequestInfo info,
                      std::shared_ptr<const Message> message) {
  With& with = with_.at(request);
  switch (said.go) {
    case affinity::Go::kWait:
      if (!with.waits) with.waits = std::make_unique<Waits>();
      *with.waits = {std::move(info), std::move(message), said.place};
      return;
    case affinity::Go::kRefuse: {
      const Millis come_back = with.pool->max_wait_advice();
      close(request, FleetAdmission::End::kFailed);
      return refuse_(request, {503, cause_of(said.why), kWhyKey, come_back});
    }
    case affinity::Go::kOnly:
      // Both live for as long as anything of it is out.
      info.affinity_hold = {std::shared_ptr<Holder>(with.admission, with.admission->keys()), said.place};
      [[fallthrough]];
    case affinity::Go::kPrefer:
      info.home = said.home;
      [[fallthrough]];
    case affinity::Go::kFree:
      break;
  }
  with.waits.reset();
  const std::shared_ptr<Pool> pool = with.pool;
  pool->request(request, info, std::move(message));
}

void RequestTable::again(RequestId request) {
  const auto it = with_.find(request);
  if (it == with_.end() || !it->second.waits) return;
  Waits& waits = *it->second.waits;
  const AffinityRouter::Said said = it->second.admission->keys()->again(waits.place);
  if (said.go == affinity::Go::kWait) return;
  waits.place = -1;
  go(request, said, std::move(waits.info), std::move(waits.message));
}

void RequestTable::body_whole(RequestId request, Millis due) {
  const auto it = with_.find(request);
  if (it == with_.end()) return;
  if (!it->second.waits) return it->second.pool->body_whole(request, due);
  it->second.waits->info.due = due;
  it->second.waits->info.body_comes = false;
}

void RequestTable::gone(RequestId request) {
  const auto it = with_.find(request);
  if (it == with_.end()) return;
  const std::shared_ptr<Pool> pool = it->second.waits ? nullptr : it->second.pool;
  close(request, FleetAdmission::End::kGone);
  if (pool) pool->client_gone(request);
}

void RequestTable::close(RequestId request, FleetAdmission::End end) {
  const auto it = with_.find(request);
  if (it == with_.end()) return;
  const With with = std::move(it->second);
  with_.erase(it);
  if (with.waits && with.waits->place >= 0) with.admission->keys()->leave(with.waits->place);
  if (with.admission) with.admission->ended(with.ticket, end);
}

}  // namespace shorelead::node
