#include "node/request_classifier.h"

#include <algorithm>
#include <functional>
#include <string_view>

namespace shorelead::node {
namespace {

constexpr Millis kMaxClientTimeout = 3600000;
constexpr std::size_t kMaxPrevious = 16;  // generations kept for repeats; beyond that the oldest is dropped

std::optional<RequestRoute> request_route_by(const Message& message,
                                             const std::shared_ptr<const RoutingSnapshot>& snapshot) {
  const Head& head = message.head();
  const std::string_view raw = message.raw;
  std::string_view path = head.target.in(raw);
  if (snapshot->routes) {
    const std::function<std::string_view(std::string_view)> field = [&message](std::string_view name) {
      return message.value(name);
    };
    const auto rule =
        snapshot->routes->table.find({message.value("host"), path, head.method.in(raw), &field});
    if (!rule) return std::nullopt;
    const routing::Route& route = snapshot->routes->routes[*rule];
    std::string_view key = route.by.empty() ? std::string_view() : message.value(route.by);
    if (key.empty()) key = message.value("idempotency-key");
    if (key.empty()) key = message.value("x-request-id");
    return RequestRoute{snapshot, route.request_class, routing::pool_for_key(route, key),
                        static_cast<int>(*rule)};
  }
  path = path.substr(1, std::min(path.find_first_of("/?#", 1), path.size()) - 1);
  const auto known = std::find(snapshot->names.begin(), snapshot->names.end(), path);
  if (known == snapshot->names.end()) return std::nullopt;
  return RequestRoute{snapshot, static_cast<int>(known - snapshot->names.begin()), 0};
}

}  // namespace

void RequestClassifier::use(std::shared_ptr<const RoutingSnapshot> snapshot, Millis now) {
  Millis window = 0;
  for (const RequestClass& one : snapshot_->classes) {
    if (one.effect == Effect::kKeyed) window = std::max(window, one.dedup_window);
  }
  drop_expired(now);
  if (window > 0) previous_.push_back({snapshot_, now + window});
  if (previous_.size() > kMaxPrevious) previous_.erase(previous_.begin());
  snapshot_ = std::move(snapshot);
}

void RequestClassifier::drop_expired(Millis now) {
  std::erase_if(previous_, [now](const Previous& previous) { return previous.until <= now; });
}

// A client's repeat of a keyed request is routed as its first try may have been, where its key is known.
std::optional<RequestRoute> RequestClassifier::request_route_of(const Message& message, Millis now) const {
  if (!previous_.empty() && message.value("x-retried") == "1" && !message.value("idempotency-key").empty()) {
    for (const Previous& previous : previous_) {
      if (previous.until <= now) continue;
      auto request_route = request_route_by(message, previous.snapshot);
      if (request_route &&
          request_route->snapshot->classes[static_cast<std::size_t>(request_route->request_class)].effect ==
              Effect::kKeyed)
        return request_route;
    }
  }
  return request_route_by(message, snapshot_);
}

int RequestClassifier::read(const Message& message, Millis now, RequestInfo& info,
                            RequestRoute& request_route, const char*& cause) const {
  const Head& head = message.head();
  const std::string_view raw = message.raw;
  std::optional<RequestRoute> found = request_route_of(message, now);
  if (!found) return cause = snapshot_->routes ? "no route" : "unknown class", 404;
  request_route = std::move(*found);
  info.request_class = request_route.request_class;
  const RequestClass& request_class =
      request_route.snapshot->classes[static_cast<std::size_t>(info.request_class)];
  const std::string_view method = head.method.in(raw);
  const bool keyed = !message.value("idempotency-key").empty();
  const bool fits = request_class.effect == Effect::kSafe
                        ? method == "GET" || method == "HEAD"
                        : method == "POST" && keyed == (request_class.effect == Effect::kKeyed);
  if (!fits) return cause = "method or Idempotency-Key does not fit the class", 400;
  if (request_class.effect == Effect::kSafe && (message.flow || !message.body().empty())) {
    return cause = "a body does not fit the class", 400;
  }
  if (message.value("x-request-id").empty()) return cause = "X-Request-ID is missing", 400;
  // A field given twice is refused: the backend might read the other one.
  for (const char* const once : {"x-request-id", "x-timeout-ms", "idempotency-key"}) {
    const auto same = [&](const Field& field) { return same_name(field.name.in(raw), once); };
    if (std::count_if(head.fields.begin(), head.fields.end(), same) > 1) return cause = "field twice", 400;
  }
  info.due = request_class.deadline;
  if (const Field* wait = head.find(raw, "x-timeout-ms")) {
    const auto value = parse_whole(wait->value.in(raw));
    if (!value || *value == 0 || static_cast<double>(*value) > kMaxClientTimeout)
      return cause = "bad X-Timeout-Ms", 400;
    info.due = static_cast<Millis>(*value);
  }
  const std::string_view tenant = message.value("x-tenant-id");
  const auto& tenants = request_route.snapshot->tenants;
  const auto named = std::find(tenants.begin(), tenants.end(), tenant);
  if (!tenant.empty() && named != tenants.end()) {
    info.tenant = static_cast<int>(named - tenants.begin());
  }
  if (const Field* cost = head.find(raw, "x-cost")) {
    const auto value = parse_decimal(cost->value.in(raw));
    if (!value || *value < 0) return cause = "bad X-Cost", 400;
    info.expected_work = *value;
  }
  info.client_retry = message.value("x-retried") == "1";
  return 0;
}

}  // namespace shorelead::node
