#include "node/facade.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace shorelead::node {
namespace {

// A request that got no answer in its time is given up by the host, this long after, so that the time-out of
// its last attempt, which falls on the same moment, is told to the module first.
constexpr Millis kAfterDue = 1;

Outcome outcome_of(Ending ending) {
  switch (ending) {
    case Ending::kServed:
      return Outcome::kServed;
    case Ending::kErred:
      return Outcome::kError;
    case Ending::kTurnedAway:
      return Outcome::kTurnedAway;
    // The request's last byte was never written: the backend cannot have begun it.
    case Ending::kRefused:
    case Ending::kConnectTimeout:
    case Ending::kBrokenUnsent:
    case Ending::kStoppedUnsent:
      return Outcome::kNoConnection;
    case Ending::kTimeout:
    case Ending::kSilent:
      return Outcome::kNoAnswer;
    case Ending::kCalledOff:
    case Ending::kEvicted:
      return Outcome::kCalledOff;
    // Nor was it here, but for this node's own sake: nothing speaks against the backend.
    case Ending::kNoDescriptor:
    case Ending::kNotSent:
      return Outcome::kNotSent;
    // It was written, and then the connection ended in whatever way: it may have run.
    case Ending::kBroken:
    case Ending::kMalformed:
    case Ending::kPeerClosed:
    case Ending::kIdle:
    case Ending::kDone:
      return Outcome::kConnectionLost;
  }
  return Outcome::kConnectionLost;
}

BackendState state_of(const std::string& health) {
  if (health == "ready") return BackendState::kReady;
  if (health == "draining") return BackendState::kDraining;
  // Also what this node has no word for: nothing new is sent there.
  return BackendState::kGone;
}

}  // namespace

Facade::Facade(const Settings& settings, const HostSettings& host, std::uint64_t seed)
    : settings_(settings), zones_(host.zones), policy_(settings, seed) {}

void Facade::start(const List& known, Millis now) {
  feed(Started{}, now);
  report_list(known, ListSource::kStored, now);
}

Choice Facade::pick(RequestId request, const Ask& ask, Millis now) {
  requests_[request].due = ask.due;
  deadlines_.emplace(ask.due + kAfterDue, request);
  RequestArrived event;
  event.request = request;
  event.request_class = ask.request_class;
  event.tenant = ask.tenant;
  event.due = ask.due;
  event.expected_work = ask.expected_work;
  event.client_retry = ask.client_retry;
  feed(event, now);
  return take(request, Choice::Kind::kHold);
}

Choice Facade::report(RequestId request, int attempt, Ending ending, Millis elapsed, const LoadReport* load,
                      Millis now) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) return {Choice::Kind::kOver, request};
  Open& open = it->second;
  AttemptEnded event;
  event.request = request;
  event.backend = open.attempts.at(static_cast<std::size_t>(attempt));
  event.attempt = attempt;
  event.outcome = outcome_of(ending);
  event.elapsed = elapsed;
  event.has_report = load != nullptr;
  if (load != nullptr) event.report = *load;
  const bool pass = event.outcome == Outcome::kServed && !open.over;
  open.over = open.over || pass;
  event.request_over = open.over;
  open.out -= 1;
  if (open.over && open.out == 0) erase(it);
  feed(event, now);
  return pass ? Choice{Choice::Kind::kPass, request} : take(request, Choice::Kind::kHold);
}

void Facade::report_probe(BackendId backend, Ending ending, Millis elapsed, const LoadReport* load,
                          Millis now) {
  backends_.at(backend).probes -= 1;
  ProbeEnded event;
  event.backend = backend;
  event.outcome = outcome_of(ending);
  event.elapsed = elapsed;
  event.has_report = load != nullptr;
  if (load != nullptr) event.report = *load;
  feed(event, now);
}

void Facade::report_list(const List& list, ListSource source, Millis now) {
  ListUpdate update;
  update.kind = source == ListSource::kStored ? ListKind::kStored
                : list.whole                  ? ListKind::kFull
                                              : ListKind::kDelta;
  give_back_numbers();
  if (update.kind != ListKind::kDelta) {
    for (Known& known : backends_) {
      known.ready = false;
      known.gone = true;
    }
  }
  for (const ListedBackend& listed : list.backends) {
    const std::optional<BackendId> number = number_of(listed);
    if (!number) continue;
    BackendEntry entry;
    entry.backend = *number;
    entry.state = state_of(listed.health);
    entry.zone = zone_number(listed.site);
    entry.cell = listed.cell;
    entry.started = listed.born;
    entry.size = listed.size;
    Known& known = backends_[entry.backend];
    if (!listed.dial.empty()) known.dial = listed.dial;
    known.ready = entry.state == BackendState::kReady;
    known.gone = entry.state == BackendState::kGone;
    update.entries.push_back(entry);
  }
  feed(update, now);
}

// The number by which the module knows this backend; none for one that is gone and was never known.
std::optional<BackendId> Facade::number_of(const ListedBackend& listed) {
  const auto it = numbers_.find(listed.host);
  if (it != numbers_.end()) return it->second;
  if (state_of(listed.health) == BackendState::kGone) return std::nullopt;
  if (free_.empty()) {
    free_.push_back(static_cast<BackendId>(backends_.size()));
    backends_.emplace_back();
  }
  const BackendId number = free_.back();
  free_.pop_back();
  backends_[number].host = listed.host;
  return numbers_[listed.host] = number;
}

// Guards against growing with every backend that ever was: where each replaced one comes back under a new id,
// the numbers of those that are gone go to others, once no request and no probe is left that names them. Only
// with the next list, so that whoever keeps connections by number has dropped them by then.
void Facade::give_back_numbers() {
  std::vector<char> named(backends_.size(), 0);
  for (const auto& [request, open] : requests_) {
    for (const BackendId backend : open.attempts) named[backend] = 1;
  }
  for (BackendId number = 0; number < backends_.size(); ++number) {
    Known& known = backends_[number];
    if (known.host.empty() || !known.gone || known.probes > 0 || named[number]) continue;
    numbers_.erase(known.host);
    known = Known{};
    free_.push_back(number);
  }
}

void Facade::erase(std::unordered_map<RequestId, Open>::iterator it) {
  deadlines_.erase({it->second.due + kAfterDue, it->first});
  requests_.erase(it);
}

void Facade::report_watch_ended(Millis now) {
  // Where lists come by themselves the module never asked, and the host alone sees to the watch.
  if (!settings_.list_on_request) return;
  feed(ListUpdate{ListKind::kFailed, {}}, now);
}

void Facade::report_client_gone(RequestId request, Millis now) {
  const auto it = requests_.find(request);
  if (it == requests_.end() || it->second.over) return;
  it->second.over = true;
  if (it->second.out == 0) erase(it);
  feed(RequestGone{request}, now);
}

Errands Facade::tick(Millis now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const std::uint64_t cookie = timers_.begin()->second;
    timers_.erase(timers_.begin());
    feed(TimerFired{cookie}, now);
  }
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const RequestId request = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto it = requests_.find(request);
    if (it == requests_.end() || it->second.over) continue;
    spdlog::warn("request {} had no answer by its due time", request);
    answer(request, {Choice::Kind::kFail, request});
    feed(RequestGone{request}, now);
  }
  Errands due = std::exchange(errands_, {});
  const Millis timer = timers_.empty() ? 0 : timers_.begin()->first;
  const Millis deadline = deadlines_.empty() ? 0 : deadlines_.begin()->first;
  due.next = timer > 0 && deadline > 0 ? std::min(timer, deadline) : std::max(timer, deadline);
  return due;
}

void Facade::feed(const Event& event, Millis now) {
  std::vector<Action> actions;
  policy_.handle(event, now, actions);
  for (const Action& action : actions) perform(action, now);
  // What could not be sent is told once the actions before it are done, as it would be by a network.
  while (!unsent_.empty()) {
    std::vector<Event> told = std::exchange(unsent_, {});
    for (const Event& unsent : told) {
      actions.clear();
      policy_.handle(unsent, now, actions);
      for (const Action& action : actions) perform(action, now);
    }
  }
  if (wake_) wake_();
}

void Facade::perform(const Action& action, Millis now) {
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    start_attempt(*send, now);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    errands_.call_off.emplace_back(cancel->request, cancel->attempt);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    Choice choice{Choice::Kind::kRefuse, refuse->request};
    choice.wait = refuse->wait;
    answer(refuse->request, choice);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    answer(fail->request, {Choice::Kind::kFail, fail->request});
  } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
    backends_.at(probe->backend).probes += 1;
    errands_.probes.push_back(probe->backend);
  } else if (std::holds_alternative<SubscribeList>(action)) {
    errands_.watch = true;
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    timers_.emplace(timer->at, timer->cookie);
  } else if (const auto* note = std::get_if<Note>(&action)) {
    spdlog::info("module: {}", note->text);
  }
}

void Facade::start_attempt(const SendAttempt& send, Millis now) {
  const auto it = requests_.find(send.request);
  if (it == requests_.end()) {
    spdlog::error("attempt for unknown request {}", send.request);
    return;
  }
  Open& open = it->second;
  Choice choice{Choice::Kind::kSend, send.request};
  choice.backend = send.backend;
  choice.attempt = static_cast<int>(open.attempts.size());
  choice.until = send.stop_at > 0 ? std::min(send.stop_at, open.due) : open.due;
  open.attempts.push_back(send.backend);
  if (open.over || choice.until <= now || choice.attempt >= settings_.max_attempts) {
    AttemptEnded ended;
    ended.request = send.request;
    ended.backend = send.backend;
    ended.attempt = choice.attempt;
    ended.outcome = outcome_of(Ending::kNotSent);
    ended.request_over = open.over;
    unsent_.emplace_back(ended);
    return;
  }
  open.out += 1;
  errands_.choices.push_back(choice);
}

// A final answer by this node. Attempts still out are reported later, to a request that is over.
void Facade::answer(RequestId request, Choice choice) {
  const auto it = requests_.find(request);
  if (it == requests_.end() || it->second.over) return;
  it->second.over = true;
  errands_.choices.push_back(choice);
  if (it->second.out == 0) erase(it);
}

// What has just been decided of this request, if anything; what came up of others waits for tick().
Choice Facade::take(RequestId request, Choice::Kind otherwise) {
  auto& choices = errands_.choices;
  const auto it = std::find_if(choices.begin(), choices.end(),
                               [request](const Choice& choice) { return choice.request == request; });
  if (it == choices.end()) return {otherwise, request};
  const Choice found = *it;
  choices.erase(it);
  return found;
}

int Facade::zone_number(const std::string& name) {
  const auto it = std::find(zones_.begin(), zones_.end(), name);
  if (it != zones_.end()) return static_cast<int>(it - zones_.begin());
  zones_.push_back(name);
  return static_cast<int>(zones_.size()) - 1;
}

}  // namespace shorelead::node
