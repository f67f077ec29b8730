// The way of each request, from its arrival to its final answer: attempts sent, held for news, doubled,
// ended. It owns the open requests. It must never weigh backends: whom an attempt goes to is told by others.
#pragma once

#include <stdexcept>
#include <unordered_map>

#include "policy/probe_before_send.h"

namespace shorelead::policy {

constexpr double kOverdue = 4;     // times what was expected: the attempt is lost or stuck
constexpr double kComeBack = 0.2;  // of the aim: when a refused client may still be served in time
constexpr double kLosing = 0.05;   // of attempts lost, above which
constexpr double kEarlyEnd = 0.5;  // an attempt ends after this part of its time

// The parts that it asks and tells.
struct PolicyParts {
  Context& c_;
  const Lists& lists_;
  Probes& probes_;
  Rotation& rotation_;
  SlowStartBudgets& slow_start_;
  Health& health_;
  PeerExchange& peer_exchange_;
  Retries& retries_;
  estimate::Backends& known_;
  const BackendSelector& selector_;
  const ProbeBeforeSend& probe_before_send_;
};

class Requests : PolicyParts {
 public:
  explicit Requests(const PolicyParts& parts) : PolicyParts(parts) {}
  void arrived(const RequestArrived& e) {
    if (e.request_class < 0 || static_cast<std::size_t>(e.request_class) >= c_.settings.classes.size()) {
      throw std::out_of_range("request of an unknown class");
    }
    Request r;
    r.id = e.request, r.request_class = e.request_class, r.due = e.due;
    r.most_attempts = retries_.most_attempts(), r.parallel = c_.settings.parallel_attempts;
    r.aim_at = c_.now + c_.request_class(e.request_class).aim;
    r.key = e.key, r.home = e.home, r.worth = e.worth, r.client_retry = e.client_retry;
    r.work = known_.arrived(e.expected_work), retries_.earn();
    r.over_share = c_.by_keepers && !e.client_retry && !peer_exchange_.within_share(e.tenant);
    proceed(open_.insert_or_assign(e.request, std::move(r)).first->second);
  }

  void ended(const AttemptEnded& e) {
    lists_.require(e.backend);
    const bool served = e.outcome == Outcome::kServed;
    known_.ended(e.backend, e.elapsed, served);
    Request* const r = find(e.request);
    Attempt* const a = r == nullptr ? nullptr : &r->attempts.at(static_cast<std::size_t>(e.attempt));
    const double ratio = a != nullptr && served ? known_.ratio(a->sent, e.elapsed) : 0;
    peer_exchange_.tell(e.backend,
                        a != nullptr && served ? PeerMessage::Ending::kAnswered : PeerMessage::Ending::kSent,
                        ratio);
    const bool at_once = e.outcome == Outcome::kNoConnection && e.elapsed < c_.settings.connect_timeout / 2;
    if (at_once && c_.settings.streams_per_connection == 1 && !c_.settings.full_tables_answer) full_table();
    if (c_.now < tables_full_until_ && known_.own(e.backend).none()) c_.act(CloseIdle{e.backend});
    if (e.has_report) known_.reported(e.backend, e.report);
    if (a == nullptr) return;
    learn(*r, *a, e);
    if (e.request_over) return drop(*r);
    if (r->out() == 0) proceed(*r);
  }

  void streams(RequestId id) {
    if (Request* const r = find(id)) r->streaming = true;
  }
  void gone(RequestId id) {
    if (Request* const r = find(id)) drop(*r);
  }

  // Exception "second copy": its timer says that an attempt may be out for far longer than was expected.
  void second_copy(std::uint64_t id) {
    Request* const r = find(static_cast<RequestId>(id));
    if (r == nullptr) return;
    Attempt& a = r->attempts.back();
    if (!a.out || r->streaming || c_.now >= r->aim_at) return;
    if (!std::exchange(a.overdue, true)) {
      known_.overdue(a.backend, a.sent.at);
      peer_exchange_.tell(a.backend, PeerMessage::Ending::kLost);
    }
    copy_timer(*r, known_.mean_time());  // if it does not come to it now
    if (!retries_.may_send(*r) || c_.now < r->look_until - kTimerSlack) return;
    r->looks = 0, r->asked.clear();
    proceed(*r);
  }

  // News came, or waiting for it is over.
  void look_again() {
    std::vector<RequestId> waiting;
    waiting.swap(held_);
    for (const RequestId id : waiting) {
      Request* const r = find(id);
      if (r == nullptr) continue;
      const bool open = std::any_of(r->asked.begin(), r->asked.end(),
                                    [this](BackendId i) { return probe_before_send_.awaited(i); });
      if (!open || c_.now > r->look_until - kTimerSlack || !retries_.may_send(*r)) {
        proceed(*r);
      } else if (const auto i = c_.looks_first() ? std::nullopt : selector_.next(*r)) {
        send(*r, *i);
      } else {
        held_.push_back(id);
      }
    }
  }

 private:
  // Sends the request's next attempt, or gives its final answer at once.
  void proceed(Request& r) {
    if (r.out() > 0 && !(r.attempts.back().overdue && retries_.may_hedge(r))) return;
    if (retries_.may_send(r)) {
      const auto [pick, good] = selector_.pick(r);
      if (!good && hold(r)) return;
      if (const auto i = selector_.settle(r, pick)) return send(r, *i);
    }
    if (r.out() == 0) finish(r);
  }

  // Asks for news and holds the request for it; false: no use, or no time.
  bool hold(Request& r) {
    const std::size_t old = r.asked.size();
    const Millis wait = probe_before_send_.longest(r);
    probe_before_send_.add(r);
    if (r.asked.size() == old) return false;
    bool open = false;
    for (std::size_t n = old; n < r.asked.size(); ++n) {
      if (probe_before_send_.ask(r.asked[n])) look_again();
      open |= probe_before_send_.to_come(r.asked[n]);
    }
    if (c_.looks_first() || r.looks == 0 || probe_before_send_.confirmations_.list_outdated())
      r.look_until = c_.now + (open ? wait : 0);
    if (r.look_until == c_.now + wait) c_.timer(kLookTimer, r.look_until);
    r.looks += 1;
    open ? held_.push_back(r.id) : proceed(r);
    return true;
  }

  void send(Request& r, BackendId i) {
    const Millis expected = selector_.expected(r, i), begin_by = retries_.begin_by(r);
    probe_before_send_.check_another(r);
    slow_start_.sent(i), r.asked.clear(), r.looks = 0;
    r.attempts.push_back({i, known_.sent(i, r.request_class, r.work)});
    if (r.attempts.size() > 1) retries_.spend();
    // Exception "early end": answers get lost, this one is expected before, and somebody else may have it.
    const Millis stop = retries_.stop_at(r);
    const Millis early = kEarlyEnd * (stop - c_.now);
    const bool ends =
        known_.losing() > kLosing && expected < early && retries_.may_send(r) && selector_.anybody(r);
    c_.act(SendAttempt{r.id, i, ends ? c_.now + early : stop, begin_by});
    const bool repeatable = c_.request_class(r.request_class).effect != Effect::kUnsafe;
    if (c_.looks_first() && r.parallel && repeatable) {
      copy_timer(r, kOverdue * std::max(expected, known_.mean_time()));
    }
    peer_exchange_.tell(i, PeerMessage::Ending::kSent);
  }

  // The final answer of a request that will not be served: a refusal where that is harmless, else a failure.
  void finish(Request& r) {
    const Settings& s = c_.settings;
    // Exception "come back": soon enough for the aim; where kept promises count, a late answer costs more.
    const bool soon = c_.looks_first() && s.kept_promises <= 0 && !r.over_share;
    const Millis in_time = kComeBack * c_.request_class(r.request_class).aim;
    const Millis wait = soon ? std::min(s.max_wait_advice, in_time) : s.max_wait_advice;
    if (retries_.harmless(r)) {
      c_.act(Refuse{r.id, s.advise_wait ? wait : 0});
    } else {
      c_.act(Fail{r.id});
    }
    drop(r);
  }

  // Forgets a request that is over; copies still out are called off.
  void drop(Request& r) {
    for (std::size_t n = 0; n < r.attempts.size(); ++n) {
      const bool call_off = r.attempts[n].out && !r.streaming && c_.settings.cancelling;
      if (call_off) c_.act(CancelAttempt{r.id, static_cast<int>(n)});
    }
    open_.erase(r.id);
  }

  void learn(Request& r, Attempt& a, const AttemptEnded& e) {
    const bool turned_away = e.outcome == Outcome::kRejected;
    a.out = false;
    // Exception "drains untold": turned away though that very answer shows a free core and nobody waiting. It
    // drains, and the list is late to say so; it would draw attempt after attempt while others are idle.
    const bool idle = e.has_report && e.report.busy >= 0 && e.report.busy < 1 && e.report.waiting == 0;
    if (turned_away && idle && c_.settings.probing && c_.now >= known_.load(e.backend).doubted_until) {
      probes_.miss(e.backend);
      rotation_.drop(e.backend);
    }
    health_.learn(e.backend, r.request_class, e.outcome);
    const bool served = e.outcome == Outcome::kServed;
    if (served || e.outcome == Outcome::kNoAnswer) known_.learn(a.backend, a.sent, e.elapsed, served);
    a.may_have_run = !(turned_away || e.outcome == Outcome::kNoConnection || e.outcome == Outcome::kNotSent);
  }

  // Exception "tables full": turned down at once, as idle connections of all nodes fill a backend's table.
  void full_table() {
    for (BackendId i = 0; c_.now >= tables_full_until_ && i < lists_.size(); ++i) {
      if (lists_.ready(i)) c_.act(CloseIdle{i});
    }
    tables_full_until_ = c_.now + std::max(kPeriod, c_.settings.idle_timeout);
  }

  Request* find(RequestId id) {
    const auto it = open_.find(id);
    return it == open_.end() ? nullptr : &it->second;
  }

  void copy_timer(const Request& r, Millis in) {
    c_.timer(kCopyTimer | std::uint64_t{r.id} << 8, c_.now + in);
  }

  std::unordered_map<RequestId, Request> open_;  // looked up, never walked
  std::vector<RequestId> held_;                  // for fresh news, in order
  Millis tables_full_until_ = 0;
};

}  // namespace shorelead::policy
