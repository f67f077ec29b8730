#include "node/processor_time.h"

#include <ctime>

namespace shorelead::node {
namespace {

Millis begun_at = 0;

Millis counted() {
  timespec used{};
  if (::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0) return 0;
  return static_cast<Millis>(used.tv_sec) * 1000 + static_cast<Millis>(used.tv_nsec) / 1e6;
}

}  // namespace

void begin_processor_time() { begun_at = counted(); }

Millis processor_time() { return counted() - begun_at; }

}  // namespace shorelead::node
