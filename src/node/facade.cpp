#include "node/facade.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "node/outcome.h"
#include "node/request_rules.h"

namespace shorelead::node {
namespace {

// Of a request whose body is still coming.
constexpr Millis kNotDue = 1e15;

}  // namespace

Facade::Facade(const Settings& settings, const HostSettings& host, std::uint64_t seed,
               const FleetOptions& fleet)
    : classes_(settings, host),
      policy_(classes_.settings(), seed),
      roster_(host, fleet),
      requests_(roster_) {}

void Facade::start(const List& known, Millis now) {
  feed(Started{}, now);
  report_list(known, ListSource::kStored, now);
}

std::vector<int> Facade::adopt(const Settings& settings, const HostSettings& host, Millis now) {
  std::vector<int> numbers = classes_.adopt(settings, host);
  feed(SettingsChanged{classes_.settings()}, now);
  return numbers;
}

Choice Facade::pick(RequestId request, const Ask& ask, Millis now) {
  requests_.begin(request, {.due = ask.body_comes ? kNotDue : ask.due,
                            .rules = guarded_rules(classes_.settings(), ask.request_class),
                            .home = ask.home,
                            .hold = ask.hold});
  feed(RequestArrived{request, ask.request_class, ask.tenant, ask.due, ask.expected_work, ask.client_retry, 0,
                      ask.home, ask.worth},
       now);
  return errands_.take(request, Choice::Kind::kHold);
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
  take_report(load, event);
  open.may_have_run = open.may_have_run || !never_ran(event.outcome);
  const bool pass = event.outcome == Outcome::kServed && guard::may_forward({.answered = open.over});
  open.over = open.over || pass;
  event.request_over = open.over;
  roster_.heard(event.backend, event.outcome);
  room_.ended(event.outcome == Outcome::kRejected);
  if (load != nullptr) room_.reported(load->busy);
  requests_.ended(request, open);
  feed(event, now);
  return pass ? Choice{Choice::Kind::kPass, request} : errands_.take(request, Choice::Kind::kHold);
}

void Facade::report_probe(BackendId backend, Ending ending, Millis elapsed, const LoadReport* load,
                          Millis now) {
  roster_.release(backend);
  ProbeEnded event;
  event.backend = backend;
  event.outcome = outcome_of(ending);
  event.elapsed = elapsed;
  take_report(load, event);
  roster_.heard(backend, event.outcome);
  feed(event, now);
}

std::vector<BackendId> Facade::report_list(const List& list, ListSource source, Millis now) {
  const ListKind kind = source == ListSource::kStored ? ListKind::kStored
                        : list.whole                  ? ListKind::kFull
                                                      : ListKind::kDelta;
  const auto told = roster_.take(list, kind, now);
  if (told) feed(told->update, now);
  if (wake_) wake_();  // a part may have to be drawn
  return told ? told->unwanted : std::vector<BackendId>();
}

std::vector<BackendId> Facade::report_bans(const manage::BanSet& bans, Millis now) {
  const auto told = roster_.take(bans);
  if (told) feed(told->update, now);
  return told ? told->unwanted : std::vector<BackendId>();
}

void Facade::report_watch_ended(Millis now) {
  // Where lists come by themselves the module never asked, and the host alone sees to the watch.
  if (!classes_.settings().list_on_request) return;
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
      feed(told->update, now);
      errands_.unwanted.insert(errands_.unwanted.end(), told->unwanted.begin(), told->unwanted.end());
    }
  }
  drop_unwanted(now);
  Errands due = std::exchange(errands_, {});
  Millis timer = timers_.empty() ? 0 : timers_.begin()->first;
  for (const Millis other : {roster_.draw_at(), requests_.next()}) {
    if (other > 0) timer = timer > 0 ? std::min(timer, other) : other;
  }
  due.next = timer;
  return due;
}

// Guards against what was decided before a list said otherwise: a connection that comes up late would carry
// it long after. The module hears that it was not sent, and decides anew.
void Facade::drop_unwanted(Millis now) {
  const auto [sends, probes] = errands_.take_unwanted([this](BackendId i) { return roster_.wanted(i); });
  for (const Choice& send : sends) {
    const Choice next = report(send.request, send.attempt, Ending::kNotSent, 0, nullptr, now);
    if (next.kind != Choice::Kind::kHold && next.kind != Choice::Kind::kOver)
      errands_.choices.push_back(next);
  }
  for (const BackendId probe : probes) report_probe(probe, Ending::kNotSent, 0, nullptr, now);
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
  if (const auto left = further_.news()) policy_.handle(*left, now, actions);
  policy_.handle(event, now, actions);
  further_.after(event, actions);
  for (const Action& action : actions) perform(action, now);
}

void Facade::bound_attempts(Further further, Millis now) {
  std::vector<Action> none;
  if (const auto left = further_.set(std::move(further))) policy_.handle(*left, now, none);
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
  choice.begin_by = send.begin_by;
  open.attempts.push_back(send.backend);
  roster_.use(send.backend);
  if (open.over || choice.until <= now || choice.attempt >= open.rules.max_attempts ||
      !open.hold.may_send()) {
    unsent_.emplace_back(AttemptEnded{
        send.request, send.backend, choice.attempt, outcome_of(Ending::kNotSent), 0, open.over, false, {}});
    return;
  }
  open.out += 1;
  if (choice.attempt > 0) further_.made();
  errands_.choices.push_back(choice);
}

// A final answer by this node. Attempts still out are reported later, to a request that is over.
void Facade::answer(RequestId request, Choice choice) {
  OpenRequests::Open* const open = requests_.find(request);
  if (open == nullptr) return;
  const guard::RequestState state = open->state();
  if (!guard::may_fail(state)) return;
  if (choice.kind == Choice::Kind::kRefuse && !guard::may_refuse(state)) choice.kind = Choice::Kind::kFail;
  errands_.choices.push_back(choice);
  requests_.answered(request, *open);
}

}  // namespace shorelead::node
