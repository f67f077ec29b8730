// The nodes under test as processes: their configuration, start, signals, end, memory and descriptors, and
// the front that takes a node in once it says it is ready and notices only after a while that it has died.
// Owns the processes that it started, and ends them; it must never touch another process.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/clock.h"
#include "lab/experiment.h"
#include "lab/records.h"

namespace shorelead::lab {

// What clients know of the nodes. Written by one thread, read by another.
struct Front {
  explicit Front(int nodes) : taken_in(static_cast<std::size_t>(nodes)) {}
  std::vector<std::atomic<bool>> taken_in;
  std::vector<std::string> addresses;  // "a.b.c.d:port", fixed before anyone reads
};

// The node's configuration, in the platform's form.
std::string node_configuration(const Experiment& experiment, int node, const std::string& listen,
                               const std::string& discovery, const std::string& known);

// The same as the n-th of the experiment's .shore texts; `discovery` says where a pool's list is.
std::string node_shore(const Experiment& experiment, int node, const std::string& listen,
                       const std::function<std::string(int)>& discovery, std::size_t n);

class Nodes {
 public:
  // `command` is what starts a node: the program and its first arguments; the rest comes by NODE_* variables.
  Nodes(boost::asio::io_context& context, const Experiment& experiment, std::vector<std::string> command,
        std::string folder, std::function<std::string(int, int)> discovery,
        std::function<std::string(int)> known, Front& front);
  ~Nodes();  // ends what still runs

  void start_all();
  bool all_ready() const;
  std::string failure() const { return failure_; }  // why a node did not start; empty = none failed
  void act(const Action& action);
  // Asks all to end in good order, and kills what has not by then. Calls back when none is left.
  void stop_all(std::function<void()> done);
  void collect(Run& run);
  const std::vector<Mark>& marks() const { return marks_; }

 private:
  struct Node {
    pid_t pid = 0;
    bool up = false;     // runs, as far as we know
    bool asked = false;  // told to end
    bool ready = false;
    int life = 0;
    Millis started = 0;
    std::size_t texts = 0;  // of its configuration, so far
  };

  void start(int node);
  void configure(int node);
  void reload(int node, Millis every, Millis until);
  void start_when_gone(int node, Millis wait);
  void look(int node, int life);  // for whether it is ready
  void watch();                   // for ends, memory and descriptors
  void ended(int node, int status);
  void later(Millis wait, std::function<void()> task);
  void event(int node, NodeDid what, int code = 0);
  std::string path(int node, const char* suffix) const;
  bool answers_ready(int node) const;

  boost::asio::io_context& context_;
  const Experiment& experiment_;
  const std::vector<std::string> command_;
  const std::string folder_;
  const std::function<std::string(int, int)> discovery_;
  const std::function<std::string(int)> known_;
  Front& front_;
  std::vector<Node> nodes_;
  std::vector<NodeEvent> events_;
  std::vector<NodeSample> samples_;
  std::vector<Mark> marks_;
  std::string failure_;
  std::function<void()> stopped_;
  bool stopping_ = false;
  int round_ = 0;
  Alarm watch_;
};

}  // namespace shorelead::lab
