// One node: the front and the pools wired together, its counters, its reloads, its start and its end. It owns
// the parts and the order in which they are told of each other. It must never parse, never decide, never
// leave without having answered what it had taken, and never let a reload touch what is under way.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "handover/handover.h"
#include "manage/calls.h"
#include "manage/drain.h"
#include "node/ban_keeper.h"
#include "node/config.h"
#include "node/descriptor_room.h"
#include "node/desk.h"
#include "node/door.h"
#include "node/fleet_gates.h"
#include "node/front.h"
#include "node/net.h"
#include "node/pool.h"
#include "node/traffic.h"

namespace shorelead::node {

class Server {
 public:
  struct Waits {
    Millis accept_on = 600;  // after SIGTERM: clients go on coming for up to 0.4 s
    // At the start, for the list of now, where one of earlier is known.
    Millis list = 500;
    // The same where lists are pushed: what is there counts as told from the first moment. A start has 30 s.
    Millis pushed_list = 20000;
  };

  // What this process shares with others of its node, one after the other: a folder, and what the one before
  // handed over. Without a folder it is alone.
  struct Place {
    std::string folder;
    std::optional<handover::Legacy> legacy;

    std::string socket() const { return folder + "/shorelead.sock"; }
    std::string bans() const { return folder + "/shorelead.bans"; }
  };

  Server(Loop& loop, const Config& config) : Server(loop, config, Waits()) {}
  Server(Loop& loop, const Config& config, const Waits& waits) : Server(loop, config, waits, Place()) {}
  Server(Loop& loop, const Config& config, const Waits& waits, const Place& place);
  ~Server();

  void shut_down();  // as on SIGTERM
  // As on SIGHUP: what `read` brings counts from now on. Where it throws, or lacks a key that the file in
  // force has, all stays as it was. Of the platform's JSON discovery, the number of descriptors, settings and
  // routes count without a new start, and its pool goes on; of a .shore file, classes, routes and pools:
  // pools that are told as before go on with what they have learnt, new ones are waited for a little, and
  // those no longer named end once nothing is with them.
  void reload(const std::function<Config()>& read);
  std::string call(const manage::Call& call);  // an operator's; the answer, whole
  void log_counters() const;
  unsigned short port() const { return front_->port(); }
  unsigned short door_port() const { return door_ ? door_->port() : 0; }
  const FrontCounters& counters() const { return front_->counters(); }
  const manage::Ledger& ledger() const { return front_->ledger(); }
  std::uint64_t generation() const { return traffic_->number; }
  std::size_t pools() const { return pools_.size(); }

 private:
  // A generation that waits for the lists of its new pools before requests go by it.
  struct Pending {
    std::shared_ptr<Traffic> traffic;
    std::vector<PoolConfig> told;  // by pool: what it is to follow once the generation is in force
    Millis until = 0;
  };

  std::shared_ptr<Pool> make_pool(const PoolConfig& config, const Config& whole);
  Pending make_traffic(const Config& config);
  void put_in_force();  // what is pending, if it is time
  void sweep_pools();
  bool ready() const;
  bool could_serve() const;
  bool two_run() const;
  void look_if_it_could_serve();
  void wait_for_successor();
  void successor_serves();
  void successor_gone();
  void trim();
  int most_streams() const;
  std::size_t flow_bytes() const;
  std::size_t open_requests() const;
  void leave_when_empty(Millis until);
  void let_go();  // as the drain's state says, now and when it changes
  std::string figures() const;

  Loop& loop_;
  const Config& config_;  // as at the start
  Limits limits_;
  Shape shape_;  // of the file in force
  const Place place_;
  const Waits waits_;
  std::vector<std::shared_ptr<Pool>>
      pools_;                               // all that live: in force, pending, or left with something to do
  std::shared_ptr<const Traffic> traffic_;  // in force
  std::optional<Pending> pending_;
  std::shared_ptr<net::FlowBudget> flows_;  // memory for bodies that are not kept whole
  DescriptorRoom room_;
  Desk desk_;
  FleetGates gates_;
  std::unique_ptr<Front> front_;
  std::unique_ptr<BanKeeper> bans_;
  std::unique_ptr<handover::Successor> predecessor_;   // the process before this one
  std::unique_ptr<handover::Predecessor> successors_;  // where the next one comes
  bool replaced_ = false;                              // it came, and takes clients
  Loop::TimerId look_serving_ = 0;
  std::unique_ptr<Door> door_;  // only where the configuration names one
  manage::Drain drain_;
  Loop::TimerId drain_at_ = 0;
  Loop::TimerId look_ = 0;
  Loop::TimerId sweep_ = 0;
  Millis started_ = 0;
  // counters
  std::uint64_t reloads_ = 0;
  std::uint64_t bad_reloads_ = 0;
  std::uint64_t written_by_ended_ = 0;  // attempts of pools that have ended
};

}  // namespace shorelead::node
