// What an owner knows of one backend or tenant from the messages of all nodes: adds up what they report and
// drops what no longer holds.
#pragma once

#include <vector>

#include "base/millis.h"
#include "peers/message.h"

namespace shorelead::peers {

class BackendLedger {
 public:
  // Takes in a load update of `peer`. An ending other than the three known ones counts as kSent.
  void update(int peer, const PeerMessage& message, Millis now);
  // The load that all nodes but `asker` have there. The asker may send an attempt within `window`; until then
  // it counts towards the load with the share of queries that have been followed by an attempt.
  PeerMessage load_for(int asker, Millis window, Millis now);

 private:
  struct Entry {
    int peer = 0;
    double work = 0;
    double held = 0;
    Millis at = 0;
    Millis reserved_until = 0;  // it queried the load and may send until then
    double lost_after = 0;      // once so many answers have come, its requests are taken to be lost
  };
  void drop_outdated(Millis now);

  std::vector<Entry> entries_;
  double answers_ = 0;       // reported by all nodes
  double send_share_ = 0.2;  // share of queries followed by an attempt
  double ratio_ = 0;         // 0 = not reported yet
};

class RateLedger {
 public:
  void update(int peer, double rate, Millis now);
  double total() const { return total_; }

 private:
  struct Entry {
    int peer = 0;
    double rate = 0;
    Millis at = 0;
  };
  std::vector<Entry> entries_;
  double total_ = 0;
};

}  // namespace shorelead::peers
