// Descriptors that clients and all pools share: who may have one, and who gives way. Owns the counting over
// the pools; what is to be done it asks of limits/. It must never close what is in use.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "limits/descriptors.h"
#include "node/front.h"
#include "node/pool.h"

namespace shorelead::node {

// What this process may open: as stated, or what the system allows it now where that is less. It reads that
// limit and never raises it.
int allowed_descriptors(int stated);

class DescriptorRoom {
 public:
  // `most`: descriptors for clients and backends now. `pools` are the node's, as they come and go.
  DescriptorRoom(const std::vector<std::shared_ptr<Pool>>& pools, std::function<int()> most)
      : pools_(pools), most_(std::move(most)) {}

  limits::Descriptors rules() const { return limits::Descriptors(most_()); }
  limits::DescriptorCounts counts() const;
  bool keep(limits::Purpose purpose) const { return rules().keep(purpose, counts()); }
  // Frees a descriptor where that is to be; whether there is one.
  bool make(limits::Purpose purpose, Front& front);
  bool evict_of_pools();  // the connection that was unused for longest, whoever's it is
  int most_seen() const { return most_seen_; }

 private:
  const std::vector<std::shared_ptr<Pool>>& pools_;
  const std::function<int()> most_;
  int most_seen_ = 0;
};

}  // namespace shorelead::node
