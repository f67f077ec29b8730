// Hot restart: a new process of a node takes over the listening socket and the list of backends from the
// running one. Owns the connections to the predecessor and to a successor, and decides which process accepts
// clients. At any time at least one of them does.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "handover/handover.h"
#include "node/net.h"

namespace shorelead::node {

class HotRestart {
 public:
  // What a process shares with others of its node: a directory, and the state inherited from the
  // predecessor. Without a directory there is no hot restart.
  struct RestartContext {
    std::string directory;
    std::optional<handover::InheritedState> inherited;

    std::string socket_path() const { return directory + "/shorelead.sock"; }
    std::string ban_file_path() const { return directory + "/shorelead.bans"; }
  };
  struct Host {
    std::function<bool()> can_serve;
    std::function<void(bool)> hold_clients;          // true: the other process accepts clients
    std::function<int()> listener;                   // the listening socket, for the successor
    std::function<std::string()> list;               // the list of backends, for the successor
    std::function<bool()> shutting_down;             // whether this process is ending
    std::function<void()> on_process_count_changed;  // each process has its part of the node's limits
    std::function<void()> on_successor_connected;    // has the listening socket
    std::function<void()> on_replaced;               // the successor accepts clients
    std::function<bool()> resume;                    // the successor ended; whether this one may serve again
    // Only one process of the node may use the fleet's reserve. give_reserve() gives it up and returns how
    // long requests sent with it may still run; take_reserve() takes it, while those of the other process
    // run for `before` at most.
    std::function<Millis()> give_reserve;
    std::function<void(Millis before)> take_reserve;
  };

  HotRestart(Loop& loop, RestartContext context, Host host);
  ~HotRestart();
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  void begin();
  bool standalone() const { return context_.directory.empty(); }
  const RestartContext& context() const { return context_; }
  bool is_replaced() const { return replaced_; }  // another process of the node serves
  bool started_with_predecessor() const { return handover_client_ != nullptr; }
  // While two processes run, each keeps to half of the node's limits.
  bool two_processes_run() const;

 private:
  void check_can_serve();
  void wait_for_successor();
  void successor_serves();
  void successor_gone();

  Loop& loop_;
  const RestartContext context_;
  const Host host_;
  std::unique_ptr<handover::HandoverClient> handover_client_;  // connection to the predecessor
  std::unique_ptr<handover::HandoverServer> handover_server_;  // listens for a successor
  bool replaced_ = false;
  Loop::TimerId check_timer_ = 0;
};

}  // namespace shorelead::node
