// Handover between a process and its successor over a Unix socket: the listening socket, the list of
// backends, and the messages about which process serves. HandoverServer runs in the old process,
// HandoverClient in the new one; both report events to their owner and do not block the loop. A third process
// is refused while two run.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/loop.h"
#include "net/watch.h"

namespace shorelead::handover {

// What a process receives from its predecessor.
struct InheritedState {
  int listener = -1;  // the clients' listening socket
  int channel = -1;   // connection to the predecessor, for HandoverClient
  std::string list;   // last list of backends, in discovery's format; may be empty
};

// Requests the handover at `path`, blocking for at most `timeout` milliseconds; for use before the loop runs.
// Returns nothing if no process listens there or its response is incomplete. Throws std::runtime_error with
// the reason if the predecessor refuses.
std::optional<InheritedState> request_handover(const std::string& path, Millis timeout);

// The side of the old process.
class HandoverServer : public net::Watch::Handler {
 public:
  struct Listener {
    std::function<int()> listener;           // the clients' listening socket; -1 if there is none
    std::function<std::string()> list;       // the list of backends
    std::function<std::string()> refusal;    // why a successor is refused now; empty if it is not
    std::function<void()> successor_came;    // it has received the listener and the list
    std::function<void()> successor_serves;  // it accepts clients from now on
    std::function<void()> successor_gone;
  };

  // Listens at `path` in place of an earlier process. Throws std::system_error.
  HandoverServer(net::Loop& loop, std::string path, Listener listener);
  ~HandoverServer() override;

  bool has_successor() const { return successor_ != nullptr; }
  // Tells the successor that the fleet's reserve, which only one of the two may use, is its own from now on;
  // requests that this process sent with it end within `remaining`. Earlier versions ignore the message.
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
  net::Loop::TimerId accept_timer_ = 0;  // resumes accepting
  std::shared_ptr<SuccessorConnection> successor_;
};

// The side of the new process, while the old one runs.
class HandoverClient : public net::Watch::Handler {
 public:
  // Called when the fleet's reserve is this process's own: after the predecessor's message, with the time
  // that its requests may still run, and (`ended`) when the predecessor has ended.
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
