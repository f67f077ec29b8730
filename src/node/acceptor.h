// Accepts client connections. Owns the listening socket and suspends accepting while another process of the
// node accepts in its place, or while no descriptor is free. Does not communicate with clients.
#pragma once

#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <functional>
#include <memory>

#include "node/net.h"

namespace shorelead::node {

// Where clients connect: an address to bind, shared with another process of the node if `shared`; or a socket
// that is bound already, handed over by that process.
struct ListenSpec {
  ListenSpec(const Poco::Net::SocketAddress& address) : address(address) {}  // NOLINT: implicit by design
  Poco::Net::SocketAddress address;
  bool shared = false;
  int listening = -1;  // descriptor of the inherited socket; -1: none
};

class Acceptor : public Watch::Handler {
 public:
  struct Host {
    std::function<void(int fd)> take;  // a client has connected
    std::function<bool()> make_room;  // frees descriptors if need be; whether one more client may be accepted
    std::function<bool()> evict_unused;  // closes an idle connection; whether there was one
  };

  // Binds the address; connections are refused until open(). Throws Poco::Exception if it cannot be bound.
  Acceptor(Loop& loop, const ListenSpec& spec, Host host);
  ~Acceptor() override;

  // Listens and accepts. Called as the last step of the start, as from then on the system completes
  // connections whose requests have to be answered. Throws std::system_error if it cannot listen.
  void open();

  // While held, new connections are left to the other process of the node.
  void hold(bool held);
  bool held() const { return held_; }
  // Accepting is paused: connections wait in the backlog until a descriptor is free.
  bool paused() const { return paused_; }
  // Accepts again if there is room by now.
  void try_resume();
  // Closes the socket once all connections of the backlog are accepted, now or as descriptors become free; at
  // once while held, as the other process accepts them.
  void close();

  int listening() const { return socket_ ? socket_->impl()->sockfd() : -1; }
  unsigned short port() const { return socket_ ? socket_->address().port() : 0; }
  std::uint64_t accepted() const { return accepted_; }
  std::uint64_t pauses() const { return pauses_; }

 private:
  void log_first();
  void on_readable() override { accept_all(); }
  void accept_all();
  void pause();

  Loop& loop_;
  const Host host_;
  std::unique_ptr<Poco::Net::Socket> socket_;
  std::unique_ptr<Watch> watch_;
  bool paused_ = false;
  bool held_ = false;
  bool closing_ = false;
  bool opened_ = false;
  Loop::TimerId resume_timer_ = 0;
  Millis listening_since_ = 0;
  std::uint64_t accepted_ = 0;
  std::uint64_t pauses_ = 0;
};

}  // namespace shorelead::node
