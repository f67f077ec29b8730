// Who is looked at for a request before it is sent, and for how long it is held for their news. It holds no
// state, and must never choose among those looked at.
#pragma once

#include "policy/backend_selector.h"
#include "policy/peer_exchange.h"

namespace shorelead::policy {

constexpr double kLookSteps = 4;  // a service time: old news is told apart no finer
constexpr Millis kLookWait = 8;   // longest that a request is held, where answers bring reports
constexpr int kAsks = 3;          // where only probes bring reports: whose keepers are asked in each round,
constexpr int kLookRounds = 2;    // and rounds for one request

struct ProbeBeforeSend {
  Millis longest(const Request& r) const {
    const Millis share = kLookShare * c_.request_class(r.request_class).aim;
    if (c_.looks_first()) return share;
    return confirmations_.list_outdated() ? std::max(share, kLookWait) : kLookWait;
  }

  // Adds some to those asked for the request, if there are any of use and it has the time.
  // Exception "look", with reports in answers: only if nobody in the rotation passes for want of fresh news.
  void add(Request& r) const {
    if (c_.now + longest(r) >= r.due) return;  // the news might come after the client's time
    const std::size_t old = r.asked.size();
    if (c_.looks_first()) {
      if (r.looks >= kLookRounds) return;
      const std::size_t most = old + static_cast<std::size_t>(c_.by_keepers ? kAsks : kFirstLooks);
      r.key != 0 && c_.settings.warm_keys ? prefer(r, most) : next_turns(r, most);
    } else if (confirmations_.list_outdated()) {
      const std::size_t most =
          old + static_cast<std::size_t>(c_.too_dear(kFirstLooks) ? kFirstLooks : kLooks);
      while (r.looks < kLookRounds && r.asked.size() < most) {
        const auto i = unconfirmed(r, true);
        if (!i) break;
        r.asked.push_back(*i);
      }
    } else {
      const bool late = r.looks > 0 && c_.now > r.look_until - kTimerSlack;
      if (late || c_.too_dear((r.looks + 1) * kLooks) || !r.attempts.empty() || !c_.settings.probing) return;
      stalest(r, old + kLooks);
    }
  }

  // While the list is out of date each request that is sent has one more backend checked, for those behind
  // it: so there are as many to choose from as the traffic needs. Where checks are dear, the few that a
  // request had to wait for will do.
  void check_another(const Request& r) const {
    if (!confirmations_.list_outdated() || c_.looks_first() || c_.too_dear(kFirstLooks)) return;
    if (const auto i = unconfirmed(r, false)) probes_.look(*i);
  }

  // Asks for news of a backend, its keeper or itself; true if that keeper is this node, and all is told.
  bool ask(BackendId i) const {
    if (!c_.by_keepers) return probes_.look(i), false;
    return !peer_exchange_.awaits(i, 0) && peer_exchange_.ask(i);
  }
  // Whether an answer is to come once it was asked; and whether it is still worth waiting for.
  bool to_come(BackendId i) const { return !c_.by_keepers || peer_exchange_.asked(i); }
  bool awaited(BackendId i) const { return probes_.looked_at(i) || peer_exchange_.awaits(i, kTimerSlack); }

  Context& c_;
  const Lists& lists_;
  Probes& probes_;
  const Confirmations& confirmations_;
  Rotation& rotation_;
  PeerExchange& peer_exchange_;
  const estimate::Backends& known_;
  const BackendSelector& selector_;

 private:
  // One whose health check would let it have the request, from a place drawn anew; `under_way`: also one that
  // is being checked.
  std::optional<BackendId> unconfirmed(const Request& r, bool under_way) const {
    const std::size_t count = lists_.size();
    const std::size_t start = count == 0 ? 0 : c_.random.below(count);
    for (std::size_t n = 0; n < count; ++n) {
      const auto i = static_cast<BackendId>((start + n) % count);
      if (r.was_asked(i) || (!under_way && probes_.looked_at(i))) continue;
      if (selector_.unconfirmed(r, i)) return i;
    }
    return std::nullopt;
  }

  // The next in the rotation; they lose their turns.
  void next_turns(Request& r, std::size_t most) const {
    rotation_.walk([&](BackendId i) {
      if (r.was_asked(i) || !selector_.eligible(r, i)) return Rotation::Turn::kKept;
      r.asked.push_back(i);
      return r.asked.size() < most ? Rotation::Turn::kLost : Rotation::Turn::kTaken;
    });
  }

  // Those in the rotation that a look may clear, the least crowded first; they keep their turns.
  void stalest(Request& r, std::size_t most) const {
    std::vector<std::pair<double, BackendId>> stale;
    const std::deque<BackendId>& turns = rotation_.turns();
    for (std::size_t n = 0; n < std::min(turns.size(), kMostWeighed); ++n) {
      const std::pair<double, BackendId> one{std::round(known_.crowd(turns[n], 1) * kLookSteps), turns[n]};
      const bool twice = std::find(stale.begin(), stale.end(), one) != stale.end();
      if (!twice && selector_.may_look(one.second) && selector_.allowed(r, one.second)) stale.push_back(one);
    }
    std::stable_sort(stale.begin(), stale.end(), [](auto x, auto y) { return x.first < y.first; });
    for (std::size_t n = 0; n < stale.size() && r.asked.size() < most; ++n)
      r.asked.push_back(stale[n].second);
  }

  // Exception "keys": those that most likely have met the key. Each node draws the same order for it, in
  // which a backend stands first as often as its share says (weighted rendezvous hashing).
  void prefer(Request& r, std::size_t most) const {
    std::vector<std::pair<double, BackendId>> order;
    for (BackendId i = 0; i < lists_.size(); ++i) {
      const double share = rotation_.share(i);
      if (!rotation_.usable(i) || share <= 0 || r.was_asked(i) || !selector_.eligible(r, i)) continue;
      Random draw(r.key ^ (lists_[i].tag * 0x9e3779b97f4a7c15ULL));
      order.emplace_back(-std::log(1 - draw.unit()) / share, i);
    }
    const std::size_t n = std::min(most - r.asked.size(), order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
    for (std::size_t k = 0; k < n; ++k) r.asked.push_back(order[k].second);
  }
};

}  // namespace shorelead::policy
