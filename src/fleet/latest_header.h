// The latest that a client of the store has heard of it, and what is to be believed of the next answer's
// header. Pure. etcd answers transactions, ranges and grants with a revision of the whole store, but
// keepalives and watches with that of the member asked, which may lag: of those only the cluster counts, and
// a revision above all heard before. It must never make a member that lags look like a lost history.
#pragma once

#include <algorithm>

#include "base/millis.h"
#include "fleet/history.h"

namespace shorelead::fleet {

class LatestHeader {
 public:
  struct Believed {
    Header header;
    bool lost = false;  // another history stands from now on
  };
  // `whole`: the revision is the whole store's. `begun`: when the call was begun that this answers.
  Believed hear(const Header& header, Millis begun, bool whole, Millis now) {
    const bool other = latest_.cluster != 0 && header.cluster != latest_.cluster;
    // An answer to what was asked before the last cluster was heard is of the one before it.
    if (other && begun < heard_) return {header, false};
    const bool behind = whole && begun >= heard_ && header.revision < latest_.revision;
    if (other || behind || header.revision > latest_.revision) {
      latest_ = header;
      heard_ = now;
    }
    return {whole ? header : Header{header.cluster, std::max(header.revision, latest_.revision)},
            other || behind};
  }
  bool any() const { return latest_.cluster != 0; }
  const Header& get() const { return latest_; }

 private:
  Header latest_;
  Millis heard_ = 0;
};

}  // namespace shorelead::fleet
