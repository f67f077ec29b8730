#include "node/outcome.h"

#include "node/net.h"

namespace shorelead::node {

Outcome outcome_of(Ending ending) {
  switch (ending) {
    case Ending::kServed:
      return Outcome::kServed;
    case Ending::kErred:
      return Outcome::kError;
    case Ending::kRejected:
      return Outcome::kRejected;
    // The request's last byte was never written: the backend cannot have begun it.
    case Ending::kRefused:
    case Ending::kConnectTimeout:
    case Ending::kBrokenUnsent:
    case Ending::kStoppedUnsent:
      return Outcome::kNoConnection;
    case Ending::kTimeout:
    case Ending::kSilent:
      return Outcome::kNoAnswer;
    case Ending::kCancelled:
    case Ending::kEvicted:
      return Outcome::kCancelled;
    // Not written either, but for a reason of this node's own: it says nothing about the backend.
    case Ending::kNoDescriptor:
    case Ending::kLocalFailure:
    case Ending::kNotSent:
      return Outcome::kNotSent;
    // The request was written before the connection ended: it may have run.
    case Ending::kBroken:
    case Ending::kMalformed:
    case Ending::kPeerClosed:
    case Ending::kIdle:
    case Ending::kDone:
    case Ending::kWithdrawn:
    case Ending::kUnasked:
      return Outcome::kConnectionLost;
  }
  return Outcome::kConnectionLost;
}

BackendState state_of(const std::string& health) {
  if (health == "ready") return BackendState::kReady;
  if (health == "draining") return BackendState::kDraining;
  // Also any unknown health, so that nothing new is sent there.
  return BackendState::kGone;
}

}  // namespace shorelead::node
