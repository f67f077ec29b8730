// The clock for everything that expires, in ms: it keeps running while the machine is suspended
// (CLOCK_BOOTTIME). Read on the traffic thread and on the control thread.
#pragma once

#include <time.h>

#include "base/millis.h"

namespace shorelead::fleet {

inline Millis boot_now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<Millis>(now.tv_sec) * 1000 + static_cast<Millis>(now.tv_nsec) * 1e-6;
}

}  // namespace shorelead::fleet
