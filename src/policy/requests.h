// The way of each request, from its arrival to its final answer: attempts sent, held for news, doubled,
// ended. It owns the open requests. It must never weigh backends: whom an attempt goes to is told by others.
#pragma once

#include <stdexcept>
#include <unordered_map>

#include "policy/probe_before_send.h"

namespace shorelead::policy {

constexpr double kOverdueFactor = 4;       // times what was expected: the attempt is lost or stuck
constexpr double kRetryAdviceShare = 0.2;  // of the aim: when a refused client may still be served in time
constexpr double kLossThreshold = 0.05;    // of attempts lost, above which
constexpr double kEarlyEndShare = 0.5;     // an attempt ends after this part of its time

// The parts that it asks and tells.
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
    r.over_share = context_.by_keepers && !e.client_retry && !peer_exchange_.within_share(e.tenant);
    proceed(open_.insert_or_assign(e.request, std::move(r)).first->second);
  }

  void ended(const AttemptEnded& e) {
    lists_.require_known(e.backend);
    const bool served = e.outcome == Outcome::kServed;
    estimates_.ended(e.backend, e.elapsed, served);
    Request* const r = find(e.request);
    Attempt* const a = r == nullptr ? nullptr : &r->attempts.at(static_cast<std::size_t>(e.attempt));
    const double ratio = a != nullptr && served ? estimates_.ratio(a->sent, e.elapsed) : 0;
    peer_exchange_.report_attempts(
        e.backend, a != nullptr && served ? PeerMessage::Ending::kAnswered : PeerMessage::Ending::kSent,
        ratio);
    const bool at_once =
        e.outcome == Outcome::kNoConnection && e.elapsed < context_.settings.connect_timeout / 2;
    if (at_once && context_.settings.streams_per_connection == 1 && !context_.settings.reports_full_table)
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

  // Exception "second copy": its timer says that an attempt may be out for far longer than was expected.
  void hedge(std::uint64_t id) {
    Request* const r = find(static_cast<RequestId>(id));
    if (r == nullptr) return;
    Attempt& a = r->attempts.back();
    if (!a.in_flight || r->streaming || context_.now >= r->aim_at) return;
    if (!std::exchange(a.overdue, true)) {
      estimates_.overdue(a.backend, a.sent.at);
      peer_exchange_.report_attempts(a.backend, PeerMessage::Ending::kLost);
    }
    set_hedge_timer(*r, estimates_.mean_time());  // if it does not come to it now
    if (!retries_.may_send(*r) || context_.now < r->wait_until - kTimerTolerance) return;
    r->probe_rounds = 0, r->candidates.clear();
    proceed(*r);
  }

  // News came, or waiting for it is over.
  void resume_held() {
    std::vector<RequestId> waiting;
    waiting.swap(held_);
    for (const RequestId id : waiting) {
      Request* const r = find(id);
      if (r == nullptr) continue;
      const bool open = std::any_of(r->candidates.begin(), r->candidates.end(),
                                    [this](BackendId i) { return probe_before_send_.reply_pending(i); });
      if (!open || context_.now > r->wait_until - kTimerTolerance || !retries_.may_send(*r)) {
        proceed(*r);
      } else if (const auto i = context_.probes_before_send() ? std::nullopt : selector_.next_backend(*r)) {
        send(*r, *i);
      } else {
        held_.push_back(id);
      }
    }
  }

 private:
  // Sends the request's next attempt, or gives its final answer at once.
  void proceed(Request& r) {
    if (r.in_flight() > 0 && !(r.attempts.back().overdue && retries_.may_hedge(r))) return;
    if (retries_.may_send(r)) {
      const auto [pick, good] = selector_.pick(r);
      if (!good && hold(r)) return;
      if (const auto i = selector_.select_fallback(r, pick)) return send(r, *i);
    }
    if (r.in_flight() == 0) answer_unserved(r);
  }

  // Asks for news and holds the request for it; false: no use, or no time.
  bool hold(Request& r) {
    const std::size_t old = r.candidates.size();
    const Millis wait = probe_before_send_.max_wait(r);
    probe_before_send_.add_candidates(r);
    if (r.candidates.size() == old) return false;
    bool open = false;
    for (std::size_t n = old; n < r.candidates.size(); ++n) {
      if (probe_before_send_.query(r.candidates[n])) resume_held();
      open |= probe_before_send_.reply_expected(r.candidates[n]);
    }
    if (context_.probes_before_send() || r.probe_rounds == 0 ||
        probe_before_send_.confirmations_.list_outdated())
      r.wait_until = context_.now + (open ? wait : 0);
    if (r.wait_until == context_.now + wait) context_.set_timer(kProbeWaitTimer, r.wait_until);
    r.probe_rounds += 1;
    open ? held_.push_back(r.id) : proceed(r);
    return true;
  }

  void send(Request& r, BackendId i) {
    const Millis expected = selector_.expected_response(r, i), begin_by = retries_.begin_by(r);
    probe_before_send_.check_one_more(r);
    slow_start_.sent(i), r.candidates.clear(), r.probe_rounds = 0;
    r.attempts.push_back({i, estimates_.sent(i, r.request_class, r.work)});
    if (r.attempts.size() > 1) retries_.spend();
    // Exception "early end": answers get lost, this one is expected before, and somebody else may have it.
    const Millis stop = retries_.stop_at(r);
    const Millis early = kEarlyEndShare * (stop - context_.now);
    const bool ends = estimates_.losing() > kLossThreshold && expected < early && retries_.may_send(r) &&
                      selector_.any_allowed(r);
    context_.emit(SendAttempt{r.id, i, ends ? context_.now + early : stop, begin_by});
    const bool repeatable = context_.request_class(r.request_class).effect != Effect::kUnsafe;
    if (context_.probes_before_send() && r.parallel && repeatable) {
      set_hedge_timer(r, kOverdueFactor * std::max(expected, estimates_.mean_time()));
    }
    peer_exchange_.report_attempts(i, PeerMessage::Ending::kSent);
  }

  // The final answer of a request that will not be served: a refusal where that is harmless, else a failure.
  void answer_unserved(Request& r) {
    const Settings& s = context_.settings;
    // Exception "come back": soon enough for the aim; where kept promises count, a late answer costs more.
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

  // Forgets a request that is over; copies still out are called off.
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
    // Exception "drains untold": turned away though that very answer shows a free core and nobody waiting. It
    // drains, and the list is late to say so; it would draw attempt after attempt while others are idle.
    const bool idle = e.has_report && e.report.busy >= 0 && e.report.busy < 1 && e.report.waiting == 0;
    if (rejected && idle && context_.settings.probing &&
        context_.now >= estimates_.load(e.backend).doubted_until) {
      probes_.mark_missed(e.backend);
      rotation_.drop(e.backend);
    }
    health_.record_outcome(e.backend, r.request_class, e.outcome);
    const bool served = e.outcome == Outcome::kServed;
    if (served || e.outcome == Outcome::kNoAnswer) estimates_.learn(a.backend, a.sent, e.elapsed, served);
    a.may_have_run = !(rejected || e.outcome == Outcome::kNoConnection || e.outcome == Outcome::kNotSent);
  }

  // Exception "tables full": turned down at once, as idle connections of all nodes fill a backend's table.
  void close_idle_connections() {
    for (BackendId i = 0; context_.now >= tables_full_until_ && i < lists_.size(); ++i) {
      if (lists_.ready(i)) context_.emit(CloseIdle{i});
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

  std::unordered_map<RequestId, Request> open_;  // looked up, never walked
  std::vector<RequestId> held_;                  // for fresh news, in order
  Millis tables_full_until_ = 0;
};

}  // namespace shorelead::policy
