// How the policy host carries out the module's actions: attempts and answers, queued for the next tick().
#include <spdlog/spdlog.h>

#include <algorithm>

#include "node/outcome.h"
#include "node/policy_host.h"

namespace shorelead::node {

void PolicyHost::perform(const Action& action, Millis now) {
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    start_attempt(*send, now);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    deferred_.cancellations.emplace_back(cancel->request, cancel->attempt);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    Choice choice{Choice::Kind::kRefuse, refuse->request};
    choice.retry_after = refuse->wait;
    answer(refuse->request, choice);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    answer(fail->request, {Choice::Kind::kFail, fail->request});
  } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
    endpoints_.use(probe->backend);
    deferred_.probes.push_back(probe->backend);
  } else if (std::holds_alternative<SubscribeList>(action)) {
    deferred_.start_watch = true;
  } else if (const auto* idle = std::get_if<CloseIdle>(&action)) {
    deferred_.close_idle.push_back(idle->backend);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    timers_.emplace(timer->at, timer->cookie);
  } else if (const auto* note = std::get_if<Note>(&action)) {
    spdlog::info("module: {}", note->text);
  }
}

void PolicyHost::start_attempt(const SendAttempt& send, Millis now) {
  OpenRequests::Entry* const found = requests_.find(send.request);
  if (found == nullptr) {
    spdlog::error("attempt for unknown request {}", send.request);
    return;
  }
  OpenRequests::Entry& entry = *found;
  Choice choice{Choice::Kind::kSend, send.request};
  choice.backend = send.backend;
  choice.attempt = static_cast<int>(entry.attempts.size());
  choice.deadline = send.stop_at > 0 ? std::min(send.stop_at, entry.due) : entry.due;
  choice.begin_by = send.begin_by;
  entry.attempts.push_back(send.backend);
  endpoints_.use(send.backend);
  if (entry.ended || choice.deadline <= now || choice.attempt >= entry.rules.max_attempts ||
      !entry.affinity_hold.may_send()) {
    unsent_.emplace_back(AttemptEnded{
        send.request, send.backend, choice.attempt, outcome_of(Ending::kNotSent), 0, entry.ended, false, {}});
    return;
  }
  entry.in_flight += 1;
  if (choice.attempt > 0) retry_allowance_.count_retry();
  deferred_.choices.push_back(choice);
}

// Ends the request with an answer of this node's own; attempts in flight are still reported later.
void PolicyHost::answer(RequestId request, Choice choice) {
  OpenRequests::Entry* const entry = requests_.find(request);
  if (entry == nullptr) return;
  const guard::RequestState state = entry->state();
  if (!guard::may_fail(state)) return;
  if (choice.kind == Choice::Kind::kRefuse && !guard::may_refuse(state)) choice.kind = Choice::Kind::kFail;
  deferred_.choices.push_back(choice);
  requests_.mark_ended(request, *entry);
}

}  // namespace shorelead::node
