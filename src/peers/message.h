// Messages between nodes about backends' load and tenants' request rates. A message may be lost, late or
// wrong, and no node may rely on one.
#pragma once

#include <cstddef>
#include <cstdint>

namespace shorelead {

inline constexpr std::size_t kMaxPeerMessageBytes = 256;  // of one message encoded by peers/message_codec.h

// Each backend and each tenant has an owner: the one peer that collects what all nodes report of it.
struct PeerMessage {
  enum class Kind : std::uint8_t {
    kLoadQuery,   // to a backend's owner: asks for the load that other nodes put on it
    kLoadReply,   // the owner's answer
    kLoadUpdate,  // to a backend's owner, after an attempt was sent or ended: the sender's load on it
    kTenantRate,  // to a tenant's owner: the rate of the tenant's requests at the sender
    kTenantTotal  // the owner's answer: the sum over all nodes
  };
  enum class Ending : std::uint8_t { kSent, kLost, kAnswered };  // of a load update: the attempt's last event
  Kind kind = Kind::kLoadQuery;
  std::uint32_t about = 0;  // a backend's tag, or a tenant's number
  double work = 0;          // in flight there, in mean requests
  double held = 0;          // in flight there, in requests
  double ratio = 0;         // the backend's service time over the fleet's mean; 0 = not given
  Ending ending = Ending::kSent;
  double rate = 0;  // requests a second
};

}  // namespace shorelead
