// What this process holds in memory, as the system counts it.
#pragma once

#include <optional>

namespace shorelead::node {

struct ProcessMemory {
  double resident_mb = 0;  // now
  double peak_mb = 0;      // the most that was resident since the program began to run
};

// Reads /proc/self/status; nothing if the system does not tell, as for want of a descriptor. The peak of
// getrusage() would include that of the program which started this one, as it outlives execve().
std::optional<ProcessMemory> process_memory();

}  // namespace shorelead::node
