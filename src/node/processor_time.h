// The processor time that this process has used, for the log of its start.
#pragma once

#include "base/millis.h"

namespace shorelead::node {

// Called once, when the process begins its work.
void begin_processor_time();

// In milliseconds since begin_processor_time(); 0 if the system does not tell. The system's own count
// outlives execve(), so it would include what the program that started this one had used.
Millis processor_time();

}  // namespace shorelead::node
