// What the keeper of a backend, or of a tenant, was told of it by all nodes. It owns adding that up and
// knowing what of it no longer holds. It must never choose a backend or turn a request away: that is the
// module's.
#pragma once

#include <vector>

#include "base/millis.h"
#include "peers/message.h"

namespace shorelead::peers {

class BackendLedger {
 public:
  // Word of `peer` after it sent there or an attempt ended. `ending` none of the three is kSent.
  void tell(int peer, const PeerMessage& message, Millis now);
  // What all but the asker have out there. Who asks may send: within `window` that counts as often as those
  // who ask do send.
  PeerMessage known(int asker, Millis window, Millis now);

 private:
  struct Entry {
    int peer = 0;
    double work = 0;
    double held = 0;
    Millis at = 0;
    Millis promised = 0;   // it asked, and may send till then
    double overtaken = 0;  // once so many answers came, its requests should have had theirs: they are lost
  };
  void drop(Millis now);

  std::vector<Entry> entries_;
  double answers_ = 0;  // that all told of
  double taken_ = 0.2;  // share of asks followed by a send
  double ratio_ = 0;    // 0 = nobody told yet
};

class RateLedger {
 public:
  void tell(int peer, double rate, Millis now);
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
