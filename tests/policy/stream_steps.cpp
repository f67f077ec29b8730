// Events that do not result from actions: clients, lists, messages of peers, new settings, and events that
// make no sense.
#include <algorithm>

#include "policy/stream_host.h"

namespace shorelead::stream {

void Host::step(int kind) {
  switch (kind) {
    case kArrive: {
      RequestArrived r;
      r.request_class = static_cast<int>(random_.below(settings_.classes.size()));
      r.tenant = static_cast<int>(random_.below(settings_.tenants.size() + 2)) - 1;
      r.due = now_ + settings_.classes[static_cast<std::size_t>(r.request_class)].deadline;
      if (chance(0.02)) r.due = now_ + 2;
      if (shape_.service > 10 && chance(0.8)) r.expected_work = wait(shape_.service);
      r.client_retry = chance(0.03);
      if (chance(0.6)) r.key = random_.below(40);
      arrive(r);
      // In bursts: most of the time at half the rate, now and then at four times the rate.
      const double now_and_then = static_cast<std::uint64_t>(now_) / 700 % 7 == 0 ? 4 : 0.5;
      return next(wait(1000 / shape_.rate / now_and_then), kArrive);
    }
    case kChurn:
      churn();
      return next(wait(shape_.churn), kChurn);
    case kPeerMessage:
      if (settings_.peer_messages) peer_message();
      return next(wait(20), kPeerMessage);
    case kSettings:
      if (chance(0.5)) change_settings();
      return next(wait(6000), kSettings);
    default:
      feed_stray_event();
      return next(wait(700), kStray);
  }
}

void Host::arrive(RequestArrived request) {
  request.request = static_cast<RequestId>(requests_.size());
  requests_.push_back(request);
  attempts_.push_back(0);
  feed(request);
}

std::vector<BackendEntry> Host::all_entries() const {
  std::vector<BackendEntry> entries;
  for (const Backend& backend : backends_) {
    if (backend.entry.state != BackendState::kGone) entries.push_back(backend.entry);
  }
  return entries;
}

void Host::list(ListKind kind, std::vector<BackendEntry> entries) {
  feed(ListUpdate{kind, std::move(entries), chance(0.2) ? 3.0 : 0.0});
}

void Host::churn() {
  std::vector<BackendEntry> changed;
  const std::size_t most = 1 + random_.below(chance(0.1) ? backends_.size() : 3);
  for (std::size_t n = 0; n < most; ++n) {
    Backend& backend = backends_[random_.below(backends_.size())];
    backend.other_load = chance(0.3) ? wait(12) : wait(2);
    backend.hangs = chance(0.04);
    backend.failure_share = chance(0.08) ? 0.8 : shape_.failure_share;
    if (backend.entry.state != BackendState::kReady || chance(0.1)) {
      backend.entry.state = BackendState::kReady;
      backend.entry.started = chance(0.8) ? now_ - wait(500) : 0;
      if (chance(0.2)) backend.entry.tag = static_cast<std::uint32_t>(random_.next());
    } else if (chance(0.4)) {
      backend.entry.state = chance(0.5) ? BackendState::kDraining : BackendState::kGone;
    }
    changed.push_back(backend.entry);
  }
  if (chance(0.15)) return list(ListKind::kFull, all_entries());
  if (chance(0.1)) return list(ListKind::kFailed, {});
  list(ListKind::kDelta, changed);
}

void Host::peer_message() {
  PeerMessage m;
  const auto kind = random_.below(5);
  m.kind = static_cast<PeerMessage::Kind>(kind);
  m.about = chance(0.05) ? 7 : backends_[random_.below(backends_.size())].entry.tag;
  if (kind >= 3) m.about = static_cast<std::uint32_t>(random_.below(settings_.tenants.size() + 1));
  m.work = static_cast<double>(random_.below(40)) / 8;
  m.held = static_cast<double>(random_.below(5));
  m.ratio = chance(0.3) ? 0 : 0.4 + 2 * random_.unit();
  m.ending = static_cast<PeerMessage::Ending>(random_.below(3));
  m.rate = static_cast<double>(random_.below(200));
  feed(PeerMessageReceived{
      static_cast<int>(random_.below(static_cast<std::size_t>(settings_.instances) + 2)) - 1, m});
}

void Host::change_settings() {
  Settings s = settings_;
  if (chance(0.3) && s.classes.size() < 9) {
    s.classes.push_back(s.classes[random_.below(s.classes.size())]);
    s.classes.back().aim *= 0.5 + random_.unit();
    s.classes.back().worth *= 0.5 + random_.unit();
  }
  if (chance(0.3)) s.tenants.push_back({static_cast<double>(random_.below(60))});
  if (chance(0.3)) s.max_attempts = 1 + static_cast<int>(random_.below(5));
  if (chance(0.3)) s.classes[0].aim = 60 + 400 * random_.unit();
  if (chance(0.2)) s.probe_price = shape_.settings.probe_price * random_.unit();
  settings_ = s;
  feed(SettingsChanged{s});
}

// Events that a correct host does not send, or sends too late.
void Host::feed_stray_event() {
  const RequestId someone = static_cast<RequestId>(random_.below(requests_.size() + 1));
  const BackendId backend = backends_[random_.below(backends_.size())].entry.backend;
  switch (random_.below(6)) {
    case 0:
      return feed(RequestGone{someone});
    case 1:
      return feed(StreamStarted{someone, 0});
    case 2: {
      RequestArrived r;
      r.request = static_cast<RequestId>(requests_.size()) + 1000000;
      r.request_class = chance(0.5) ? -1 : 99;
      return feed(r);
    }
    case 3:
      return feed(AttemptEnded{someone, 1000000, 0, Outcome::kError, 1, false, false, {}});
    case 4:
      // The end of an attempt of a request that is over and forgotten.
      return feed(AttemptEnded{static_cast<RequestId>(requests_.size()) + 1000000, backend, 0,
                               static_cast<Outcome>(random_.below(8)), wait(30), true, true,
                               report(backends_[0])});
    default:
      return feed(
          ProbeEnded{chance(0.2) ? 1000000 : backend, Outcome::kServed, wait(3), true, report(backends_[0])});
  }
}

}  // namespace shorelead::stream
