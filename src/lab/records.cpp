#include "lab/records.h"

namespace shorelead::lab {

const char* name_of(ClientEnd end) {
  switch (end) {
    case ClientEnd::kAnswered:
      return "answered";
    case ClientEnd::kCut:
      return "cut";
    case ClientEnd::kReset:
      return "reset";
    case ClientEnd::kSilent:
      return "silent";
    case ClientEnd::kNoConnection:
      return "no_connection";
    case ClientEnd::kLeft:
      return "left";
  }
  return "?";
}

const char* name_of(BoxEnd end) {
  switch (end) {
    case BoxEnd::kOpen:
      return "open";
    case BoxEnd::kServed:
      return "served";
    case BoxEnd::kErred:
      return "erred";
    case BoxEnd::kRejected:
      return "turned_away";
    case BoxEnd::kSpoilt:
      return "spoilt";
    case BoxEnd::kDropped:
      return "dropped";
    case BoxEnd::kSwallowed:
      return "swallowed";
  }
  return "?";
}

const char* name_of(BoxState state) {
  switch (state) {
    case BoxState::kReady:
      return "ready";
    case BoxState::kDraining:
      return "draining";
    case BoxState::kGone:
      return "gone";
  }
  return "?";
}

const char* name_of(NodeDid what) {
  switch (what) {
    case NodeDid::kStarted:
      return "started";
    case NodeDid::kReady:
      return "ready";
    case NodeDid::kTerminated:
      return "terminated";
    case NodeDid::kKilled:
      return "killed";
    case NodeDid::kReloaded:
      return "reloaded";
    case NodeDid::kExited:
      return "exited";
    case NodeDid::kPaused:
      return "paused";
    case NodeDid::kEnded:
      return "killed at its end";
    case NodeDid::kWentOn:
      return "went on";
  }
  return "?";
}

}  // namespace shorelead::lab
