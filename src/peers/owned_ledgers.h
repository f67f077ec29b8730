// The ledgers of the backends and tenants that this node owns: takes in peers' messages about them and
// answers their queries. Decides nothing about requests.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/growing_vector.h"
#include "peers/ledger.h"

namespace shorelead::peers {

class OwnedLedgers {
 public:
  void set_tenants(std::size_t count) { tenants_.resize(count); }
  void reset(std::size_t backend) { backends_[backend] = {}; }
  // Takes in the message of `peer` about the backend or tenant that has `number` on this node. Returns the
  // reply to a query. A peer that queries a backend's load may send an attempt there within `window`.
  std::optional<PeerMessage> receive(int peer, const PeerMessage& m, std::size_t number, Millis window,
                                     Millis now) {
    PeerMessage answer;
    if (m.kind == PeerMessage::Kind::kLoadUpdate) backends_[number].update(peer, m, now);
    if (m.kind == PeerMessage::Kind::kLoadQuery) {
      answer = backends_[number].load_for(peer, window, now);
    } else if (m.kind == PeerMessage::Kind::kTenantRate) {
      tenants_.at(number).update(peer, m.rate, now);
      answer.kind = PeerMessage::Kind::kTenantTotal;
      answer.rate = tenants_[number].total();
    } else {
      return std::nullopt;
    }
    answer.about = m.about;
    return answer;
  }

 private:
  GrowingVector<BackendLedger> backends_;
  std::vector<RateLedger> tenants_;
};

}  // namespace shorelead::peers
