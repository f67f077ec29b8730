// What this node keeps for all: the ledgers of the backends and tenants that it was told of. It owns taking
// word of them in and answering it; it must never choose a backend or turn a request away: that is the
// module's.
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
  // Word of `peer` about a backend, or a tenant, by its number here; the answer, where it wants one. Who asks
  // of a backend may send there within `window`.
  std::optional<PeerMessage> receive(int peer, const PeerMessage& m, std::size_t number, Millis window,
                                     Millis now) {
    PeerMessage answer;
    if (m.kind == PeerMessage::Kind::kLoadUpdate) backends_[number].tell(peer, m, now);
    if (m.kind == PeerMessage::Kind::kLoadQuery) {
      answer = backends_[number].known(peer, window, now);
    } else if (m.kind == PeerMessage::Kind::kTenantRate) {
      tenants_.at(number).tell(peer, m.rate, now);
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
