// Runs a function right after a clock is read and before the value is used, as if the process was suspended
// there and missed what happened meanwhile.
#pragma once

#include <functional>

namespace shorelead::faults {

// Runs `then` once, on the reading thread, after the `nth` reading from now by a thread with fault injection.
void at_clock_reading(int nth, std::function<void()> then);
void clock_was_read();  // called by the replacement of clock_gettime()

}  // namespace shorelead::faults
