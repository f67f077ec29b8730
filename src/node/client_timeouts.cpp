#include "node/client_timeouts.h"

#include <algorithm>

namespace shorelead::node {
namespace {

constexpr double kLeastRate = 32;      // bytes a ms: of a body, what a client has to bring on the whole
constexpr Millis kStandstill = 10000;  // for which a client may take nothing of an answer

}  // namespace

bool ClientTimeouts::dispensable(const Client& client, Millis now) const {
  if (!client.stream.flushed()) return false;
  if (client.state == Client::State::kClosing) return true;
  return client.idle() && (client.used || now - client.last_used >= speak);
}

bool ClientTimeouts::stopped(const Client& client, Millis now) const {
  const Millis resumed = client.request_body ? client.request_body->resumed_at() : 0;
  return now - std::max({client.input_at, client.last_used, resumed}) >= request;
}

bool ClientTimeouts::slow(const Client& client, Millis now) const {
  const auto& request_body = client.request_body;
  if (request_body && request_body->holds_back()) return false;
  if (stopped(client, now)) return true;
  const auto come = static_cast<double>(request_body ? request_body->passed() : client.stream.held());
  return now - client.begun_at - (request_body ? request_body->held() : 0) >= request + come / kLeastRate;
}

bool ClientTimeouts::overdue(const Client& client, Millis now, manage::DrainState drain, bool roomy) const {
  switch (client.state) {
    case Client::State::kWaiting:
      return client.forwarding_request_body() && slow(client, now);
    case Client::State::kForwarding:
      return !client.stream.flushed() && now - client.response_forwarder->moved_at() >= kStandstill;
    case Client::State::kClosing:
      return client.lingering_close.over(now);
    case Client::State::kReading:
      break;
  }
  if (client.begun_at > 0) return slow(client, now);
  if (drain == manage::DrainState::kDrained) return client.used || now - client.last_used >= speak;
  const Millis most = !client.used ? request : roomy ? idle : idle_crowded;
  return now - client.last_used >= most;
}

}  // namespace shorelead::node
