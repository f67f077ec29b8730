// The store of keys that nodes share, a stand-in that speaks etcd v3's JSON gateway, and each node's own way
// there. Owns both and what is done to them; it must never write into the store, and what it reads there says
// only when to act.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/draw.h"
#include "lab/etcd_server.h"
#include "lab/experiment.h"
#include "lab/records.h"
#include "lab/relay.h"

namespace shorelead::lab {

class SharedStore {
 public:
  SharedStore(boost::asio::io_context& context, const Experiment& experiment);

  std::string dial(int node) const;  // all members, with blanks between, by this node's own ways
  // The node that holds the planner's key, where the plan holds what the regular expression says (empty: at
  // any time); -1 = none.
  int planner(const std::string& holds);
  // Things done to the store and the ways to it; others are passed over.
  void act(const Action& action);
  void collect(Run& run);

 private:
  std::string value(const std::string& name);
  void cut(const Action& action);
  void trouble(const Action& action);
  void for_ways(const Action& action, const std::function<void(Relay&)>& task);
  void later(Millis wait, std::function<void()> task);
  void mark(const std::string& text);

  boost::asio::io_context& context_;
  const StoreSpec spec_;
  Draw faults_;
  EtcdServer server_;
  std::vector<std::vector<std::unique_ptr<Relay>>> ways_;  // by node, to each member
  std::vector<Mark> marks_;
  std::string looked_at_;  // the plan's text, what was looked for, and whether it holds that
  std::string looked_for_;
  bool held_ = false;
};

}  // namespace shorelead::lab
