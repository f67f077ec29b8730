// Binary encoding of peer messages: at most kMaxPeerMessageBytes bytes, the version in the first one.
// Decoding rejects a message that is malformed, of another version or out of range.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "peers/message.h"

namespace shorelead::peers {

// Version 1, little-endian: byte 0 is version << 4 | kind, bytes 1 to 4 are `about`, then by kind
//   load query    nothing
//   load reply    work (in eighths), held (in eighths), ratio
//   load update   work (in eighths), held, ending (0 sent, 1 lost, 2 answered, from 3 up answered with that
//                 ratio)
//   tenant rate   requests a second, two bytes
//   tenant total  requests a second, two bytes
// A ratio is encoded as 128 + 16 log2(ratio), at least 3; 0 means that none is given.
std::string encode(const PeerMessage& message);
std::optional<PeerMessage> decode(std::string_view bytes);

}  // namespace shorelead::peers
