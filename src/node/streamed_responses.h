// Answers that are passed on while they come: the connections that carry one, and the memory that all share.
// It must never hold more of one than its flow may, nor wait for good for one that stands still.
#pragma once

#include <memory>
#include <unordered_set>

#include "node/backend_connection.h"

namespace shorelead::node {

class Upstream::LongAnswers {
 public:
  LongAnswers(Loop& loop, std::shared_ptr<net::FlowBudget> flows) : loop_(loop), flows_(std::move(flows)) {}

  // The answer that has begun on this connection; false: there is no memory for one more.
  bool begin(Link& link);
  void ended(Link& link) { links_.erase(&link); }
  void sweep();

 private:
  Loop& loop_;
  const std::shared_ptr<net::FlowBudget> flows_;
  std::unordered_set<Link*> links_;
};

}  // namespace shorelead::node
