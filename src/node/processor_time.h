// The processor time that this process has used, for the log of its start.
#pragma once

#include <ctime>

#include "base/millis.h"

namespace shorelead::node {

// In milliseconds since the program began to run, the loader's included; 0 if the system does not tell.
inline Millis processor_time() {
  timespec used{};
  if (::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0) return 0;
  return static_cast<Millis>(used.tv_sec) * 1000 + static_cast<Millis>(used.tv_nsec) / 1e6;
}

}  // namespace shorelead::node
