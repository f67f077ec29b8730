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
  struct Place {
    std::string folder;
    std::optional<handover::InheritedState> inherited;

    std::string socket() const { return folder + "/shorelead.sock"; }
    std::string bans() const { return folder + "/shorelead.bans"; }
  };
  struct Host {
    std::function<bool()> could_serve;
    std::function<void(bool)> hold;     // whether clients are left to the other process
    std::function<int()> listener;      // the socket, for the next one
    std::function<std::string()> list;  // and the list
    std::function<bool()> leaving;      // this process is about to end
    std::function<void()> two_or_one;   // so many run now: each has its part of what the node may hold
    std::function<void()> came;         // the next one has
    std::function<void()> replaced;     // and takes clients
    std::function<bool()> resume;       // it has ended: whether this one may take them again
    // What one process of the node alone may have, a fleet's reserve: this one gives it up, and says how long
    // what was begun with it lasts; or has it, the other's being over after `before`.
    std::function<Millis()> give_reserve;
    std::function<void(Millis before)> take_reserve;
  };

  HotRestart(Loop& loop, Place place, Host host);
  ~HotRestart();
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  void begin();
  bool alone() const { return place_.folder.empty(); }
  const Place& place() const { return place_; }
  bool replaced() const { return replaced_; }              // another process of the node serves
  bool beside() const { return predecessor_ != nullptr; }  // it began beside another one
  // Two processes are one node: each keeps to half of what it may hold.
  bool two_run() const;

 private:
  void look_if_it_could_serve();
  void wait_for_successor();
  void successor_serves();
  void successor_gone();

  Loop& loop_;
  const Place place_;
  const Host host_;
  std::unique_ptr<handover::Successor> predecessor_;   // the process before this one
  std::unique_ptr<handover::Predecessor> successors_;  // where the next one comes
  bool replaced_ = false;
  Loop::TimerId look_ = 0;
};

}  // namespace shorelead::node
