// One process that the lab started: its start, signals, end, memory, descriptors and CPU. Owns the process;
// it must never touch another, and never leave one behind.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "base/millis.h"

namespace shorelead::lab {

class Process {
 public:
  Process() = default;
  ~Process() { kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process(Process&& other) noexcept : pid_(other.pid_) { other.pid_ = 0; }

  // Its output goes to the end of `log`. Empty = started; otherwise why not.
  std::string start(const std::vector<std::string>& command, std::vector<std::string> environment,
                    const std::string& log);
  bool up() const { return pid_ > 0; }  // runs, as far as we know
  void signal(int number) const;
  // Its exit status, or 128 + the signal, once it has ended; says so once.
  std::optional<int> ended();
  int kill();  // at once, and waits for the end; the code as above, 0 where none runs

  double memory_kb() const;
  int descriptors() const;
  Millis cpu() const;

 private:
  pid_t pid_ = 0;
};

// Of this process, without those that begin so.
std::vector<std::string> environment_without(const char* prefix);

}  // namespace shorelead::lab
