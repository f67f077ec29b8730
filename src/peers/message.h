// What nodes say to one another. Any of it may be lost, late or untrue.
#pragma once

#include <cstddef>
#include <cstdint>

namespace shorelead {

inline constexpr std::size_t kMostPeerBytes = 256;  // a message, in the form of peers/form.h

struct PeerMessage {
  enum class Kind : std::uint8_t {
    kAsk,     // the keeper of a backend: what is known of it?
    kAnswer,  // the keeper's answer
    kTell,    // to the keeper: what the sender has out there, after an attempt was sent or ended
    kRate,    // to the keeper of a tenant: its requests at the sender
    kTotal    // the keeper's answer: at all nodes
  };
  enum class Ending : std::uint8_t { kSent, kLost, kAnswered };  // what came last, as far as it is told
  Kind kind = Kind::kAsk;
  std::uint32_t about = 0;  // a backend's tag, or a tenant's number
  double work = 0;          // out there, in mean requests
  double held = 0;          // out there, in requests
  double ratio = 0;         // its service time over the fleet's; 0 = not told
  Ending ending = Ending::kSent;
  double rate = 0;  // requests a second
};

}  // namespace shorelead
