#include "node/front.h"

#include <algorithm>
#include <utility>

namespace shorelead::node {
namespace {

// A client counts its wait from when it sent the request, this node from when it came in; and the answer has
// to get there.
constexpr Millis kTransit = 5;
constexpr double kTransitShare = 0.1;  // but no more than this part of the wait

}  // namespace

Front::Front(Loop& loop, const Entry& entry, std::shared_ptr<const RoutingSnapshot> snapshot,
             Listener listener, const Waits& waits)
    : loop_(loop),
      classifier_(std::move(snapshot)),
      listener_(std::move(listener)),
      recorder_(loop, listener_.recorder),
      waits_(waits),
      acceptor_(loop, entry,
                {[this](int fd) {
                   const auto client = std::make_shared<Client>(loop_, static_cast<Client::Host&>(*this), fd);
                   clients_.emplace(client.get(), client);
                   recorder_->client_opened(client->stream);
                 },
                 [this] { return listener_.make_room(); }, [this] { return evict_idle(); }}) {
  for (const std::string& name : classifier_.in_force().names) request_counters_.name_class(name);
  sweep();
}

Front::~Front() { loop_.cancel(sweep_); }

void Front::begin(Client& client) {
  const Message& message = *client.message;
  const std::string_view target = message.head().target.in(message.raw);
  if (target == "/-/ready") {
    const bool ready = listener_.ready();
    return client.answer(ready ? 200 : 503, ready ? "ready" : "not ready", 0, false);
  }
  RequestInfo info;
  RequestRoute request_route;
  const char* cause = "";
  const int refusal = classifier_.read(message, loop_.now(), info, request_route, cause);
  if (refusal != 0) return client.answer(refusal, cause, 0, false);
  // Guards against another's request being taken for a repeat of this one, by a backend or by whoever reads
  // its records.
  if (!open_ids_.emplace(message.value("x-request-id")).second) {
    return client.answer(409, "a request with this X-Request-ID is open", 0, false);
  }
  const Millis wait = info.due;
  // From its last byte, which came with what was read last.
  client.wait = wait - std::min(kTransit, kTransitShare * wait);
  info.due = client.input_at + client.wait;
  info.body_comes = client.forwarding_request_body();
  client.request = ++last_request_;
  waiting_[client.request] = &client;
  client.class_name = request_route.snapshot->names[static_cast<std::size_t>(request_route.request_class)];
  client.taken = false;
  recorder_->taken(client.request, message.value("x-request-id"), client.input_at, info.due);
  if (!client.forwarding_request_body()) take(client);
  if (giving_up_) return refuse(client.request, {});  // it was sent nowhere
  listener_.request(client.request, info, request_route, client.message);
}

void Front::go_by(std::shared_ptr<const RoutingSnapshot> snapshot) {
  classifier_.go_by(std::move(snapshot), loop_.now());
  for (const std::string& name : classifier_.in_force().names) request_counters_.name_class(name);
}

// The request at hand has its answer, or nobody waits for it any more.
void Front::release(Client& client, manage::RequestEnd end) {
  if (waiting_.erase(client.request) == 0) return;
  recorder_->ended(client.request, end);
  // One that was never whole and has no answer was none.
  if (!client.taken && end != manage::RequestEnd::kLeft) take(client);
  if (std::exchange(client.taken, false)) request_counters_.ended(client.class_name, end);
  open_ids_.erase(std::string(client.message->value("x-request-id")));
}

void Front::take(Client& client) {
  client.taken = true;
  request_counters_.taken(client.class_name);
}

void Front::whole(Client& client) {
  if (waiting_.count(client.request) == 0) return;
  take(client);
  listener_.body_whole(client.request, client.input_at + client.wait);
}

// The request at hand cannot be gone on with, for its client's sake or this node's: nothing more of it may
// run.
void Front::break_off(Client& client, int status, const char* cause, manage::RequestEnd end) {
  if (!client.stream.open() || client.state == Client::State::kClosing) return;
  const RequestId gone = client.request;
  if (end == manage::RequestEnd::kBadGateway) recorder_->handler_threw(gone);
  release(client, end);
  if (client.request_body) client.request_body->cut();
  if (client.state == Client::State::kForwarding) {
    // It cannot have another answer: it has to see that this one is not whole.
    client.stream.reset_on_close();
    forget(client, Ending::kBroken);
  } else {
    client.answer(status, cause, 0, true);
  }
  if (gone != 0) listener_.gone(gone);
}

bool Front::still_waits(RequestId request) {
  return waiting(request) != nullptr && waiting(request)->still_waits();
}

void Front::serve(RequestId request, const Message& answer, std::shared_ptr<net::Flow> flow) {
  Client* const client = waiting(request);
  if (client == nullptr) return;
  if (flow) return client->pass_on(answer, std::move(flow));
  release(*client, manage::RequestEnd::kPassed);
  client->pass(answer);
}

void Front::refuse(RequestId request, const Refusal& words) {
  Client* const client = waiting(request);
  if (client == nullptr) return;
  release(*client, manage::RequestEnd::kDropped);
  client->answer(words, false);
}

void Front::fail(RequestId request, int status) {
  Client* const client = waiting(request);
  if (client == nullptr) return;
  release(*client, manage::RequestEnd::kBadGateway);
  client->answer(status, "failed", 0, false);
}

bool Front::evict_idle() {
  std::vector<Client*> spare;
  for (const auto& [client, hold] : clients_) {
    if (waits_.dispensable(*client, loop_.now())) spare.push_back(client);
  }
  // Who never asked for anything first, then who has not for longest.
  const auto after = [](const Client* a, const Client* b) {
    return std::pair(a->used, a->last_used) > std::pair(b->used, b->last_used);
  };
  std::make_heap(spare.begin(), spare.end(), after);
  while (!spare.empty()) {
    Client* const client = spare.front();
    if (client->yield()) {
      ++counters_.evicted;
      forget(*client, Ending::kEvicted);
      return true;
    }
    std::pop_heap(spare.begin(), spare.end(), after);  // something has come in
    spare.pop_back();
  }
  return false;
}

void Front::follow(manage::DrainState state) {
  drain_ = state;
  if (state == manage::DrainState::kDrained) part_idle(true);
}

void Front::part_idle(bool only_used) {
  for (const auto& [client, hold] : clients_) {
    if (client->used || !only_used) client->part();
  }
}

bool Front::empty() {
  part_idle(false);
  return clients_.empty() && acceptor_.listening() < 0;
}

void Front::give_up() {
  giving_up_ = true;
  // What lies there to be read was taken as well; and left unread it would reset the connection.
  const auto clients = clients_;
  for (const auto& [client, hold] : clients) client->read_all();
  const auto open = waiting_;
  for (const auto& [request, client] : open) {
    // What has begun to go on cannot have another answer: its end shows that it is not whole.
    if (waiting(request) == nullptr || client->state == Client::State::kForwarding) continue;
    fail(request, 504);
    listener_.gone(request);
  }
}

// Closes a connection; it is freed once the handler at hand, which may be its own, is done.
void Front::forget(Client& client, Ending why) {
  if (waiting_.count(client.request) > 0) recorder_->closed_unanswered(client.request);
  if (client.stream.open()) recorder_->client_closed(client.stream, why, client.partial_since());
  client.stream.close();
  client.leave_bodies();
  client.stand_unused(false);
  const auto it = clients_.find(&client);
  if (it == clients_.end()) return;
  loop_.later([hold = it->second] {});
  clients_.erase(it);
  if (acceptor_.paused()) loop_.later([this] { acceptor_.look_for_room(); });
}

// Where room is short, a client that is told so makes room without harm, while closing on one that is idle
// may cross its next request. So is the first answer on a connection where many already stand unused: clients
// that ask once and stay would soon hold all that they may, and leave none to those who come and go.
bool Front::ends_with(const Client& client) const {
  const bool stays = !client.answered_before && listener_.many_unused(unused_);
  return drain_ != manage::DrainState::kServing || acceptor_.paused() || stays || listener_.crowded();
}

void Front::answered(int status) {
  ++counters_.by_status[status];
  if (status / 100 == 4) ++counters_.malformed;
}

void Front::free_again() {
  if (acceptor_.paused()) loop_.later([this] { acceptor_.look_for_room(); });
}

// Guards against clients that hold a connection and ask for nothing, or never for all of it.
void Front::sweep() {
  sweep_ = loop_.after(waits_.sweep, [this] { sweep(); });
  classifier_.forget_past(loop_.now());
  const Millis now = loop_.now();
  const bool roomy = clients_.empty() || listener_.roomy();
  std::vector<std::shared_ptr<Client>> found;
  for (const auto& [client, hold] : clients_) {
    if (waits_.overdue(*client, now, drain_, roomy)) {
      found.push_back(hold);
    } else if (client->stream.paused()) {
      client->still_waits();
    }
  }
  for (const auto& client : found) {
    if (client->state == Client::State::kClosing || client->state == Client::State::kForwarding) {
      release(*client, manage::RequestEnd::kLeft);
      forget(*client, Ending::kTimeout);
    } else if (client->state == Client::State::kWaiting) {
      break_off(*client, 408, "the body does not come", manage::RequestEnd::kLeft);
    } else if (client->begun_at > 0) {
      client->answer(408, "request did not come whole", 0, true);
    } else if (client->part()) {
      ++(client->used ? counters_.idle : counters_.silent);
    }
  }
}

}  // namespace shorelead::node
