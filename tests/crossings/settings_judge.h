// The rules on requests, told of each thing as it happens to one: what came, was sent, ended and was
// answered. Owns what was told. It judges by the settings under which a request came, never by what the
// module thinks.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "crossings/settings_made.h"
#include "node/net.h"

namespace shorelead::node {

struct Spot {
  std::string zone;
  int cell = 0;
  std::string health;  // as last told
  Millis born = 0;
};

class Judge {
 public:
  struct Attempt {
    Spot spot;
    Millis sent = 0;
    bool out = true;
    bool may_have_run = true;
  };
  struct Request {
    MadeClass rules;  // and what was allowed when it came
    int most = 1;
    bool parallel = false;
    bool advise = false;
    Millis due = 0;
    bool over = false;
    std::vector<Attempt> attempts{};
  };

  void came(std::uint32_t id, Request request) { requests_.emplace(id, std::move(request)); }
  void left(std::uint32_t id) { requests_.at(id).over = true; }

  void sent(std::uint32_t id, int attempt, const Spot& to, Millis until, Millis now) {
    Request& r = requests_.at(id);
    ++sent_;
    if (r.over) broken("sent on after its end");
    if (to.health != "ready") broken("sent to one that is " + to.health);
    if (until > r.due) broken("an attempt may last beyond the client's time");
    if (attempt >= r.most) broken("more attempts than are allowed");
    if (attempt < static_cast<int>(r.attempts.size())) broken("attempts are not numbered in turn");
    // Those that were decided and never handed out.
    r.attempts.resize(static_cast<std::size_t>(attempt), {to, now, false, false});
    int out = 0;
    for (const Attempt& a : r.attempts) {
      out += a.out ? 1 : 0;
      if (a.may_have_run) repeated(r.rules, a, to, now);
    }
    if (out > 0 && !r.parallel) broken("two attempts at once where that is not allowed");
    if (out > 1) broken("three attempts at once");
    r.attempts.push_back({to, now});
  }

  void ended(std::uint32_t id, int attempt, net::Ending ending) {
    static const std::set<net::Ending> kNeverRan = {net::Ending::kRejected,       net::Ending::kRefused,
                                                    net::Ending::kConnectTimeout, net::Ending::kBrokenUnsent,
                                                    net::Ending::kStoppedUnsent,  net::Ending::kNoDescriptor};
    Attempt& a = requests_.at(id).attempts.at(static_cast<std::size_t>(attempt));
    a.out = false;
    a.may_have_run = kNeverRan.count(ending) == 0;
  }

  void served(std::uint32_t id, Millis now) { ++served_, answered(id, "served", now); }
  void failed(std::uint32_t id, Millis now) { answered(id, "failed", now); }
  void refused(std::uint32_t id, Millis wait, bool advised_now, Millis now) {
    answered(id, "refused", now);
    const Request& r = requests_.at(id);
    const bool ran =
        std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.may_have_run; });
    const bool anywhere = r.rules.effect == Effect::kKeyed && r.rules.group == DedupGroup::kAll;
    if (ran && r.rules.effect != Effect::kSafe && !anywhere) broken("refused, though it may have run");
    if (wait > 0 && !r.advise && !advised_now) broken("Retry-After where there is none");
  }

  Millis last_due(Millis least) const {
    for (const auto& [id, request] : requests_) least = std::max(least, request.due);
    return least;
  }
  void end() {
    for (const auto& [id, request] : requests_) {
      if (!request.over) broken("request " + std::to_string(id) + " has no final answer");
    }
  }

  void broken(const std::string& what) { broken_.push_back(what); }
  const std::vector<std::string>& broken() const { return broken_; }
  int sent() const { return sent_; }
  int served() const { return served_; }

 private:
  // Whether it may go to `to` too, after an attempt that may have run.
  void repeated(const MadeClass& rules, const Attempt& a, const Spot& to, Millis now) {
    if (rules.effect == Effect::kSafe) return;
    if (rules.effect == Effect::kUnsafe) return broken("an unsafe request again, after it may have run");
    if (now - a.sent >= rules.window) broken("a keyed request again, after its window");
    const bool zone = rules.group == DedupGroup::kAll || a.spot.zone == to.zone;
    const bool cell = rules.group != DedupGroup::kCell || a.spot.cell == to.cell;
    if (!zone || !cell) broken("a keyed request again, outside of its group");
  }

  void answered(std::uint32_t id, const std::string& how, Millis now) {
    constexpr Millis kLate = 1.1;  // the host's slack behind the last attempt's time-out
    Request& r = requests_.at(id);
    if (r.over) broken("a second answer: " + how);
    if (now > r.due + kLate) broken("an answer after its due time: " + how);
    r.over = true;
  }

  std::map<std::uint32_t, Request> requests_;
  std::vector<std::string> broken_;
  int sent_ = 0;
  int served_ = 0;
};

}  // namespace shorelead::node
