// One process of a node after the other: what it takes over from the one before, and hands to the next. Owns
// the two channels and who of them takes clients; it must never close the door on clients that nobody else
// takes in.
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
  // What a process shares with others of its node: a folder, and what the one before handed over. Without a
  // folder it is alone.
  struct RestartContext {
    std::string directory;
    std::optional<handover::InheritedState> inherited;

    std::string socket_path() const { return directory + "/shorelead.sock"; }
    std::string ban_file_path() const { return directory + "/shorelead.bans"; }
  };
  struct Host {
    std::function<bool()> can_serve;
    std::function<void(bool)> hold_clients;  // whether clients are left to the other process
    std::function<int()> listener;           // the socket, for the next one
    std::function<std::string()> list;       // and the list
    std::function<bool()> shutting_down;     // this process is about to end
    std::function<void()>
        on_process_count_changed;  // so many run now: each has its part of what the node may hold
    std::function<void()> on_successor_connected;  // the next one has
    std::function<void()> on_replaced;             // and takes clients
    std::function<bool()> resume;                  // it has ended: whether this one may take them again
    // What one process of the node alone may have, a fleet's reserve: this one gives it up, and says how long
    // what was begun with it lasts; or has it, the other's being over after `before`.
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
  bool started_with_predecessor() const {
    return handover_client_ != nullptr;
  }  // it began beside another one
  // Two processes are one node: each keeps to half of what it may hold.
  bool two_processes_run() const;

 private:
  void check_can_serve();
  void wait_for_successor();
  void successor_serves();
  void successor_gone();

  Loop& loop_;
  const RestartContext context_;
  const Host host_;
  std::unique_ptr<handover::HandoverClient> handover_client_;  // the process before this one
  std::unique_ptr<handover::HandoverServer> handover_server_;  // where the next one comes
  bool replaced_ = false;
  Loop::TimerId check_timer_ = 0;
};

}  // namespace shorelead::node
