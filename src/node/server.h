// One node: the front and the pools wired together, its counters, its reloads, its start and its end. It owns
// the parts and the order in which they are told of each other. It must never parse, never decide, never
// leave without having answered what it had taken, and never let a reload touch what is under way.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "manage/calls.h"
#include "node/admin_server.h"
#include "node/ban_list.h"
#include "node/config.h"
#include "node/config_reloader.h"
#include "node/descriptor_room.h"
#include "node/front.h"
#include "node/generations.h"
#include "node/graceful_shutdown.h"
#include "node/hot_restart.h"
#include "node/net.h"
#include "node/readiness.h"
#include "node/recorder.h"
#include "node/request_table.h"

namespace shorelead::node {

class Server {
 public:
  struct Waits {
    Millis accept_on = 600;  // after SIGTERM: clients go on coming for up to 0.4 s
    Millis deadline =
        3000;  // and the kill comes so long after it at most, and 0.7 s, whatever the classes say
    Millis list = Readiness::Waits().list;
    Millis pushed_list = Readiness::Waits().pushed_list;
  };

  using Place = HotRestart::Place;

  Server(Loop& loop, const Config& config) : Server(loop, config, Waits()) {}
  Server(Loop& loop, const Config& config, const Waits& waits) : Server(loop, config, waits, Place()) {}
  Server(Loop& loop, const Config& config, const Waits& waits, const Place& place);

  // The last step of a start: clients can connect from now on. Throws std::system_error where that is not to
  // be had now; it may be tried again.
  void open() { front_->open(); }
  void shut_down();  // as on SIGTERM
  // As on SIGHUP: what `read` brings counts from now on. Where it throws, or lacks a key that the file in
  // force has, all stays as it was. Of the platform's JSON discovery, the number of descriptors, settings and
  // routes count without a new start, and its pool goes on; of a .shore file, classes, routes and pools:
  // pools that are told as before go on with what they have learnt, new ones are waited for a little, and
  // those no longer named end once nothing is with them.
  void reload(const ConfigReloader::Read& read) { reloader_.reload(read); }
  std::string call(const manage::Call& call);  // an operator's; the answer, whole
  void log_counters() const;
  unsigned short port() const { return front_->port(); }
  unsigned short admin_port() const { return admin_server_ ? admin_server_->port() : 0; }
  const FrontCounters& counters() const { return front_->counters(); }
  const manage::RequestCounters& request_counters() const { return front_->request_counters(); }
  std::uint64_t generation() const { return snapshot().number; }
  std::size_t pools() const { return generations_.pools().size(); }
  const Recorder& recorder() const { return recorder_; }

 private:
  std::shared_ptr<Pool> make_pool(const PoolConfig& config, const Config& whole);
  const RoutingSnapshot& snapshot() const { return *generations_.snapshot(); }  // in force
  bool ready() const;
  bool could_serve() const;
  void take_up(Config fresh);  // throws where that cannot be; all is as before then
  void trim();
  int most_streams() const;
  std::size_t flow_bytes() const;
  std::size_t open_requests() const;
  std::string metrics() const;

  Loop& loop_;
  Recorder recorder_;
  const Config& config_;  // as at the start
  Limits limits_;
  ConfigKeys keys_in_force_;  // of the running configuration
  const Waits waits_;
  ConfigReloader reloader_;
  std::shared_ptr<net::FlowBudget> flows_;  // memory for bodies that are not kept whole
  FleetAdmissions admissions_;
  Generations generations_;
  DescriptorRoom room_;
  RequestTable request_table_;
  std::unique_ptr<Front> front_;
  std::unique_ptr<BanList> bans_;
  GracefulShutdown shutdown_;
  HotRestart hot_restart_;
  std::unique_ptr<AdminServer> admin_server_;  // only where the configuration names one
  Readiness readiness_;
};

}  // namespace shorelead::node
