#include "node/client_timeouts.h"

#include <algorithm>

namespace shorelead::node {
namespace {

constexpr double kMinBodyRate = 32;      // bytes per ms, on average over a request
constexpr Millis kStallTimeout = 10000;  // for which a client may read nothing of a response

}  // namespace

bool ClientTimeouts::may_evict(const Client& client, Millis now) const {
  if (!client.stream.flushed()) return false;
  if (client.state == Client::State::kClosing) return true;
  return client.idle() && (client.used || now - client.last_used >= speak);
}

bool ClientTimeouts::stopped(const Client& client, Millis now) const {
  const Millis resumed = client.request_body ? client.request_body->resumed_at() : 0;
  return now - std::max({client.last_input_at, client.last_used, resumed}) >= request;
}

bool ClientTimeouts::slow(const Client& client, Millis now) const {
  const auto& request_body = client.request_body;
  if (request_body && request_body->paused()) return false;
  if (stopped(client, now)) return true;
  const auto received = static_cast<double>(request_body ? request_body->received() : client.stream.held());
  return now - client.request_started_at - (request_body ? request_body->paused_total() : 0) >=
         request + received / kMinBodyRate;
}

bool ClientTimeouts::overdue(const Client& client, Millis now, manage::DrainState drain, bool roomy) const {
  switch (client.state) {
    case Client::State::kWaiting:
      return client.forwarding_request_body() && slow(client, now);
    case Client::State::kForwarding:
      return !client.stream.flushed() && now - client.response_forwarder->progress_at() >= kStallTimeout;
    case Client::State::kClosing:
      return client.lingering_close.over(now);
    case Client::State::kReading:
      break;
  }
  if (client.request_started_at > 0) return slow(client, now);
  if (drain == manage::DrainState::kDrained) return client.used || now - client.last_used >= speak;
  const Millis limit = !client.used ? request : roomy ? idle : idle_crowded;
  return now - client.last_used >= limit;
}

}  // namespace shorelead::node
