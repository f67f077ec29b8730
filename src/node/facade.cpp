#include "node/facade.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "node/outcome.h"

namespace shorelead::node {
namespace {

// Of a request whose body is still coming.
constexpr Millis kNotDue = 1e15;

}  // namespace

Facade::Facade(const Settings& settings, const HostSettings& host, std::uint64_t seed,
               const FleetOptions& fleet)
    : settings_(settings),
      class_names_(host.classes),
      policy_(settings, seed),
      roster_(host, fleet),
      requests_(roster_) {}

void Facade::start(const List& known, Millis now) {
  feed(Started{}, now);
  report_list(known, ListSource::kStored, now);
}

std::vector<int> Facade::adopt(const Settings& settings, const HostSettings& host, Millis now) {
  Settings next = settings;
  next.classes = settings_.classes;
  std::vector<int> numbers;
  for (std::size_t n = 0; n < settings.classes.size(); ++n) {
    std::size_t at = 0;
    while (at < next.classes.size() &&
           (class_names_[at] != host.classes[n] || !(next.classes[at] == settings.classes[n])))
      ++at;
    if (at == next.classes.size()) {
      next.classes.push_back(settings.classes[n]);
      class_names_.push_back(host.classes[n]);
    }
    numbers.push_back(static_cast<int>(at));
  }
  settings_ = next;
  feed(SettingsChanged{next}, now);
  return numbers;
}

Choice Facade::pick(RequestId request, const Ask& ask, Millis now) {
  requests_.begin(request, {.due = ask.body_comes ? kNotDue : ask.due,
                            .most_attempts = settings_.max_attempts,
                            .home = ask.home,
                            .hold = ask.hold});
  RequestArrived event;
  event.request = request;
  event.request_class = ask.request_class;
  event.tenant = ask.tenant;
  event.due = ask.due;
  event.expected_work = ask.expected_work;
  event.client_retry = ask.client_retry;
  event.home = ask.home;
  feed(event, now);
  return take(request, Choice::Kind::kHold);
}

Choice Facade::report(RequestId request, int attempt, Ending ending, Millis elapsed, const LoadReport* load,
                      Millis now) {
  OpenRequests::Open* const found = requests_.find(request);
  if (found == nullptr) return {Choice::Kind::kOver, request};
  OpenRequests::Open& open = *found;
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
  roster_.heard(event.backend, event.outcome);
  room_.ended(event.outcome == Outcome::kTurnedAway);
  if (load != nullptr) room_.reported(load->busy);
  requests_.ended(request, open);
  feed(event, now);
  return pass ? Choice{Choice::Kind::kPass, request} : take(request, Choice::Kind::kHold);
}

void Facade::report_probe(BackendId backend, Ending ending, Millis elapsed, const LoadReport* load,
                          Millis now) {
  roster_.release(backend);
  ProbeEnded event;
  event.backend = backend;
  event.outcome = outcome_of(ending);
  event.elapsed = elapsed;
  event.has_report = load != nullptr;
  if (load != nullptr) event.report = *load;
  roster_.heard(backend, event.outcome);
  feed(event, now);
}

std::vector<BackendId> Facade::report_list(const List& list, ListSource source, Millis now) {
  const ListKind kind = source == ListSource::kStored ? ListKind::kStored
                        : list.whole                  ? ListKind::kFull
                                                      : ListKind::kDelta;
  auto told = roster_.take(list, kind, now);
  std::vector<BackendId> unwanted;
  if (told) unwanted = tell(*told, now);
  if (wake_) wake_();  // a part may have to be drawn
  return unwanted;
}

std::vector<BackendId> Facade::tell(const Roster::Told& told, Millis now) {
  feed(told.update, now);
  return told.unwanted;
}

std::vector<BackendId> Facade::report_bans(const manage::BanSet& bans, Millis now) {
  const auto told = roster_.take(bans);
  return told ? tell(*told, now) : std::vector<BackendId>();
}

void Facade::report_watch_ended(Millis now) {
  // Where lists come by themselves the module never asked, and the host alone sees to the watch.
  if (!settings_.list_on_request) return;
  feed(ListUpdate{ListKind::kFailed, {}}, now);
}

void Facade::body_whole(RequestId request, Millis due) {
  requests_.due(request, due);
  if (wake_) wake_();
}

void Facade::report_client_gone(RequestId request, Millis now) {
  OpenRequests::Open* const open = requests_.find(request);
  if (open == nullptr || open->over) return;
  requests_.answered(request, *open);
  feed(RequestGone{request}, now);
}

void Facade::call_off(RequestId request, Millis now) {
  const OpenRequests::Open* const open = requests_.find(request);
  if (open == nullptr) return;
  for (std::size_t n = 0; n < open->attempts.size(); ++n) {
    errands_.call_off.emplace_back(request, static_cast<int>(n));
  }
  report_client_gone(request, now);
  if (wake_) wake_();
}

Errands Facade::tick(Millis now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const std::uint64_t cookie = timers_.begin()->second;
    timers_.erase(timers_.begin());
    feed(TimerFired{cookie}, now);
  }
  while (const auto request = requests_.overdue(now)) {
    spdlog::warn("request {} had no answer by its due time", *request);
    answer(*request, {Choice::Kind::kFail, *request});
    feed(RequestGone{*request}, now);
  }
  if (roster_.draw_at() > 0 && now >= roster_.draw_at()) {
    if (const auto told = roster_.draw(now)) {
      const std::vector<BackendId> unwanted = tell(*told, now);
      errands_.unwanted.insert(errands_.unwanted.end(), unwanted.begin(), unwanted.end());
    }
  }
  Errands due = std::exchange(errands_, {});
  Millis timer = timers_.empty() ? 0 : timers_.begin()->first;
  const Millis draw_at = roster_.draw_at();
  if (draw_at > 0) timer = timer > 0 ? std::min(timer, draw_at) : draw_at;
  const Millis deadline = requests_.next();
  due.next = timer > 0 && deadline > 0 ? std::min(timer, deadline) : std::max(timer, deadline);
  return due;
}

void Facade::feed(const Event& event, Millis now) {
  handle(event, now);
  // What could not be sent is told once the actions before it are done, as it would be by a network.
  while (!unsent_.empty()) {
    for (const Event& unsent : std::exchange(unsent_, {})) handle(unsent, now);
  }
  if (wake_) wake_();
}

void Facade::handle(const Event& event, Millis now) {
  std::vector<Action> actions;
  if (further_.left) {
    const double left = further_.left();
    if (left != told_left_) policy_.handle(FurtherAllowed{told_left_ = left}, now, actions);
  }
  policy_.handle(event, now, actions);
  const auto* const ended = std::get_if<AttemptEnded>(&event);
  if (further_.made && ended != nullptr && ended->outcome != Outcome::kServed && !ended->request_over &&
      told_left_ < 1) {
    const auto sends = [](const Action& action) { return std::holds_alternative<SendAttempt>(action); };
    if (std::none_of(actions.begin(), actions.end(), sends)) further_.made();  // it is counted as wanted
  }
  for (const Action& action : actions) perform(action, now);
}

void Facade::bound_attempts(Further further, Millis now) {
  further_ = std::move(further);
  if (further_.left) return;
  told_left_ = std::numeric_limits<double>::infinity();
  std::vector<Action> none;
  policy_.handle(FurtherAllowed{told_left_}, now, none);
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
    roster_.use(probe->backend);
    errands_.probes.push_back(probe->backend);
  } else if (std::holds_alternative<SubscribeList>(action)) {
    errands_.watch = true;
  } else if (const auto* idle = std::get_if<CloseIdle>(&action)) {
    errands_.crowded.push_back(idle->backend);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    timers_.emplace(timer->at, timer->cookie);
  } else if (const auto* note = std::get_if<Note>(&action)) {
    spdlog::info("module: {}", note->text);
  }
}

void Facade::start_attempt(const SendAttempt& send, Millis now) {
  OpenRequests::Open* const found = requests_.find(send.request);
  if (found == nullptr) {
    spdlog::error("attempt for unknown request {}", send.request);
    return;
  }
  OpenRequests::Open& open = *found;
  Choice choice{Choice::Kind::kSend, send.request};
  choice.backend = send.backend;
  choice.attempt = static_cast<int>(open.attempts.size());
  choice.until = send.stop_at > 0 ? std::min(send.stop_at, open.due) : open.due;
  open.attempts.push_back(send.backend);
  roster_.use(send.backend);
  if (open.over || choice.until <= now || choice.attempt >= open.most_attempts || !open.hold.may_send()) {
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
  if (choice.attempt > 0 && further_.made) further_.made();
  errands_.choices.push_back(choice);
}

// A final answer by this node. Attempts still out are reported later, to a request that is over.
void Facade::answer(RequestId request, Choice choice) {
  OpenRequests::Open* const open = requests_.find(request);
  if (open == nullptr || open->over) return;
  errands_.choices.push_back(choice);
  requests_.answered(request, *open);
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

}  // namespace shorelead::node
