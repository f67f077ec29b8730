#include "node/front.h"

#include <algorithm>
#include <utility>

#include "node/client_eviction.h"

namespace shorelead::node {
namespace {

// A client's time-out runs from when it sent the request, this node's from when it was received; and the
// response takes time to get back.
constexpr Millis kTransit = 5;
constexpr double kMaxTransitShare = 0.1;  // of the time-out

const Refusal kNoMemory = {503, "no memory for this request", "", 0};

Effect effect_of(const RequestRoute& route) {
  return route.snapshot->classes[static_cast<std::size_t>(route.request_class)].effect;
}

}  // namespace

Front::Front(Loop& loop, const ListenSpec& spec, std::shared_ptr<const RoutingSnapshot> snapshot,
             Listener listener, const Timeouts& timeouts)
    : loop_(loop),
      classifier_(std::move(snapshot)),
      listener_(std::move(listener)),
      recorder_(loop, listener_.recorder),
      timeouts_(timeouts),
      memory_(listener_.memory_bytes),
      acceptor_(loop, spec,
                {[this](int fd) {
                   const auto client = std::make_shared<Client>(loop_, static_cast<Client::Host&>(*this), fd);
                   clients_.emplace(client.get(), client);
                   recorder_->client_opened(client->stream);
                 },
                 [this] { return listener_.make_room(); }, [this] { return evict_idle(); }}) {
  for (const std::string& name : classifier_.in_force().names) request_counters_.name_class(name);
  sweep();
}

Front::~Front() { loop_.cancel(sweep_timer_); }

void Front::begin(Client& client) {
  const Message& message = *client.message;
  const std::string_view target = message.head().target.in(message.raw);
  if (target == "/-/ready") {
    const bool ready = listener_.ready();
    return client.answer(ready ? 200 : 503, ready ? "ready" : "not ready", 0, false);
  }
  const bool small = message.raw.size() + message.parser.memory() <= ClientMemory::kSmall;
  if (small ? memory_.exhausted() : memory_.over()) return client.answer(kNoMemory, false);
  RequestInfo info;
  RequestRoute request_route;
  const char* cause = "";
  const int refusal = classifier_.read(message, loop_.now(), info, request_route, cause);
  if (refusal != 0) return client.answer(refusal, cause, 0, false);
  // A backend, or a reader of its records, would take one of two requests with the same id for a repeat.
  switch (ids_.open(message.value("x-request-id"))) {
    case RequestIds::Verdict::kNew:
      break;
    case RequestIds::Verdict::kOpen:
      return client.answer(409, "a request with this X-Request-ID is open", 0, false);
    case RequestIds::Verdict::kMayHaveRun:
      return client.answer(409, "a request with this X-Request-ID may have run", 0, false);
  }
  // The deadline counts from the request's last byte, which is in what was read last.
  client.timeout = info.due - std::min(kTransit, kMaxTransitShare * info.due);
  info.due = client.due = client.last_input_at + client.timeout;
  info.body_pending = client.forwarding_request_body();
  client.request = ++last_request_;
  waiting_[client.request] = &client;
  client.class_name = request_route.snapshot->names[static_cast<std::size_t>(request_route.request_class)];
  client.counted = false;
  client.has_effect = effect_of(request_route) != Effect::kSafe;
  recorder_->taken(client.request, message.value("x-request-id"), client.last_input_at, info.due);
  if (!client.forwarding_request_body()) count(client);
  if (failing_all_) return refuse(client.request, {});  // no attempt was made
  listener_.request(client.request, info, request_route, client.message);
}

void Front::use(std::shared_ptr<const RoutingSnapshot> snapshot) {
  classifier_.use(std::move(snapshot), loop_.now());
  for (const std::string& name : classifier_.in_force().names) request_counters_.name_class(name);
}

// The current request has its response, or its client has gone.
void Front::release(Client& client, manage::RequestEnd end) {
  if (waiting_.erase(client.request) == 0) return;
  recorder_->ended(client.request, end);
  // A request that was never complete and has no response is not counted.
  if (!client.counted && end != manage::RequestEnd::kLeft) count(client);
  if (std::exchange(client.counted, false)) request_counters_.ended(client.class_name, end);
  ids_.close(client.message->value("x-request-id"), id_end(client, end));
}

// Asked while the request's attempts are still known.
RequestIds::End Front::id_end(const Client& client, manage::RequestEnd end) const {
  if (!client.has_effect || end == manage::RequestEnd::kDropped) return RequestIds::End::kNothingRan;
  if (end == manage::RequestEnd::kPassed) return RequestIds::End::kServed;
  const bool may_have_run = end == manage::RequestEnd::kBadGateway || listener_.may_have_run(client.request);
  return may_have_run ? RequestIds::End::kMayHaveRun : RequestIds::End::kNothingRan;
}

void Front::body_complete(Client& client) {
  if (waiting_.count(client.request) == 0) return;
  count(client);
  client.due = client.request_body->written_at(client.last_input_at) + client.timeout;
  listener_.body_complete(client.request, client.due);
}

void Front::body_overdue(Client& client) {
  const RequestId request = client.request;
  if (client.state != Client::State::kWaiting || waiting(request) != &client) return;
  recorder_->body_overdue(request, client.request_body->received());
  refuse_unfinished(client, {503, "the body was not taken in time", "", 0});
}

// No attempt can have run, as none was written whole. Attempts end first: one under way might have run.
void Front::refuse_unfinished(Client& client, const Refusal& refusal) {
  const RequestId request = client.request;
  listener_.client_gone(request);
  refuse(request, refusal);
}

// The request cannot go on, for a fault of the client's or within this node: no further attempt may run.
void Front::abort(Client& client, int status, const char* cause, manage::RequestEnd end) {
  if (!client.stream.open() || client.state == Client::State::kClosing) return;
  const RequestId gone = client.request;
  if (end == manage::RequestEnd::kBadGateway) recorder_->handler_threw(gone);
  release(client, end);
  if (client.request_body) client.request_body->cut();
  if (client.state == Client::State::kForwarding) {
    truncate(client);
  } else {
    client.answer(status, cause, 0, true);
  }
  if (gone != 0) listener_.client_gone(gone);
}

void Front::serve(RequestId request, const Message& response, std::shared_ptr<net::Flow> flow) {
  Client* const client = waiting(request);
  if (client == nullptr) return;
  if (flow) return client->forward(response, std::move(flow));
  release(*client, manage::RequestEnd::kPassed);
  client->send(response);
}

void Front::refuse(RequestId request, const Refusal& refusal) {
  Client* const client = waiting(request);
  if (client == nullptr) return;
  release(*client, manage::RequestEnd::kDropped);
  client->answer(refusal, false);
}

bool Front::evict_idle() {
  const auto may_evict = [this](const Client& client) { return timeouts_.may_evict(client, loop_.now()); };
  Client* const evicted = take_evictable(clients_, may_evict);
  if (evicted == nullptr) return false;
  ++counters_.evicted;
  forget(*evicted, Ending::kEvicted);
  return true;
}

void Front::close_idle_clients(bool only_used) {
  for (const auto& [client, hold] : clients_) {
    if (client->used || !only_used) client->close_idle();
  }
}

void Front::fail_all() {
  failing_all_ = true;
  // Requests that have been received but not read are answered too; and unread input would reset the
  // connection.
  const auto clients = clients_;
  for (const auto& [client, hold] : clients) client->read_all();
  const auto open = waiting_;
  for (const auto& [request, client] : open) {
    // A response that has begun cannot be replaced; see cut_responses().
    if (waiting(request) == nullptr || client->state == Client::State::kForwarding) continue;
    fail(request, 504);
    listener_.client_gone(request);
  }
}

void Front::cut_responses() {
  const auto clients = clients_;
  for (const auto& [client, hold] : clients) {
    if (client->state != Client::State::kForwarding) continue;
    release(*client, manage::RequestEnd::kBadGateway);
    truncate(*client);
  }
}

// A response that has begun cannot be replaced, so its client sees that it is cut short.
void Front::give_up(Client& client) {
  ++counters_.gave_up_for_memory;
  recorder_->given_up_for_memory(client.charged, client.partial_since());
  if (client.partial_since() > 0) return client.answer(kNoMemory, true);
  if (client.state == Client::State::kWaiting) return refuse_unfinished(client, kNoMemory);
  release(client, manage::RequestEnd::kBadGateway);
  truncate(client);
}

// Closes a connection. It is freed once the current handler, which may be its own, has returned.
void Front::forget(Client& client, Ending why) {
  if (waiting_.count(client.request) > 0) recorder_->closed_unanswered(client.request);
  if (client.stream.open()) recorder_->client_closed(client.stream, why, client.partial_since());
  client.stream.close();
  client.leave_bodies();
  client.set_unused(false);
  memory_.charge(client.charged, 0);
  const auto it = clients_.find(&client);
  if (it == clients_.end()) return;
  loop_.later([hold = it->second] {});
  clients_.erase(it);
  if (acceptor_.paused()) loop_.later([this] { acceptor_.try_resume(); });
}

// Where descriptors are short, `Connection: close` frees one without harm, while closing an idle connection
// may cross its next request. The same goes for the first response on a connection where many are idle
// already: clients that send one request and stay connected would soon hold all descriptors.
bool Front::is_last(const Client& client) const {
  const bool stays = !client.answered_before && listener_.many_unused(unused_);
  return drain_ != manage::DrainState::kServing || acceptor_.paused() || stays || listener_.crowded();
}

// Closes connections whose clients send no request, or never complete one.
void Front::sweep() {
  sweep_timer_ = loop_.after(timeouts_.sweep, [this] { sweep(); });
  classifier_.drop_expired(loop_.now());
  const bool roomy = clients_.empty() || listener_.roomy();
  for (const auto& client : overdue_clients(clients_, timeouts_, loop_.now(), drain_, roomy)) {
    if (client->state == Client::State::kClosing || client->state == Client::State::kForwarding) {
      release(*client, manage::RequestEnd::kLeft);
      forget(*client, Ending::kTimeout);
    } else if (client->state == Client::State::kWaiting) {
      abort(*client, 408, "the body does not come", manage::RequestEnd::kLeft);
    } else if (client->request_started_at > 0) {
      client->answer(408, "request did not come whole", 0, true);
    } else if (client->close_idle()) {
      ++(client->used ? counters_.idle : counters_.silent);
    }
  }
}

}  // namespace shorelead::node
