// The nodes under test as processes: who is started when, what is done to them, what they took, and the front
// that takes a node in once it says it is ready and notices only after a while that it has died or stands
// still. Owns their lives; it must never touch another process.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/clock.h"
#include "lab/experiment.h"
#include "lab/node_config.h"
#include "lab/process.h"
#include "lab/records.h"

namespace shorelead::lab {

// What clients know of the nodes. Written by one thread, read by another.
struct Front {
  explicit Front(int nodes)
      : taken_in(static_cast<std::size_t>(nodes)),
        starting(static_cast<std::size_t>(nodes)),
        ending(static_cast<std::size_t>(nodes)) {}
  std::vector<std::atomic<bool>> taken_in;
  std::vector<std::atomic<bool>> starting;  // started, and not ready yet
  std::vector<std::atomic<bool>> ending;    // asked to end, and not gone yet
  std::vector<std::string> addresses;       // "a.b.c.d:port", fixed before anyone reads
};

// How nodes find what they need to be told of.
struct NodesWorld {
  std::function<std::string(int node, int pool)> discovery;
  std::function<std::string(int node)> second_discovery;  // the same under another address
  std::function<std::string(int node)> known;             // the list as it would have had it
  std::function<std::string(int node)> store;             // empty = there is none
  // Which node holds the planner's key, where the plan holds this (a regular expression); -1 = none. Only
  // when to act is taken from it, and never a verdict.
  std::function<int(const std::string& holds)> planner;
};

class Nodes {
 public:
  // `command` is what starts a node: the program and its first arguments; the rest comes by NODE_* variables.
  Nodes(boost::asio::io_context& context, const Experiment& experiment, std::vector<std::string> command,
        std::string folder, NodesWorld world, Front& front);

  void start_all();  // but for those that come later
  bool all_ready() const;
  std::string failure() const { return failure_; }  // why a node did not start; empty = none failed
  void act(const Action& action);
  // Asks all to end in good order, and kills what has not by then. Calls back when none is left.
  void stop_all(std::function<void()> done);
  void collect(Run& run);
  const std::vector<Mark>& marks() const { return marks_; }

 private:
  struct Node {
    Process process;
    bool later = false;  // not started yet
    bool asked = false;  // told to end
    bool paused = false;
    bool ready = false;
    int life = 0;
    bool moved = false;     // its file names the second address of discovery
    std::size_t texts = 0;  // of its configuration, so far
  };

  void start(int node);
  void configure(int node);
  std::string discovery(int node) const;  // where its file says that it is
  void reload(int node, const Action& action, Millis until);
  void write_file(int node, const std::string& file);
  void signals(int node, const Action& action, std::size_t next);
  void kill_later(int node, Millis wait);
  void kill(int node, const Action& action);
  void term(int node, const Action& action);
  void pause(int node, const Action& action);
  void go_on(int node);
  void roll(std::vector<int> left, const Action& action);
  void kill_planner(const Action& action, Millis until);
  void start_when_gone(int node, Millis wait);
  // Clients notice after a while, unless it has come back by then.
  void notice(int node, int life);
  void look(int node, int life);  // for whether it is ready
  void watch();                   // for ends, memory and descriptors
  void ended(int node, int status);
  Node& at(int node) { return nodes_[static_cast<std::size_t>(node)]; }
  void later(Millis wait, std::function<void()> task);
  void mark(const std::string& what, int node);
  void event(int node, NodeDid what, int code = 0);
  std::string path(int node, const char* suffix) const;

  boost::asio::io_context& context_;
  const Experiment& experiment_;
  const std::vector<std::string> command_;
  const std::string folder_;
  const NodesWorld world_;
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
