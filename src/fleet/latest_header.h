// The latest header that the client has received, and the effective header of the next answer. No I/O. etcd
// answers transactions, ranges and grants with the revision of the whole store, but keepalives and watches
// with that of the answering member, which may lag. Of those only the cluster id counts, and a revision above
// all received before; so a lagging member does not look like a lost history.
#pragma once

#include <algorithm>

#include "base/millis.h"
#include "fleet/history.h"

namespace shorelead::fleet {

class LatestHeader {
 public:
  struct EffectiveHeader {
    Header header;
    bool lost = false;  // another history is current from now on
  };
  // `whole`: the revision is that of the whole store. `begun`: start of the answered call.
  EffectiveHeader observe(const Header& header, Millis begun, bool whole, Millis now) {
    const bool other = latest_.cluster != 0 && header.cluster != latest_.cluster;
    // An answer to a call from before the current cluster was first seen comes from the previous one.
    if (other && begun < observed_at_) return {header, false};
    const bool behind = whole && begun >= observed_at_ && header.revision < latest_.revision;
    if (other || behind || header.revision > latest_.revision) {
      latest_ = header;
      observed_at_ = now;
    }
    return {whole ? header : Header{header.cluster, std::max(header.revision, latest_.revision)},
            other || behind};
  }
  bool any() const { return latest_.cluster != 0; }
  const Header& get() const { return latest_; }

 private:
  Header latest_;
  Millis observed_at_ = 0;
};

}  // namespace shorelead::fleet
