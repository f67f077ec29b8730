#include "net/ending.h"

namespace shorelead::net {

const char* name_of(Ending ending) {
  switch (ending) {
    case Ending::kServed:
      return "served";
    case Ending::kErred:
      return "erred";
    case Ending::kRejected:
      return "turned_away";
    case Ending::kRefused:
      return "refused";
    case Ending::kConnectTimeout:
      return "connect_timeout";
    case Ending::kNoDescriptor:
      return "no_descriptor";
    case Ending::kLocalFailure:
      return "local_failure";
    case Ending::kBrokenUnsent:
      return "broken_unsent";
    case Ending::kStoppedUnsent:
      return "stopped_unsent";
    case Ending::kBroken:
      return "broken";
    case Ending::kMalformed:
      return "malformed";
    case Ending::kTimeout:
      return "timeout";
    case Ending::kCancelled:
      return "called_off";
    case Ending::kPeerClosed:
      return "peer_closed";
    case Ending::kIdle:
      return "idle";
    case Ending::kEvicted:
      return "evicted";
    case Ending::kSilent:
      return "silent";
    case Ending::kWithdrawn:
      return "withdrawn";
    case Ending::kUnasked:
      return "unasked";
    case Ending::kDone:
      return "done";
    case Ending::kNotSent:
      return "not_sent";
  }
  return "unknown";
}

}  // namespace shorelead::net
