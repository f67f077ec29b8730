// A policy host with drawn settings before backends, clients and lists that do whatever chance has them do,
// in simulated time. Owns the clock; what happens to requests it tells the judge.
#pragma once

#include "crossings/settings_judge.h"
#include "node/config.h"
#include "node/policy_host.h"

namespace shorelead::node {

class World {
 public:
  World(std::uint64_t seed, const Made& first)
      : chance_(seed), made_(first), read_(parse_config(first.text(), {})), ever_(first) {
    for (std::size_t n = 0; n < first.classes.size(); ++n) numbers_.push_back(static_cast<int>(n));
    policy_host_.emplace(read_.settings, read_.host, seed);
    policy_host_->on_deferred_action([this] { wake_ = true; });
    List known;
    known.whole = true;
    for (int n = chance_.below(9); n > 0; --n) add(chance_.yes(0.2), known);
    policy_host_->start(known, now_);
    settle();
  }

  void run(int steps) {
    for (int n = 0; n < steps; ++n) {
      pass(chance_.yes(0.1) ? chance_.real(0, 900) : chance_.real(0, 20));
      if (chance_.yes(0.8)) ask();
      if (chance_.yes(0.06)) change_list();
      if (chance_.yes(0.03)) leave();
      if (chance_.yes(0.02)) policy_host_->report_watch_ended(now_);
      if (chance_.yes(0.015)) reload();
      settle();
    }
    pass(judge_.last_due(now_) + 10 - now_);
    judge_.end();
  }

  const Judge& judge() const { return judge_; }

 private:
  // What will come of an attempt, or of a probe where that has no number.
  struct End {
    RequestId request = 0;
    int attempt = -1;
    BackendId backend = 0;
    Millis sent = 0;
    Ending ending = Ending::kServed;
  };

  void pass(Millis span) {
    const Millis until = now_ + span;
    while (true) {
      const Millis end = ends_.empty() ? until + 1 : ends_.begin()->first;
      const Millis next = next_ > 0 ? next_ : until + 1;
      if (std::min(end, next) > until) break;
      now_ = std::max(now_, std::min(end, next));
      if (end <= next) {
        const End done = ends_.begin()->second;
        ends_.erase(ends_.begin());
        finish(done);
        if (chance_.yes(0.2)) continue;  // something else comes in the same moment
      }
      settle();
    }
    now_ = until;
  }

  void settle() {
    do {
      wake_ = false;
      const DeferredActions due = policy_host_->tick(now_);
      next_ = due.next > 0 ? std::max(due.next, now_ + 0.01) : 0;
      for (const Choice& choice : due.choices) carry_out(choice);
      for (const auto& [id, attempt] : due.cancellations) call_off(id, attempt);
      for (const BackendId backend : due.probes) probe(backend);
      if (due.start_watch && !ever_.ask) judge_.broken("a list is asked for where it comes by itself");
      if (due.start_watch) chance_.yes(0.7) ? tell(whole()) : policy_host_->report_watch_ended(now_);
    } while (wake_);
  }

  void ask() {
    const int n = chance_.below(static_cast<int>(made_.classes.size()));
    const MadeClass& c = made_.classes[static_cast<std::size_t>(n)];
    const Millis due = now_ + c.deadline * (chance_.yes() ? 1 : chance_.real(0.02, 1.3));
    judge_.came(++last_, {c, made_.attempts, made_.parallel, made_.retry_after, due});
    RequestInfo asked;
    asked.request_class = numbers_[static_cast<std::size_t>(n)];
    asked.tenant = made_.tenants.empty() ? 0 : chance_.below(static_cast<int>(made_.tenants.size()));
    asked.due = due;
    asked.expected_work = !hints_ ? -1 : chance_.yes(0.1) ? 0 : chance_.real(0.01, 0.3) * c.aim;
    asked.client_retry = chance_.yes(0.1);
    carry_out(policy_host_->pick(last_, asked, now_));
  }

  void leave() {
    if (last_ == 0) return;
    const RequestId id = static_cast<RequestId>(chance_.from(1, static_cast<int>(last_)));
    policy_host_->report_client_gone(id, now_);
    judge_.left(id);
  }

  void carry_out(const Choice& choice) {
    switch (choice.kind) {
      case Choice::Kind::kSend:
        return send(choice);
      case Choice::Kind::kRefuse:
        return judge_.refused(choice.request, choice.retry_after, made_.retry_after, now_);
      case Choice::Kind::kFail:
        return judge_.failed(choice.request, now_);
      case Choice::Kind::kForward:
        return judge_.served(choice.request, now_);
      case Choice::Kind::kPending:
      case Choice::Kind::kEnded:
        return;
    }
  }

  void send(const Choice& choice) {
    judge_.sent(choice.request, choice.attempt, spots_.at(policy_host_->host(choice.backend)),
                choice.deadline, now_);
    End end{choice.request, choice.attempt, choice.backend, now_, chance_.one_of(kEndings)};
    const bool at_its_end = end.ending == Ending::kTimeout || end.ending == Ending::kStoppedUnsent;
    ends_.emplace(at_its_end ? choice.deadline : chance_.real(now_, choice.deadline), end);
  }

  void call_off(RequestId id, int attempt) {
    if (!ever_.cancel) judge_.broken("called off where that is not allowed");
    for (auto it = ends_.begin(); it != ends_.end(); ++it) {
      if (it->second.request != id || it->second.attempt != attempt) continue;
      End end = it->second;
      end.ending = Ending::kCancelled;
      ends_.erase(it);
      return finish(end);
    }
  }

  void probe(BackendId backend) {
    ++probes_;
    if (!ever_.probes) judge_.broken("a probe where there are none");
    if (spots_.at(policy_host_->host(backend)).health != "ready") judge_.broken("a probe of one not ready");
    const Ending ending = chance_.yes(0.8) ? Ending::kServed : chance_.one_of(kEndings);
    ends_.emplace(now_ + chance_.real(0, 400), End{0, -1, backend, now_, ending});
  }

  void finish(const End& end) {
    LoadReport load;
    load.in_hand = chance_.real(0, 30);
    load.waiting = chance_.real(0, 20);
    load.busy = chance_.real(0, 1);
    const LoadReport* const told = chance_.yes(0.4) ? &load : nullptr;
    const Millis elapsed = now_ - end.sent;
    if (end.attempt < 0) return policy_host_->report_probe(end.backend, end.ending, elapsed, told, now_);
    judge_.ended(end.request, end.attempt, end.ending);
    carry_out(policy_host_->report(end.request, end.attempt, end.ending, elapsed, told, now_));
  }

  // ---- lists ----

  ListedBackend listed(const std::string& host) const {
    const Spot& spot = spots_.at(host);
    return {host, "127.0.0.1:9000", spot.health, spot.zone, spot.cell, 1, spot.born};
  }
  void add(bool cold, List& list) {
    const std::string host = std::string("s-").append(std::to_string(spots_.size()));
    const std::string zone = chance_.yes(0.1) ? "elsewhere" : chance_.one_of(made_.zones);
    spots_[host] = {zone, chance_.below(3), "ready", cold ? now_ : 0};
    list.backends.push_back(listed(host));
  }
  List whole() {
    List list;
    list.version = ++version_;
    list.whole = true;
    for (const auto& [host, spot] : spots_) {
      if (spot.health != "gone") list.backends.push_back(listed(host));
    }
    return list;
  }
  void tell(const List& list) { policy_host_->report_list(list, ListSource::kWatch, now_); }
  void change_list() {
    List list;
    if (spots_.empty() || chance_.yes(0.2)) {
      add(chance_.yes(), list);
    } else {
      auto it = std::next(spots_.begin(), chance_.below(static_cast<int>(spots_.size())));
      Spot& spot = it->second;
      const bool ready = spot.health == "ready";
      spot.health = ready ? chance_.one_of<std::string>({"draining", "gone"}) : "ready";
      if (!ready) spot.born = now_;
      list.backends.push_back(listed(it->first));
    }
    list.version = ++version_;
    tell(chance_.yes(0.3) ? whole() : list);
  }

  // New settings under what is open.
  void reload() {
    made_ = made(chance_);
    read_ = parse_config(made_.text(), {});
    ever_.ask = ever_.ask || made_.ask;
    ever_.probes = ever_.probes || made_.probes;
    ever_.cancel = ever_.cancel || made_.cancel;
    numbers_ = policy_host_->adopt(read_.settings, read_.host, now_);
  }

  inline static const std::vector<Ending> kEndings = {
      Ending::kServed,       Ending::kServed,    Ending::kServed,       Ending::kServed,
      Ending::kErred,        Ending::kRejected,  Ending::kTimeout,      Ending::kConnectTimeout,
      Ending::kBrokenUnsent, Ending::kBroken,    Ending::kPeerClosed,   Ending::kStoppedUnsent,
      Ending::kRefused,      Ending::kMalformed, Ending::kNoDescriptor, Ending::kServed};

  Chance chance_;
  Made made_;
  Config read_;
  Made ever_;  // what any settings so far allow
  std::optional<PolicyHost> policy_host_;
  std::vector<int> numbers_;  // of the classes in force
  Judge judge_;
  Millis now_ = 1.7e12;
  Millis next_ = 0;
  bool wake_ = false;
  bool hints_ = chance_.yes(0.3);
  std::uint64_t version_ = 1;
  RequestId last_ = 0;
  int probes_ = 0;
  std::map<std::string, Spot> spots_;
  std::multimap<Millis, End> ends_;
};

}  // namespace shorelead::node
