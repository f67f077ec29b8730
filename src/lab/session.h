// One run from start to end: stand-ins in one thread, clients in another, nodes as processes; the timeline
// carried out, everything written down put together. It owns the threads and the scratch folder's use; it
// must never judge.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/experiment.h"
#include "lab/records.h"

namespace shorelead::lab {

struct PlayOptions {
  std::vector<std::string> node_command;             // the program under test and its first arguments
  std::string folder;                                // for configurations and logs; must exist
  std::function<void(const std::string&)> progress;  // a line about every second; may be empty
  Millis ready_within = 15000;
  bool spin = false;  // threads never sleep: exact to microseconds, at the price of a core each
};

// Throws std::runtime_error where the run could not be begun (a node that does not start) or a node ended by
// itself before the load did.
Run play(const Experiment& experiment, const PlayOptions& options);

// Only the stand-ins, until `stop` is readable; prints what a node needs to be told.
void play_fleet(const Experiment& experiment, const std::string& folder, int stop_fd, bool spin,
                std::ostream& out);

// Only the clients, against addresses of somebody else.
Run play_load(const Experiment& experiment, const std::vector<std::string>& addresses,
              const PlayOptions& options);

}  // namespace shorelead::lab
