// The clock of all that has a validity: it goes on while the machine sleeps (CLOCK_BOOTTIME), in ms. Read on
// the traffic's thread and on the control's alike.
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
