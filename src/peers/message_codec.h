// Binary encoding of peer messages: at most kMaxPeerMessageBytes bytes, the version in the first one.
// Decoding rejects a message that is malformed, of another version or out of range.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "peers/message.h"

namespace shorelead::peers {

// Version 1, little-endian: byte 0 is version << 4 | kind, bytes 1 to 4 are `about`, then by kind
//   query   nothing
//   reply   work (1/8), held (1/8), ratio
//   update  work (1/8), held, ending (0 sent, 1 lost, 2 answered, 3 up answered with that ratio)
//   rate    requests a second, two bytes
//   total   requests a second, two bytes
// A ratio is encoded as 128 + 16 log2 of it, 3 at the least; 0 stands for none. (1/8): in eighths.
std::string encode(const PeerMessage& message);
std::optional<PeerMessage> decode(std::string_view bytes);

}  // namespace shorelead::peers
