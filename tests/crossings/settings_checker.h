// Checks the rules on retries, deadlines and answers for each request, from the events of a test: received,
// sent, ended, answered. It uses the settings in force when a request came, not by the state of the
// decision module.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "crossings/settings_random.h"
#include "node/net.h"

namespace shorelead::node {

struct TestBackend {
  std::string zone;
  int cell = 0;
  std::string health;  // from the last list
  Millis born = 0;
};

class RequestChecker {
 public:
  struct Attempt {
    TestBackend backend;
    Millis sent = 0;
    bool in_flight = true;
    bool may_have_run = true;
  };
  struct Request {
    RandomClass request_class;  // as in the settings when the request came, like the next three
    int max_attempts = 1;
    bool parallel = false;
    bool advise_wait = false;
    Millis due = 0;
    bool finished = false;
    std::vector<Attempt> attempts{};
  };

  void received(std::uint32_t id, Request request) { requests_.emplace(id, std::move(request)); }
  void client_gone(std::uint32_t id) { requests_.at(id).finished = true; }

  void sent(std::uint32_t id, int attempt, const TestBackend& to, Millis until, Millis now) {
    Request& r = requests_.at(id);
    ++sent_;
    if (r.finished) add_violation("an attempt sent after the request had ended");
    if (to.health != "ready") add_violation("an attempt sent to a backend that is " + to.health);
    if (until > r.due) add_violation("an attempt may last beyond the request's deadline");
    if (attempt >= r.max_attempts) add_violation("more attempts than are allowed");
    if (attempt < static_cast<int>(r.attempts.size()))
      add_violation("attempts are not numbered consecutively");
    // Attempts that were decided on but never sent.
    r.attempts.resize(static_cast<std::size_t>(attempt), {to, now, false, false});
    int in_flight = 0;
    for (const Attempt& a : r.attempts) {
      in_flight += a.in_flight ? 1 : 0;
      if (a.may_have_run) check_retry(r.request_class, a, to, now);
    }
    if (in_flight > 0 && !r.parallel) add_violation("two attempts at once although that is not allowed");
    if (in_flight > 1) add_violation("three attempts at once");
    r.attempts.push_back({to, now});
  }

  void ended(std::uint32_t id, int attempt, net::Ending ending) {
    static const std::set<net::Ending> kNeverRan = {net::Ending::kRejected,       net::Ending::kRefused,
                                                    net::Ending::kConnectTimeout, net::Ending::kBrokenUnsent,
                                                    net::Ending::kStoppedUnsent,  net::Ending::kNoDescriptor};
    Attempt& a = requests_.at(id).attempts.at(static_cast<std::size_t>(attempt));
    a.in_flight = false;
    a.may_have_run = kNeverRan.count(ending) == 0;
  }

  void served(std::uint32_t id, Millis now) { ++served_, finish(id, "served", now); }
  void failed(std::uint32_t id, Millis now) { finish(id, "failed", now); }
  void refused(std::uint32_t id, Millis wait, bool advised_now, Millis now) {
    finish(id, "refused", now);
    const Request& r = requests_.at(id);
    const bool ran =
        std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.may_have_run; });
    const bool any_backend =
        r.request_class.effect == Effect::kKeyed && r.request_class.group == DedupGroup::kAll;
    if (ran && r.request_class.effect != Effect::kSafe && !any_backend)
      add_violation("refused although it may have run");
    if (wait > 0 && !r.advise_wait && !advised_now)
      add_violation("Retry-After although the settings do not allow it");
  }

  Millis latest_due(Millis latest) const {
    for (const auto& [id, request] : requests_) latest = std::max(latest, request.due);
    return latest;
  }
  void check_all_answered() {
    for (const auto& [id, request] : requests_) {
      if (!request.finished) add_violation("request " + std::to_string(id) + " has no final answer");
    }
  }

  void add_violation(const std::string& what) { violations_.push_back(what); }
  const std::vector<std::string>& violations() const { return violations_; }
  int sent() const { return sent_; }
  int served() const { return served_; }

 private:
  // Checks that the request may be sent to `to` as well, after attempt `a`, which may have run.
  void check_retry(const RandomClass& request_class, const Attempt& a, const TestBackend& to, Millis now) {
    if (request_class.effect == Effect::kSafe) return;
    if (request_class.effect == Effect::kUnsafe)
      return add_violation("an unsafe request retried after it may have run");
    if (now - a.sent >= request_class.window)
      add_violation("a keyed request retried after its deduplication window");
    const bool same_zone = request_class.group == DedupGroup::kAll || a.backend.zone == to.zone;
    const bool same_cell = request_class.group != DedupGroup::kCell || a.backend.cell == to.cell;
    if (!same_zone || !same_cell) add_violation("a keyed request retried outside its deduplication group");
  }

  void finish(std::uint32_t id, const std::string& kind, Millis now) {
    constexpr Millis kTolerance = 1.1;  // how long after the last attempt's timeout the host may answer
    Request& r = requests_.at(id);
    if (r.finished) add_violation("a second answer: " + kind);
    if (now > r.due + kTolerance) add_violation("an answer after its deadline: " + kind);
    r.finished = true;
  }

  std::map<std::uint32_t, Request> requests_;
  std::vector<std::string> violations_;
  int sent_ = 0;
  int served_ = 0;
};

}  // namespace shorelead::node
