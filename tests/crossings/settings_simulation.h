// Runs a policy host with random settings against random backends, clients and lists in simulated time. Owns
// the clock, and reports the events of each request to the checker.
#pragma once

#include "crossings/settings_checker.h"
#include "node/config.h"
#include "node/policy_host.h"

namespace shorelead::node {

class Simulation {
 public:
  Simulation(std::uint64_t seed, const RandomSettings& first)
      : random_(seed), settings_(first), config_(parse_config(first.text(), {})), allowed_(first) {
    for (std::size_t n = 0; n < first.classes.size(); ++n) class_numbers_.push_back(static_cast<int>(n));
    policy_host_.emplace(config_.settings, config_.host, seed);
    policy_host_->on_deferred_action([this] { wake_ = true; });
    List known;
    known.whole = true;
    for (int n = random_.below(9); n > 0; --n) add_backend(random_.chance(0.2), known);
    policy_host_->start(known, now_);
    run_due_actions();
  }

  void run(int steps) {
    for (int n = 0; n < steps; ++n) {
      advance(random_.chance(0.1) ? random_.real(0, 900) : random_.real(0, 20));
      if (random_.chance(0.8)) receive_request();
      if (random_.chance(0.06)) change_backends();
      if (random_.chance(0.03)) drop_client();
      if (random_.chance(0.02)) policy_host_->report_watch_ended(now_);
      if (random_.chance(0.015)) reload();
      run_due_actions();
    }
    advance(checker_.latest_due(now_) + 10 - now_);
    checker_.check_all_answered();
  }

  const RequestChecker& checker() const { return checker_; }

 private:
  // The future end of an attempt, or of a probe (attempt -1).
  struct PendingEnd {
    RequestId request = 0;
    int attempt = -1;
    BackendId backend = 0;
    Millis sent = 0;
    Ending ending = Ending::kServed;
  };

  void advance(Millis span) {
    const Millis until = now_ + span;
    while (true) {
      const Millis end = pending_ends_.empty() ? until + 1 : pending_ends_.begin()->first;
      const Millis next = next_tick_ > 0 ? next_tick_ : until + 1;
      if (std::min(end, next) > until) break;
      now_ = std::max(now_, std::min(end, next));
      if (end <= next) {
        const PendingEnd done = pending_ends_.begin()->second;
        pending_ends_.erase(pending_ends_.begin());
        finish(done);
        if (random_.chance(0.2)) continue;  // another event at the same time
      }
      run_due_actions();
    }
    now_ = until;
  }

  void run_due_actions() {
    do {
      wake_ = false;
      const DeferredActions due = policy_host_->tick(now_);
      next_tick_ = due.next > 0 ? std::max(due.next, now_ + 0.01) : 0;
      for (const Choice& choice : due.choices) execute(choice);
      for (const auto& [id, attempt] : due.cancellations) call_off(id, attempt);
      for (const BackendId backend : due.probes) probe(backend);
      if (due.start_watch && !allowed_.list_on_request)
        checker_.add_violation("a list is requested although lists are pushed");
      if (due.start_watch)
        random_.chance(0.7) ? report_list(full_list()) : policy_host_->report_watch_ended(now_);
    } while (wake_);
  }

  void receive_request() {
    const int n = random_.below(static_cast<int>(settings_.classes.size()));
    const RandomClass& c = settings_.classes[static_cast<std::size_t>(n)];
    const Millis due = now_ + c.deadline * (random_.chance() ? 1 : random_.real(0.02, 1.3));
    checker_.received(++last_request_,
                      {c, settings_.attempts, settings_.parallel, settings_.retry_after, due});
    RequestInfo info;
    info.request_class = class_numbers_[static_cast<std::size_t>(n)];
    info.tenant = settings_.tenants.empty() ? 0 : random_.below(static_cast<int>(settings_.tenants.size()));
    info.due = due;
    info.expected_work = !sends_hints_ ? -1 : random_.chance(0.1) ? 0 : random_.real(0.01, 0.3) * c.aim;
    info.client_retry = random_.chance(0.1);
    execute(policy_host_->pick(last_request_, info, now_));
  }

  void drop_client() {
    if (last_request_ == 0) return;
    const RequestId id = static_cast<RequestId>(random_.between(1, static_cast<int>(last_request_)));
    policy_host_->report_client_gone(id, now_);
    checker_.client_gone(id);
  }

  void execute(const Choice& choice) {
    switch (choice.kind) {
      case Choice::Kind::kSend:
        return send(choice);
      case Choice::Kind::kRefuse:
        return checker_.refused(choice.request, choice.retry_after, settings_.retry_after, now_);
      case Choice::Kind::kFail:
        return checker_.failed(choice.request, now_);
      case Choice::Kind::kForward:
        return checker_.served(choice.request, now_);
      case Choice::Kind::kPending:
      case Choice::Kind::kEnded:
        return;
    }
  }

  void send(const Choice& choice) {
    checker_.sent(choice.request, choice.attempt, backends_.at(policy_host_->host(choice.backend)),
                  choice.deadline, now_);
    PendingEnd end{choice.request, choice.attempt, choice.backend, now_, random_.one_of(kEndings)};
    const bool ends_at_timeout = end.ending == Ending::kTimeout || end.ending == Ending::kStoppedUnsent;
    pending_ends_.emplace(ends_at_timeout ? choice.deadline : random_.real(now_, choice.deadline), end);
  }

  void call_off(RequestId id, int attempt) {
    if (!allowed_.cancelling) checker_.add_violation("an attempt cancelled although that is not allowed");
    for (auto it = pending_ends_.begin(); it != pending_ends_.end(); ++it) {
      if (it->second.request != id || it->second.attempt != attempt) continue;
      PendingEnd end = it->second;
      end.ending = Ending::kCancelled;
      pending_ends_.erase(it);
      return finish(end);
    }
  }

  void probe(BackendId backend) {
    ++probes_;
    if (!allowed_.probing) checker_.add_violation("a probe although the settings allow none");
    if (backends_.at(policy_host_->host(backend)).health != "ready")
      checker_.add_violation("a probe of a backend that is not ready");
    const Ending ending = random_.chance(0.8) ? Ending::kServed : random_.one_of(kEndings);
    pending_ends_.emplace(now_ + random_.real(0, 400), PendingEnd{0, -1, backend, now_, ending});
  }

  void finish(const PendingEnd& end) {
    LoadReport load;
    load.in_hand = random_.real(0, 30);
    load.waiting = random_.real(0, 20);
    load.busy = random_.real(0, 1);
    const LoadReport* const report = random_.chance(0.4) ? &load : nullptr;
    const Millis elapsed = now_ - end.sent;
    if (end.attempt < 0) return policy_host_->report_probe(end.backend, end.ending, elapsed, report, now_);
    checker_.ended(end.request, end.attempt, end.ending);
    execute(policy_host_->report(end.request, end.attempt, end.ending, elapsed, report, now_));
  }

  // ---- lists ----

  ListedBackend list_entry(const std::string& host) const {
    const TestBackend& backend = backends_.at(host);
    return {host, "127.0.0.1:9000", backend.health, backend.zone, backend.cell, 1, backend.born};
  }
  void add_backend(bool cold, List& list) {
    const std::string host = std::string("s-").append(std::to_string(backends_.size()));
    const std::string zone = random_.chance(0.1) ? "elsewhere" : random_.one_of(settings_.zones);
    backends_[host] = {zone, random_.below(3), "ready", cold ? now_ : 0};
    list.backends.push_back(list_entry(host));
  }
  List full_list() {
    List list;
    list.version = ++version_;
    list.whole = true;
    for (const auto& [host, backend] : backends_) {
      if (backend.health != "gone") list.backends.push_back(list_entry(host));
    }
    return list;
  }
  void report_list(const List& list) { policy_host_->report_list(list, ListSource::kWatch, now_); }
  void change_backends() {
    List list;
    if (backends_.empty() || random_.chance(0.2)) {
      add_backend(random_.chance(), list);
    } else {
      auto it = std::next(backends_.begin(), random_.below(static_cast<int>(backends_.size())));
      TestBackend& backend = it->second;
      const bool ready = backend.health == "ready";
      backend.health = ready ? random_.one_of<std::string>({"draining", "gone"}) : "ready";
      if (!ready) backend.born = now_;
      list.backends.push_back(list_entry(it->first));
    }
    list.version = ++version_;
    report_list(random_.chance(0.3) ? full_list() : list);
  }

  // Applies new settings while requests are open.
  void reload() {
    settings_ = random_settings(random_);
    config_ = parse_config(settings_.text(), {});
    allowed_.list_on_request = allowed_.list_on_request || settings_.list_on_request;
    allowed_.probing = allowed_.probing || settings_.probing;
    allowed_.cancelling = allowed_.cancelling || settings_.cancelling;
    class_numbers_ = policy_host_->adopt(config_.settings, config_.host, now_);
  }

  inline static const std::vector<Ending> kEndings = {
      Ending::kServed,       Ending::kServed,    Ending::kServed,       Ending::kServed,
      Ending::kErred,        Ending::kRejected,  Ending::kTimeout,      Ending::kConnectTimeout,
      Ending::kBrokenUnsent, Ending::kBroken,    Ending::kPeerClosed,   Ending::kStoppedUnsent,
      Ending::kRefused,      Ending::kMalformed, Ending::kNoDescriptor, Ending::kServed};

  RandomSource random_;
  RandomSettings settings_;
  Config config_;
  RandomSettings allowed_;  // features that any settings so far allowed
  std::optional<PolicyHost> policy_host_;
  std::vector<int> class_numbers_;  // by class in force: its number in the policy host
  RequestChecker checker_;
  Millis now_ = 1.7e12;
  Millis next_tick_ = 0;
  bool wake_ = false;
  bool sends_hints_ = random_.chance(0.3);
  std::uint64_t version_ = 1;
  RequestId last_request_ = 0;
  int probes_ = 0;
  std::map<std::string, TestBackend> backends_;
  std::multimap<Millis, PendingEnd> pending_ends_;
};

}  // namespace shorelead::node
