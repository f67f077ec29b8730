#include "node/process_memory.h"

#include <fstream>
#include <limits>
#include <string>

namespace shorelead::node {
namespace {

constexpr double kKilobytesPerMb = 1024;

}  // namespace

std::optional<ProcessMemory> process_memory() {
  ProcessMemory memory;
  std::ifstream status("/proc/self/status");
  for (std::string name; status >> name;) {
    double kilobytes = 0;
    if (name == "VmHWM:" && status >> kilobytes) memory.peak_mb = kilobytes / kKilobytesPerMb;
    if (name == "VmRSS:" && status >> kilobytes) memory.resident_mb = kilobytes / kKilobytesPerMb;
    status.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
  }
  if (memory.peak_mb <= 0 || memory.resident_mb <= 0) return std::nullopt;
  return memory;
}

}  // namespace shorelead::node
