// The world round the nodes, on loopback sockets: boxes with their links and ledgers, and discovery. All of
// it runs on one io_context, in one thread. It owns the boxes' sockets and the ledger; it must never speak
// first, and never look at what a client was told.
//
// Every box has a listener of its own for each node, so that it is known who sent what, and a link can be
// hurt by itself. A link that passes nothing (black hole) is played by reading and writing nothing and by
// filling the listener's queue, so that new connections do not come up; when it ends its old connections are
// reset. A box that dies resets its connections and closes its listeners.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/clock.h"
#include "lab/experiment.h"
#include "lab/list_source.h"
#include "lab/records.h"

namespace shorelead::lab {

class Box;

// What a box's machine shares with the others': the experiment, the ledger and the store of keys.
struct World {
  boost::asio::io_context& context;
  const Experiment& experiment;
  std::vector<Arrived> ledger;
  std::vector<Fallen> fallen;
  std::vector<Mark> marks;
  std::uint64_t bad_requests = 0;
  std::uint64_t probes = 0;
  std::uint64_t connections = 0;
  Lateness lateness;
  Draw works;
  Draw faults;
  // When a key first ran, by group.
  std::map<std::string, Millis> keys;

  World(boost::asio::io_context& context, const Experiment& experiment);
  void mark(const std::string& text);
  // The name under which boxes share keys of this class.
  std::string key_group(const ClassRules& rules, const BoxNote& box, const std::string& key) const;
};

class StandIns {
 public:
  StandIns(boost::asio::io_context& context, const Experiment& experiment);
  ~StandIns();

  // Where node `node` finds discovery, and the list as it would have had it, in discovery's form.
  std::string discovery_dial(int node, int pool) const;
  std::string second_discovery_dial(int node) const;  // of the first pool
  std::string known_list(int node) const;
  std::string box_dial(int box, int node) const;

  // Things done to boxes, links and discovery; others are passed over.
  void act(const Action& action);
  // Moves what was written down into the run's record.
  void collect(Run& run);
  std::size_t requests() const { return world_.ledger.size(); }

 private:
  struct Slot {  // a place for a box: the one there now, and the ports of its links
    std::shared_ptr<Box> box;
    std::vector<unsigned short> ports;
  };

  std::vector<int> chosen(const Action& action);
  void publish(int box, BoxState state);
  void put(int slot, bool cold, bool same_address);
  void kill(int slot);
  void come_back(int slot, const Action& action, Millis after);
  void unlist(int slot, Millis back);
  void hurt_links(const std::vector<int>& slots, const Action& action);
  void drain(int slot, const Action& action);
  void deploy_batch(std::shared_ptr<std::vector<int>> left, const Action& action);
  void befall_discovery(const Action& action);
  void stall(const std::vector<int>& slots, const Action& action, Millis until);
  void later(Millis wait, std::function<void()> task);

  World world_;
  Draw choices_;
  std::vector<Slot> slots_;
  std::vector<BoxNote> notes_;
  std::vector<int> slot_of_;  // by number of the box
  std::vector<Changed> changed_;
  std::vector<std::unique_ptr<ListSource>> registries_;  // by pool
  int born_ = 0;                                         // boxes so far
};

}  // namespace shorelead::lab
