// The life of each request from arrival to final answer: its attempts, its waits for probes, hedges and
// outcomes. Owns the open requests. Which backend an attempt goes to is decided by the selector.
#pragma once

#include <stdexcept>
#include <unordered_map>

#include "policy/probe_before_send.h"

namespace shorelead::policy {

// Times the expected time: an attempt that takes longer is lost or stuck.
constexpr double kOverdueFactor = 4;
// Of the aim: a client that retries within this may still be served in time.
constexpr double kRetryAdviceShare = 0.2;
constexpr double kLossThreshold = 0.05;  // share of attempts lost, above which
constexpr double kEarlyEndShare = 0.5;   // an attempt ends after this part of its time

// The parts of the module that requests work with.
struct PolicyParts {
  Context& context_;
  const Lists& lists_;
  Probes& probes_;
  Rotation& rotation_;
  SlowStartBudgets& slow_start_;
  Health& health_;
  PeerExchange& peer_exchange_;
  Retries& retries_;
  estimate::Backends& estimates_;
  const BackendSelector& selector_;
  const ProbeBeforeSend& probe_before_send_;
};

class Requests : PolicyParts {
 public:
  explicit Requests(const PolicyParts& parts) : PolicyParts(parts) {}
  void arrived(const RequestArrived& e) {
    if (e.request_class < 0 ||
        static_cast<std::size_t>(e.request_class) >= context_.settings.classes.size()) {
      throw std::out_of_range("request of an unknown class");
    }
    Request r;
    r.id = e.request, r.request_class = e.request_class, r.due = e.due;
    r.max_attempts = retries_.max_attempts(), r.parallel = context_.settings.parallel_attempts;
    r.aim_at = context_.now + context_.request_class(e.request_class).aim;
    r.key = e.key, r.home = e.home, r.worth = e.worth, r.client_retry = e.client_retry;
    r.work = estimates_.arrived(e.expected_work), retries_.earn();
    r.over_share = context_.peers_report_load && !e.client_retry && !peer_exchange_.within_share(e.tenant);
    proceed(open_.insert_or_assign(e.request, std::move(r)).first->second);
  }

  void ended(const AttemptEnded& e) {
    lists_.require_known(e.backend);
    const bool served = e.outcome == Outcome::kServed;
    estimates_.ended(e.backend, e.elapsed, served);
    Request* const r = find(e.request);
    Attempt* const a = r == nullptr ? nullptr : &r->attempts.at(static_cast<std::size_t>(e.attempt));
    const double ratio = a != nullptr && served ? estimates_.service_time_ratio(a->sent, e.elapsed) : 0;
    peer_exchange_.report_attempts(
        e.backend, a != nullptr && served ? PeerMessage::Ending::kAnswered : PeerMessage::Ending::kSent,
        ratio);
    const bool refused_at_once =
        e.outcome == Outcome::kNoConnection && e.elapsed < context_.settings.connect_timeout / 2;
    if (refused_at_once && context_.settings.streams_per_connection == 1 &&
        !context_.settings.reports_full_table)
      close_idle_connections();
    if (context_.now < tables_full_until_ && estimates_.own(e.backend).none())
      context_.emit(CloseIdle{e.backend});
    if (e.has_report) estimates_.reported(e.backend, e.report);
    if (a == nullptr) return;
    record_outcome(*r, *a, e);
    if (e.request_over) return forget(*r);
    if (r->in_flight() == 0) proceed(*r);
  }

  void stream_started(RequestId id) {
    if (Request* const r = find(id)) r->streaming = true;
  }
  void client_gone(RequestId id) {
    if (Request* const r = find(id)) forget(*r);
  }

  // Exception "hedged request": an attempt takes far longer than expected, as its timer says. A second one is
  // sent beside it where that is allowed.
  void hedge(std::uint64_t id) {
    Request* const r = find(static_cast<RequestId>(id));
    if (r == nullptr) return;
    Attempt& a = r->attempts.back();
    if (!a.in_flight || r->streaming || context_.now >= r->aim_at) return;
    if (!std::exchange(a.overdue, true)) {
      estimates_.overdue(a.backend, a.sent.at);
      peer_exchange_.report_attempts(a.backend, PeerMessage::Ending::kLost);
    }
    set_hedge_timer(*r, estimates_.mean_time());  // in case that is not possible now
    if (!retries_.may_send(*r) || context_.now < r->wait_until - kTimerTolerance) return;
    r->probe_rounds = 0, r->candidates.clear();
    proceed(*r);
  }

  // A report arrived, or the wait for it is over: decides on the requests that were held for one.
  void resume_held() {
    std::vector<RequestId> waiting;
    waiting.swap(held_);
    for (const RequestId id : waiting) {
      Request* const r = find(id);
      if (r == nullptr) continue;
      const bool open = std::any_of(r->candidates.begin(), r->candidates.end(), [this](BackendId backend) {
        return probe_before_send_.reply_pending(backend);
      });
      if (!open || context_.now > r->wait_until - kTimerTolerance || !retries_.may_send(*r)) {
        proceed(*r);
      } else if (const auto backend =
                     context_.probes_before_send() ? std::nullopt : selector_.next_in_rotation(*r)) {
        send(*r, *backend);
      } else {
        held_.push_back(id);
      }
    }
  }

 private:
  // Sends the request's next attempt, or else gives its final answer.
  void proceed(Request& r) {
    if (r.in_flight() > 0 && !(r.attempts.back().overdue && retries_.may_hedge(r))) return;
    if (retries_.may_send(r)) {
      const auto [pick, good] = selector_.pick(r);
      if (!good && hold(r)) return;
      if (const auto backend = selector_.select_fallback(r, pick)) return send(r, *backend);
    }
    if (r.in_flight() == 0) answer_unserved(r);
  }

  // Probes candidates and holds the request for their answers. Returns false if no candidate is left or there
  // is no time.
  bool hold(Request& r) {
    const std::size_t first_new = r.candidates.size();
    const Millis wait = probe_before_send_.max_wait(r);
    probe_before_send_.add_candidates(r);
    if (r.candidates.size() == first_new) return false;
    bool open = false;
    for (std::size_t n = first_new; n < r.candidates.size(); ++n) {
      if (probe_before_send_.query(r.candidates[n])) resume_held();
      open |= probe_before_send_.reply_expected(r.candidates[n]);
    }
    if (context_.probes_before_send() || r.probe_rounds == 0) r.wait_until = context_.now + (open ? wait : 0);
    if (r.wait_until == context_.now + wait) context_.set_timer(kProbeWaitTimer, r.wait_until);
    r.probe_rounds += 1;
    open ? held_.push_back(r.id) : proceed(r);
    return true;
  }

  void send(Request& r, BackendId backend) {
    const Millis expected = selector_.expected_response(r, backend), begin_by = retries_.begin_by(r);
    slow_start_.sent(backend), r.candidates.clear(), r.probe_rounds = 0;
    r.attempts.push_back({backend, estimates_.sent(backend, r.request_class, r.work)});
    if (r.attempts.size() > 1) retries_.spend();
    // Exception "early end": where answers are lost, an attempt that should be answered before ends early, so
    // that there is time for a retry at another backend.
    const Millis stop = retries_.stop_at(r);
    const Millis early = kEarlyEndShare * (stop - context_.now);
    const bool ends_early = estimates_.loss_rate() > kLossThreshold && expected < early &&
                            retries_.may_send(r) && selector_.any_allowed(r);
    context_.emit(SendAttempt{r.id, backend, ends_early ? context_.now + early : stop, begin_by});
    const bool repeatable = context_.request_class(r.request_class).effect != Effect::kUnsafe;
    if (context_.probes_before_send() && r.parallel && repeatable) {
      set_hedge_timer(r, kOverdueFactor * std::max(expected, estimates_.mean_time()));
    }
    peer_exchange_.report_attempts(backend, PeerMessage::Ending::kSent);
  }

  // Gives the final answer to a request that cannot be served: a refusal if a repeat does no harm, otherwise
  // a failure.
  void answer_unserved(Request& r) {
    const Settings& s = context_.settings;
    // Exception "come back": the advised wait is short enough for a retry within the aim. Where kept promises
    // count, it is not shortened, as a late answer costs more than a refusal.
    const bool soon = context_.probes_before_send() && s.kept_promises <= 0 && !r.over_share;
    const Millis in_time = kRetryAdviceShare * context_.request_class(r.request_class).aim;
    const Millis wait = soon ? std::min(s.max_wait_advice, in_time) : s.max_wait_advice;
    if (retries_.refusal_is_safe(r)) {
      context_.emit(Refuse{r.id, s.advise_wait ? wait : 0});
    } else {
      context_.emit(Fail{r.id});
    }
    forget(r);
  }

  // Removes a request that is over, and cancels its attempts in flight.
  void forget(Request& r) {
    for (std::size_t n = 0; n < r.attempts.size(); ++n) {
      const bool cancel = r.attempts[n].in_flight && !r.streaming && context_.settings.cancelling;
      if (cancel) context_.emit(CancelAttempt{r.id, static_cast<int>(n)});
    }
    open_.erase(r.id);
  }

  void record_outcome(Request& r, Attempt& a, const AttemptEnded& e) {
    const bool rejected = e.outcome == Outcome::kRejected;
    a.in_flight = false;
    // Exception "drains untold": the backend rejected a request although the same answer reports a free core
    // and nothing waiting. It is draining and the list does not say so yet. Unless it is dropped, it attracts
    // one attempt after another while other backends are idle.
    const bool idle = e.has_report && e.report.busy >= 0 && e.report.busy < 1 && e.report.waiting == 0;
    if (rejected && idle && context_.settings.probing &&
        context_.now >= estimates_.load(e.backend).distrusted_until) {
      probes_.mark_missed(e.backend);
      rotation_.drop(e.backend);
    }
    if (!e.response_open) health_.record_outcome(e.backend, r.request_class, e.outcome);
    const bool served = e.outcome == Outcome::kServed;
    if (served || e.outcome == Outcome::kNoAnswer) estimates_.learn(a.backend, a.sent, e.elapsed, served);
    a.may_have_run = !(rejected || e.outcome == Outcome::kNoConnection || e.outcome == Outcome::kNotSent);
  }

  // Exception "tables full": a connection was refused at once, because idle connections of all nodes fill the
  // backend's connection table. Closes this node's idle connections.
  void close_idle_connections() {
    for (BackendId backend = 0; context_.now >= tables_full_until_ && backend < lists_.size(); ++backend) {
      if (lists_.ready(backend)) context_.emit(CloseIdle{backend});
    }
    tables_full_until_ = context_.now + std::max(kPeriod, context_.settings.idle_timeout);
  }

  Request* find(RequestId id) {
    const auto it = open_.find(id);
    return it == open_.end() ? nullptr : &it->second;
  }

  void set_hedge_timer(const Request& r, Millis in) {
    context_.set_timer(kHedgeTimer | std::uint64_t{r.id} << 8, context_.now + in);
  }

  std::unordered_map<RequestId, Request> open_;  // for look-up only: its order is not deterministic
  std::vector<RequestId> held_;                  // waiting for reports, in order of arrival
  Millis tables_full_until_ = 0;
};

}  // namespace shorelead::policy
