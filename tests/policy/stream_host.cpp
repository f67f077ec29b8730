#include "policy/stream_host.h"

#include <algorithm>
#include <stdexcept>

namespace shorelead::stream {
namespace {

constexpr Outcome kBadEnds[] = {Outcome::kError,          Outcome::kRejected, Outcome::kNoAnswer,
                                Outcome::kNoConnection,   Outcome::kNotSent,  Outcome::kCancelled,
                                Outcome::kConnectionLost, Outcome::kNoAnswer, Outcome::kError};

}  // namespace

Host::Host(const Shape& shape, std::uint64_t seed, Sink& sink)
    : shape_(shape),
      settings_(shape.settings),
      sink_(sink),
      random_(seed * 0x9e3779b97f4a7c15ULL + 1),
      policy_(shape.settings, seed) {
  for (int i = 0; i < shape_.backends; ++i) {
    Backend backend;
    backend.entry.backend = static_cast<BackendId>(shape_.irregular_lists ? i * 2 : i);
    backend.entry.zone = i % 3;
    backend.entry.cell = i % 5;
    backend.entry.size = settings_.sizes_listed ? 0.25 * static_cast<double>(random_.below(12)) : 1;
    backend.entry.tag = static_cast<std::uint32_t>(random_.next());
    backend.entry.started = chance(0.2) ? now_ - 4000 : 0;
    const bool odd = shape_.irregular_lists && chance(0.3);
    backend.entry.state = odd ? BackendState::kDraining : BackendState::kReady;
    backend.slowness = 0.5 + random_.unit() * (chance(0.1) ? 8 : 1.5);
    backend.failure_share = chance(0.1) ? 0.9 : shape_.failure_share;
    backend.bad_class = chance(0.1) ? static_cast<int>(random_.below(4)) : -1;
    backends_.push_back(backend);
  }
  feed(Started{});
  if (chance(0.5)) list(ListKind::kStored, chance(0.7) ? all_entries() : std::vector<BackendEntry>());
  if (!settings_.list_on_request) later(wait(50), ListUpdate{ListKind::kFull, all_entries(), 0});
  for (const int kind : {kArrive, kChurn, kPeerMessage, kSettings, kStray}) next(wait(300), kind);
}

std::size_t Host::play(std::size_t events) {
  const std::uint64_t until = fed_ + events;
  while (fed_ < until) {
    const Due due = due_.top();
    due_.pop();
    now_ = std::max(now_, due.at);
    due.again >= 0 ? step(due.again) : feed(due.event);
  }
  return actions_seen_;
}

void Host::feed(const Event& event) {
  actions_.clear();
  char head[64];
  std::snprintf(head, sizeof head, "%llu %.17g ", static_cast<unsigned long long>(fed_++), now_);
  std::string text = head + write(event);
  try {
    policy_.handle(event, now_, actions_);
  } catch (const std::out_of_range&) {
    text += "  out of range\n";
  }
  for (const Action& action : actions_) text += write(action);
  if (fed_ % 64 == 0) text += "  avoided " + std::to_string(policy_.avoided(now_)) + "\n";
  sink_.take(text);
  actions_seen_ += actions_.size();
  const std::vector<Action> actions = actions_;
  for (const Action& action : actions) react(action);
}

void Host::react(const Action& action) {
  if (const auto* sent = std::get_if<SendAttempt>(&action)) return send(*sent);
  if (const auto* sent = std::get_if<SendPeerMessage>(&action)) return answer(*sent);
  if (const auto* timer = std::get_if<SetTimer>(&action)) {
    return later(std::max(0.0, timer->at - now_), TimerFired{timer->cookie});
  }
  if (std::holds_alternative<SubscribeList>(action)) {
    ListUpdate update{ListKind::kFull, all_entries(),
                      chance(0.3) ? 1.0 + static_cast<double>(random_.below(9)) : 0.0};
    if (chance(0.4)) update = {ListKind::kFailed, {}, 0};
    return later(wait(60), update);
  }
  if (const auto* probe = std::get_if<SendProbe>(&action)) {
    const Backend& backend = backends_[probe->backend / (shape_.irregular_lists ? 2 : 1)];
    ProbeEnded ended{probe->backend, Outcome::kServed, 0.4 + wait(1.5) * backend.slowness, false, {}};
    const bool dead = backend.hangs || chance(backend.failure_share * 0.5);
    if (dead) ended.outcome = kBadEnds[random_.below(std::size(kBadEnds))];
    if (dead || chance(0.01)) ended.elapsed = 100 + wait(300);
    ended.has_report = ended.outcome == Outcome::kServed && chance(0.95);
    if (ended.has_report) ended.report = report(backend);
    return later(ended.elapsed, ended);
  }
  if (const auto* refused = std::get_if<Refuse>(&action)) {
    RequestArrived again = requests_[refused->request];
    const Millis in = refused->wait * (1 + random_.unit());
    if (refused->wait <= 0 || again.due < now_ + in || !chance(0.5)) return;
    again.request = static_cast<RequestId>(requests_.size());
    again.client_retry = true;
    requests_.push_back(again);
    attempts_.push_back(0);
    later(in, again);
  }
}

void Host::send(const SendAttempt& send) {
  Backend& backend = backends_[send.backend / (shape_.irregular_lists ? 2 : 1)];
  const RequestArrived& r = requests_[send.request];
  const RequestClass& c = settings_.classes[static_cast<std::size_t>(r.request_class)];
  AttemptEnded ended{
      send.request, send.backend, attempts_[send.request]++, Outcome::kServed, 0, false, false, {}};
  const double work = r.expected_work > 0 ? r.expected_work : shape_.service;
  ended.elapsed = 0.5 + wait(work) * backend.slowness * (1 + backend.other_load / 4);
  const bool bad = chance(backend.failure_share) || (r.request_class == backend.bad_class && chance(0.95));
  if (bad) ended.outcome = kBadEnds[random_.below(std::size(kBadEnds))];
  if (ended.outcome == Outcome::kNoConnection) ended.elapsed = chance(0.5) ? 1 : 150;
  if (ended.outcome == Outcome::kRejected || backend.entry.state != BackendState::kReady) {
    ended.outcome = Outcome::kRejected, ended.elapsed = 1;
  }
  const Millis stop = send.stop_at > 0 ? std::max(now_, std::min(send.stop_at, r.due)) : r.due;
  if (backend.hangs || ended.outcome == Outcome::kNoAnswer || now_ + ended.elapsed > stop) {
    ended.outcome = Outcome::kNoAnswer, ended.elapsed = std::max(0.0, stop - now_);
  }
  const bool answered = ended.outcome == Outcome::kServed || ended.outcome == Outcome::kRejected;
  ended.has_report = answered && settings_.reports_with_answers && chance(0.95);
  if (ended.has_report) ended.report = report(backend);
  ended.request_over = ended.outcome == Outcome::kServed || now_ + ended.elapsed >= r.due || chance(0.01);
  if (c.streamed && ended.outcome == Outcome::kServed && chance(0.8)) {
    later(ended.elapsed * 0.5, StreamStarted{send.request, ended.attempt});
  }
  if (chance(0.01)) later(wait(10), RequestGone{send.request});
  later(ended.elapsed, ended);
}

void Host::answer(const SendPeerMessage& sent) {
  if (chance(0.1)) return;  // lost
  PeerMessage m{.about = sent.message.about};
  if (sent.message.kind == PeerMessage::Kind::kLoadQuery) {
    m.kind = PeerMessage::Kind::kLoadReply;
    m.work = static_cast<double>(random_.below(24)) / 8;
    m.held = static_cast<double>(random_.below(4));
    m.ratio = chance(0.2) ? 0 : 0.5 + random_.unit();
  } else if (sent.message.kind == PeerMessage::Kind::kTenantRate) {
    m.kind = PeerMessage::Kind::kTenantTotal;
    m.rate = sent.message.rate * (1 + static_cast<double>(random_.below(8)));
  } else {
    return;
  }
  later(0.5 + wait(2), PeerMessageReceived{sent.peer, m});
}

LoadReport Host::report(const Backend& backend) {
  if (chance(0.05)) return {};
  LoadReport load;
  load.waiting = std::max(0.0, backend.other_load - 4) + static_cast<double>(random_.below(2));
  load.in_hand = load.waiting + static_cast<double>(random_.below(5));
  load.busy = chance(0.1) ? -1 : std::min(1.0, load.in_hand / 4);
  return load;
}

Millis Host::wait(Millis mean) {
  // Approximately exponential: a part of a uniform draw, now and then a long one.
  return mean * (chance(0.1) ? 1 + 4 * random_.unit() : 1.3 * random_.unit());
}

}  // namespace shorelead::stream
