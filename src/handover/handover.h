// What passes from a process to the one that replaces it: the listening socket, the list, and who serves. It
// owns the Unix socket at which a successor asks, and the connection between the two. It must never block the
// loop, never let a third process in while two run, and never decide what is done about either's coming or
// going.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/loop.h"
#include "net/watch.h"

namespace shorelead::handover {

// What a predecessor gave.
struct InheritedState {
  int listener = -1;  // the clients' listening socket
  int channel = -1;   // the connection to the predecessor, for Successor
  std::string list;   // backends as it last had them, in discovery's form; may be empty
};

// Asks at `path` before there is a loop; waits for `timeout` milliseconds at most. None where nobody is there
// or no whole answer came. Throws std::runtime_error with the reason where a predecessor refuses.
std::optional<InheritedState> request_handover(const std::string& path, Millis timeout);

// The old process's side.
class HandoverServer : public net::Watch::Handler {
 public:
  struct Listener {
    std::function<int()> listener;           // the clients' listening socket; -1 = none to give
    std::function<std::string()> list;       // to be handed over
    std::function<std::string()> refusal;    // why none is let in now; empty = let in
    std::function<void()> successor_came;    // and has its inherited state
    std::function<void()> successor_serves;  // from now on
    std::function<void()> successor_gone;
  };

  // Takes the place at `path` from whoever had it. Throws std::system_error.
  HandoverServer(net::Loop& loop, std::string path, Listener listener);
  ~HandoverServer() override;

  bool has_successor() const { return successor_ != nullptr; }
  // To the successor: what only one of the two may have (a fleet's reserve) is its from now on; what was
  // begun with it here is over after `remaining`. One of an earlier version does not listen.
  void transfer_reserve(Millis remaining);

 private:
  class SuccessorConnection;

  void on_readable() override;
  void pause_accepting();
  void on_successor_lost(SuccessorConnection& connection);

  net::Loop& loop_;
  const std::string path_;
  Listener listener_;
  std::unique_ptr<net::Descriptor> socket_;
  std::unique_ptr<net::Watch> watch_;
  net::Loop::TimerId accept_timer_ = 0;  // accepting, which was put off
  std::shared_ptr<SuccessorConnection> successor_;
};

// The new process's side, for as long as the old one lives.
class HandoverClient : public net::Watch::Handler {
 public:
  // What only one of the two may have is this one's: the predecessor says so, once, with how long what it
  // began with it lasts still; or it has ended, and said so or not.
  using ReserveTransferred = std::function<void(bool ended, Millis remaining)>;
  HandoverClient(net::Loop& loop, int channel, ReserveTransferred reserve_transferred);
  ~HandoverClient() override { loop_.cancel(announce_timer_); }

  void announce_serving();
  bool predecessor_alive() const { return watch_ != nullptr; }

 private:
  void on_readable() override;
  void parse_message();

  net::Loop& loop_;
  ReserveTransferred reserve_transferred_;
  std::string received_;
  net::Loop::TimerId announce_timer_ = 0;
  std::unique_ptr<net::Descriptor> socket_;
  std::unique_ptr<net::Watch> watch_;
};

}  // namespace shorelead::handover
