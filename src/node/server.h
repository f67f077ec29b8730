// One node of the proxy: owns the front (clients), the pools (backends) and all other parts of the process,
// and wires them together. Start, reload, drain and shutdown of the node go through here. A shutdown answers
// every request that was accepted, and a reload does not affect requests in progress.
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
#include "node/memory_limits.h"
#include "node/net.h"
#include "node/readiness.h"
#include "node/recorder.h"
#include "node/request_table.h"

namespace shorelead::node {

class Server {
 public:
  struct Timeouts {
    Millis accept_on = 600;  // after SIGTERM: new clients may connect for up to 0.4 s
    // Upper bound on the time for requests in progress: SIGKILL follows 0.7 s after it at the latest,
    // whatever deadlines the classes have.
    Millis deadline = 3000;
    Millis list = Readiness::Timeouts().list;
    Millis pushed_list = Readiness::Timeouts().pushed_list;
  };

  using RestartContext = HotRestart::RestartContext;

  Server(Loop& loop, const Config& config) : Server(loop, config, Timeouts()) {}
  Server(Loop& loop, const Config& config, const Timeouts& timeouts)
      : Server(loop, config, timeouts, RestartContext()) {}
  Server(Loop& loop, const Config& config, const Timeouts& timeouts, const RestartContext& context);

  // Last step of a start: begins to listen for clients. Throws std::system_error if that fails; it may be
  // called again.
  void open() { front_->open(); }
  void shut_down();  // as on SIGTERM
  // As on SIGHUP: applies the configuration that `read` returns. If `read` throws, or the new file lacks a
  // key that the current one has, nothing changes. Of the platform's JSON, discovery, the descriptor limit,
  // settings and routes can be reloaded; its pool continues. Of a .shore file, classes, routes and pools can:
  // unchanged pools keep their statistics, new pools get some time to receive a list, and removed ones end
  // when they have no requests left.
  void reload(const ConfigReloader::ReadConfig& read) { reloader_.reload(read); }
  std::string call(const manage::Call& call);  // a call to the admin server; returns the whole response
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
  const RoutingSnapshot& snapshot() const { return *generations_.snapshot(); }  // the current one
  bool ready() const;
  bool can_serve() const;
  void apply(Config fresh);  // throws if it cannot be applied; nothing has changed then
  void trim_connections();
  int processes() const { return hot_restart_.two_processes_run() ? 2 : 1; }  // that share the limits
  int max_streams() const;
  MemoryLimits::Host memory_host();
  MemoryHolders memory_holders() const {
    const net::FlowBudget& streams = *memory_limits_->streams();
    return {.clients = front_->clients(),
            .client_bytes = front_->held_bytes(),
            .open_requests = open_requests(),
            .streamed_bodies = streams.open(),
            .stream_bytes = streams.held(),
            .backend_connections = room_.counts().backends,
            .given_up = front_->counters().gave_up_for_memory};
  }
  std::size_t open_requests() const;
  std::string metrics() const;

  Loop& loop_;
  Recorder recorder_;
  const Config& config_;  // the one of the start
  Limits limits_;
  ConfigKeys keys_in_force_;  // keys of the current configuration file
  const Timeouts timeouts_;
  ConfigReloader reloader_;
  FleetAdmissions admissions_;
  Generations generations_;
  DescriptorRoom room_;
  RequestTable request_table_;
  std::unique_ptr<MemoryLimits> memory_limits_;
  std::unique_ptr<Front> front_;
  std::unique_ptr<BanList> ban_list_;
  GracefulShutdown shutdown_;
  HotRestart hot_restart_;
  std::unique_ptr<AdminServer> admin_server_;  // null unless configured
  Readiness readiness_;
};

}  // namespace shorelead::node
