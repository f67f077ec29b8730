// The messages between nodes, and the tenants' shares that follow from them. For each backend and tenant one
// node, its owner, keeps a ledger of what all nodes report; every node computes the same owner. Owns the
// ledgers kept on this node, the open queries, and the request rate of each tenant. Refuses no request
// itself.
#pragma once

#include "base/token_bucket.h"
#include "peers/owned_ledgers.h"
#include "policy/lists.h"

namespace shorelead::policy {

constexpr double kQuotaBurst = 2;  // seconds of its quota that a tenant may send at once
constexpr double kMinBurst = 5;    // requests that it may send at once, however small its quota

class PeerExchange {
 public:
  PeerExchange(Context& context, const Lists& lists, estimate::Backends& estimates)
      : context_(context), lists_(lists), estimates_(estimates) {
    settings_changed();
  }
  void reset(BackendId backend) { reply_until_[backend] = 0, ledgers_.reset(backend); }
  void settings_changed() {
    quotas_.resize(context_.settings.tenants.size());
    ledgers_.set_tenants(quotas_.size());
  }

  // Handles a message. Returns true if it was an answer about a backend.
  bool receive(const PeerMessageReceived& e) {
    const PeerMessage& m = e.message;
    if (!context_.peers_report_load || e.peer < 0 || e.peer >= context_.settings.instances) return false;
    const bool rates = m.kind == PeerMessage::Kind::kTenantRate || m.kind == PeerMessage::Kind::kTenantTotal;
    const std::optional<BackendId> backend = lists_.find_by_tag(m.about);
    if (rates ? m.about >= quotas_.size() : !backend) return false;
    if (m.kind == PeerMessage::Kind::kTenantTotal) return quotas_[m.about].fleet_rate = m.rate, false;
    if (m.kind == PeerMessage::Kind::kLoadReply)
      return reply_until_[*backend] = 0, estimates_.peer_reported(*backend, m.work, m.held, m.ratio), true;
    const auto answer = ledgers_.receive(e.peer, m, rates ? m.about : *backend,
                                         kProbeWaitShare * context_.shortest_aim, context_.now);
    return answer && send(e.peer, *answer);
  }

  // Queries a backend's owner. Returns true if that is this node, so that the answer is known already.
  bool query_owner(BackendId backend) {
    reply_until_[backend] = context_.now + kProbeWaitShare * context_.shortest_aim;
    return send(owner_of(lists_[backend].tag),
                {.kind = PeerMessage::Kind::kLoadQuery, .about = lists_[backend].tag});
  }
  bool queried(BackendId backend) const { return reply_until_[backend] > 0; }
  bool reply_pending(BackendId backend, Millis slack) const {
    return context_.now < reply_until_[backend] - slack;
  }

  // Reports this node's attempts at a backend to its owner, and how the last one ended.
  void report_attempts(BackendId backend, PeerMessage::Ending ending, double ratio = 0) {
    if (!context_.peers_report_load) return;
    const estimate::OwnAttempts& own = estimates_.own(backend);
    const std::uint32_t tag = lists_[backend].tag;
    send(owner_of(tag), {PeerMessage::Kind::kLoadUpdate, tag, own.work(), own.held(), ratio, ending});
  }

  void report_rates() {
    for (std::uint32_t n = 0; context_.peers_report_load && n < quotas_.size(); ++n) {
      quotas_[n].node_rate = std::exchange(quotas_[n].arrived, 0) * 1000 / kPeriod;
      send(owner_of(n), {.kind = PeerMessage::Kind::kTenantRate, .about = n, .rate = quotas_[n].node_rate});
    }
  }

  // Exception "shares": a tenant's owner knows its rate at all nodes, and the quota is divided in proportion
  // to them. Equal parts would refuse much where a few nodes carry most of the traffic.
  bool within_share(int tenant) {
    if (tenant < 0 || static_cast<std::size_t>(tenant) >= quotas_.size()) return true;
    TenantQuota& tenant_state = quotas_[static_cast<std::size_t>(tenant)];
    tenant_state.arrived += 1;
    const double quota = context_.settings.tenants[static_cast<std::size_t>(tenant)].quota_rps;
    if (quota <= 0 || tenant_state.fleet_rate <= quota || tenant_state.node_rate <= 0) return true;
    const double rate = quota * tenant_state.node_rate / tenant_state.fleet_rate;
    return tenant_state.bucket.take(rate, std::max(kMinBurst, rate * kQuotaBurst), context_.now);
  }

 private:
  struct TenantQuota {
    double arrived = 0;     // requests in this period
    double node_rate = 0;   // of this node, in the last period
    double fleet_rate = 0;  // of all nodes, as reported by its owner
    TokenBucket bucket;
  };
  int owner_of(std::uint32_t about) const {
    return static_cast<int>(Random(about).next() % static_cast<std::uint64_t>(context_.settings.instances));
  }
  bool send(int peer, const PeerMessage& m) {
    if (peer == context_.settings.instance) return receive(PeerMessageReceived{peer, m});
    context_.emit(SendPeerMessage{peer, m});
    return false;
  }

  Context& context_;
  const Lists& lists_;
  estimate::Backends& estimates_;
  GrowingVector<Millis> reply_until_;  // for each backend: until when an answer is awaited
  peers::OwnedLedgers ledgers_;
  std::vector<TenantQuota> quotas_;  // for each tenant
};

}  // namespace shorelead::policy
