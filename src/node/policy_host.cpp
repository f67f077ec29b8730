#include "node/policy_host.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "node/outcome.h"
#include "node/request_rules.h"

namespace shorelead::node {
namespace {

constexpr Millis kNoDeadline = 1e15;  // of a request whose body has not been received whole

}  // namespace

PolicyHost::PolicyHost(const Settings& settings, const HostSettings& host, std::uint64_t seed,
                       const FleetOptions& fleet)
    : classes_(settings, host),
      policy_(classes_.settings(), seed),
      endpoints_(host, fleet),
      requests_(endpoints_) {}

void PolicyHost::start(const List& known, Millis now) {
  feed(Started{}, now);
  report_list(known, ListSource::kStored, now);
}

std::vector<int> PolicyHost::adopt(const Settings& settings, const HostSettings& host, Millis now) {
  std::vector<int> numbers = classes_.adopt(settings, host);
  feed(SettingsChanged{classes_.settings()}, now);
  return numbers;
}

Choice PolicyHost::pick(RequestId request, const RequestInfo& info, Millis now) {
  requests_.begin(request, {.due = info.body_pending ? kNoDeadline : info.due,
                            .request_class = info.request_class,
                            .rules = guarded_rules(classes_.settings(), info.request_class),
                            .home = info.home,
                            .affinity_hold = info.affinity_hold});
  feed(RequestArrived{request, info.request_class, info.tenant, info.due, info.expected_work,
                      info.client_retry, 0, info.home, info.worth},
       now);
  return deferred_.take(request, Choice::Kind::kPending);
}

Choice PolicyHost::report(RequestId request, int attempt, Ending ending, Millis elapsed,
                          const LoadReport* load, Millis now, bool response_open) {
  OpenRequests::Entry* const found = requests_.find(request);
  if (found == nullptr) return {Choice::Kind::kEnded, request};
  OpenRequests::Entry& entry = *found;
  AttemptEnded event;
  event.request = request;
  event.backend = entry.attempts.at(static_cast<std::size_t>(attempt));
  event.attempt = attempt;
  event.outcome = outcome_of(ending);
  event.elapsed = elapsed;
  take_report(load, event);
  entry.may_have_run = entry.may_have_run || !never_ran(event.outcome);
  const bool forward = event.outcome == Outcome::kServed && guard::may_forward({.answered = entry.ended});
  entry.ended = entry.ended || forward;
  event.request_over = entry.ended;
  event.response_open = forward && response_open;
  if (event.response_open) responses_.begin(request, event.backend, entry.request_class);
  endpoints_.heard(event.backend, event.outcome);
  spare_capacity_.attempt_ended(event.outcome == Outcome::kRejected);
  if (load != nullptr) spare_capacity_.reported(load->busy);
  requests_.attempt_ended(request, entry);
  feed(event, now);
  return forward ? Choice{Choice::Kind::kForward, request} : deferred_.take(request, Choice::Kind::kPending);
}

void PolicyHost::report_response(RequestId request, std::optional<Ending> ending, Millis now) {
  if (const auto event = responses_.end(request, ending)) feed(*event, now);
}

void PolicyHost::report_probe(BackendId backend, Ending ending, Millis elapsed, const LoadReport* load,
                              Millis now) {
  endpoints_.release(backend);
  ProbeEnded event;
  event.backend = backend;
  event.outcome = outcome_of(ending);
  event.elapsed = elapsed;
  take_report(load, event);
  endpoints_.heard(backend, event.outcome);
  feed(event, now);
}

std::vector<BackendId> PolicyHost::report_list(const List& list, ListSource source, Millis now) {
  const ListKind kind = source == ListSource::kStored ? ListKind::kStored
                        : list.whole                  ? ListKind::kFull
                                                      : ListKind::kDelta;
  const auto change = endpoints_.take(list, kind, now);
  if (change) feed(change->update, now);
  if (wake_) wake_();  // the subset may have to be drawn anew
  return change ? change->unwanted : std::vector<BackendId>();
}

std::vector<BackendId> PolicyHost::report_bans(const manage::BanSet& bans, Millis now) {
  const auto change = endpoints_.take(bans);
  if (change) feed(change->update, now);
  return change ? change->unwanted : std::vector<BackendId>();
}

void PolicyHost::report_watch_ended(Millis now) {
  // Where lists are pushed, the module did not subscribe, and the host alone reopens the watch.
  if (!classes_.settings().list_on_request) return;
  feed(ListUpdate{ListKind::kFailed, {}}, now);
}

void PolicyHost::body_complete(RequestId request, Millis due) {
  requests_.set_due(request, due);
  if (wake_) wake_();
}

void PolicyHost::report_client_gone(RequestId request, Millis now) {
  OpenRequests::Entry* const entry = requests_.find(request);
  if (entry == nullptr || entry->ended) return;
  requests_.mark_ended(request, *entry);
  feed(RequestGone{request}, now);
}

void PolicyHost::cancel(RequestId request, Millis now) {
  const OpenRequests::Entry* const entry = requests_.find(request);
  if (entry == nullptr) return;
  for (std::size_t n = 0; n < entry->attempts.size(); ++n) {
    deferred_.cancellations.emplace_back(request, static_cast<int>(n));
  }
  report_client_gone(request, now);
  if (wake_) wake_();
}

DeferredActions PolicyHost::tick(Millis now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const std::uint64_t cookie = timers_.begin()->second;
    timers_.erase(timers_.begin());
    feed(TimerFired{cookie}, now);
  }
  while (const auto request = requests_.take_overdue(now)) {
    spdlog::warn("request {} had no answer by its due time", *request);
    answer(*request, {Choice::Kind::kFail, *request});
    feed(RequestGone{*request}, now);
  }
  if (endpoints_.draw_at() > 0 && now >= endpoints_.draw_at()) {
    if (const auto change = endpoints_.draw(now)) {
      feed(change->update, now);
      deferred_.unwanted.insert(deferred_.unwanted.end(), change->unwanted.begin(), change->unwanted.end());
    }
  }
  drop_unwanted(now);
  DeferredActions due = std::exchange(deferred_, {});
  Millis timer = timers_.empty() ? 0 : timers_.begin()->first;
  for (const Millis other : {endpoints_.draw_at(), requests_.next_deadline()}) {
    if (other > 0) timer = timer > 0 ? std::min(timer, other) : other;
  }
  due.next = timer;
  return due;
}

// Drops attempts and probes that were decided before a list made their backend unavailable: a connection that
// is established late would carry them long after. They are reported to the module as not sent, and it
// decides anew.
void PolicyHost::drop_unwanted(Millis now) {
  const auto [sends, probes] = deferred_.take_unwanted([this](BackendId i) { return endpoints_.wanted(i); });
  for (const Choice& send : sends) {
    const Choice next = report(send.request, send.attempt, Ending::kNotSent, 0, nullptr, now);
    if (next.kind != Choice::Kind::kPending && next.kind != Choice::Kind::kEnded)
      deferred_.choices.push_back(next);
  }
  for (const BackendId probe : probes) report_probe(probe, Ending::kNotSent, 0, nullptr, now);
}

void PolicyHost::feed(const Event& event, Millis now) {
  handle(event, now);
  // An attempt that could not be sent is reported after the actions before it, as a network would report it.
  while (!unsent_.empty()) {
    for (const Event& unsent : std::exchange(unsent_, {})) handle(unsent, now);
  }
  if (wake_) wake_();
}

void PolicyHost::handle(const Event& event, Millis now) {
  std::vector<Action> actions;
  if (const auto left = retry_allowance_.update()) policy_.handle(*left, now, actions);
  policy_.handle(event, now, actions);
  retry_allowance_.count_unmet_demand(event, actions);
  for (const Action& action : actions) perform(action, now);
}

void PolicyHost::set_retry_allowance(RetryAllowance retry_allowance, Millis now) {
  std::vector<Action> none;
  if (const auto left = retry_allowance_.set(std::move(retry_allowance))) policy_.handle(*left, now, none);
}

}  // namespace shorelead::node
