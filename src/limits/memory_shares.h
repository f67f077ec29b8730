// How the memory limit of a node is divided: what a process holds beside its buffers comes first, and
// clients' connections and streamed bodies share what is left of the part that a process may use.
#pragma once

#include <cstddef>

namespace shorelead::limits {

struct MemoryUse {
  double limit_mb = 0;       // of the node
  int processes = 1;         // of the node, that share the limit: two during a hot restart
  bool restartable = false;  // a second process may come, which needs room for itself
  double start_mb = 0;       // resident when this process began to listen
  double beside_mb = 0;      // what this process holds now beside what is counted in buffers
};

struct MemoryShares {
  std::size_t clients = 0;  // bytes that clients' connections may hold
  std::size_t streams = 0;  // bytes that streamed bodies and unfinished responses may hold
};

MemoryShares memory_shares(const MemoryUse& use);

}  // namespace shorelead::limits
