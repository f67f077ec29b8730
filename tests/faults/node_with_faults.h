// A node whose thread has the faults injected that a test names.
#pragma once

#include "faults/fault_plan.h"
#include "node_case.h"

namespace shorelead::node {

struct NodeWithFaults : Node {
  NodeWithFaults() {
    run_loop = [this] {
      const faults::InjectInThisThread strike;
      loop->run();
    };
  }
  ~NodeWithFaults() {
    stop();
    faults::clear();
  }
};

}  // namespace shorelead::node
