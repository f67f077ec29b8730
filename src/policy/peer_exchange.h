// What nodes tell one another, and what follows for tenants' shares. One of the nodes keeps what all tell of
// a backend, or of a tenant, and each works out the same keeper. It owns the ledgers kept here, the asks
// under way and what came of each tenant; it must never
// turn a request away.
#pragma once

#include "base/token_bucket.h"
#include "peers/keeper.h"
#include "policy/lists.h"

namespace shorelead::policy {

constexpr double kQuotaBurst = 2;  // seconds of its quota that a tenant may send at once
constexpr double kLeastBurst = 5;  // requests that it may send at once however small its quota

class PeerExchange {
 public:
  PeerExchange(Context& context, const Lists& lists, estimate::Backends& known)
      : c_(context), lists_(lists), known_(known) {
    settings_changed();
  }
  void welcome(BackendId i) { until_[i] = 0, keeper_.forget(i); }
  void settings_changed() {
    quotas_.resize(c_.settings.tenants.size());
    keeper_.set_tenants(quotas_.size());
  }

  // Takes a message in; true if it was an answer about a backend.
  bool hear(const PeerMessageReceived& e) {
    const PeerMessage& m = e.message;
    if (!c_.by_keepers || e.peer < 0 || e.peer >= c_.settings.instances) return false;
    const bool rates = m.kind == PeerMessage::Kind::kRate || m.kind == PeerMessage::Kind::kTotal;
    const std::optional<BackendId> i = lists_.tagged(m.about);
    if (rates ? m.about >= quotas_.size() : !i) return false;
    if (m.kind == PeerMessage::Kind::kTotal) return quotas_[m.about].all = m.rate, false;
    if (m.kind == PeerMessage::Kind::kAnswer)
      return until_[*i] = 0, known_.told(*i, m.work, m.held, m.ratio), true;
    const auto answer = keeper_.take(e.peer, m, rates ? m.about : *i, kLookShare * c_.shortest_aim, c_.now);
    return answer && say(e.peer, *answer);
  }

  // Asks a backend's keeper; true if that is this node, and the answer is here.
  bool ask(BackendId i) {
    until_[i] = c_.now + kLookShare * c_.shortest_aim;
    return say(keeper(lists_[i].tag), {.kind = PeerMessage::Kind::kAsk, .about = lists_[i].tag});
  }
  bool asked(BackendId i) const { return until_[i] > 0; }
  bool awaits(BackendId i, Millis slack) const { return c_.now < until_[i] - slack; }

  // Tells the keeper what this node has out there, and how an attempt ended.
  void tell(BackendId i, PeerMessage::Ending ending, double ratio = 0) {
    if (!c_.by_keepers) return;
    const estimate::OwnAttempts& own = known_.own(i);
    const std::uint32_t tag = lists_[i].tag;
    say(keeper(tag), {PeerMessage::Kind::kTell, tag, own.work(), own.held(), ratio, ending});
  }

  void tell_rates() {
    for (std::uint32_t n = 0; c_.by_keepers && n < quotas_.size(); ++n) {
      quotas_[n].rate = std::exchange(quotas_[n].came, 0) * 1000 / kPeriod;
      say(keeper(n), {.kind = PeerMessage::Kind::kRate, .about = n, .rate = quotas_[n].rate});
    }
  }

  // Exception "shares": a keeper hears all rates of a tenant, and its quota is parted as the traffic is.
  bool within_share(int tenant) {
    if (tenant < 0 || static_cast<std::size_t>(tenant) >= quotas_.size()) return true;
    TenantQuota& p = quotas_[static_cast<std::size_t>(tenant)];
    p.came += 1;
    const double quota = c_.settings.tenants[static_cast<std::size_t>(tenant)].quota_rps;
    if (quota <= 0 || p.all <= quota || p.rate <= 0) return true;
    const double rate = quota * p.rate / p.all;
    return p.bucket.take(rate, std::max(kLeastBurst, rate * kQuotaBurst), c_.now);
  }

 private:
  struct TenantQuota {
    double came = 0;  // in this period
    double rate = 0;  // in the last one, of this node
    double all = 0;   // and of all, as its keeper told
    TokenBucket bucket;
  };
  int keeper(std::uint32_t about) const {
    return static_cast<int>(Random(about).next() % static_cast<std::uint64_t>(c_.settings.instances));
  }
  bool say(int peer, const PeerMessage& m) {
    if (peer == c_.settings.instance) return hear(PeerMessageReceived{peer, m});
    c_.act(SendPeerMessage{peer, m});
    return false;
  }

  Context& c_;
  const Lists& lists_;
  estimate::Backends& known_;
  Grown<Millis> until_;  // of each backend: an answer is waited for
  peers::Keeper keeper_;
  std::vector<TenantQuota> quotas_;  // of each tenant
};

}  // namespace shorelead::policy
