// The form in which nodes tell one another what the decision module has to say: at most kMostPeerBytes bytes,
// a version in the first of them. It owns reading and writing that form. It must never guess: what is
// malformed, of another version or out of range is no message.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "peers/message.h"

namespace shorelead::peers {

// Form 1, little-endian: byte 0 is version << 4 | kind, bytes 1 to 4 what it is about, then by kind
//   ask     nothing
//   answer  work (1/8), held (1/8), ratio
//   tell    work (1/8), held, ending (0 sent, 1 lost, 2 answered, 3 up answered with that ratio)
//   rate    requests a second, two bytes
//   total   requests a second, two bytes
// A ratio is 128 + 16 log2 of it, 3 at the least; 0 stands for none.
std::string encode(const PeerMessage& message);
std::optional<PeerMessage> decode(std::string_view bytes);

}  // namespace shorelead::peers
