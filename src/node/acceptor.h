// The socket on which clients connect. Owns it, and when nobody is taken in: while it is held for another
// process, or for want of descriptors. It must never speak to a client.
#pragma once

#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <functional>
#include <memory>

#include "node/net.h"

namespace shorelead::node {

// Where clients connect: an address to listen on, with another process of the node if `shared`, or a socket
// that listens there already, handed over by that process.
struct Entry {
  Entry(const Poco::Net::SocketAddress& address) : address(address) {}  // NOLINT: an address is an entry
  Poco::Net::SocketAddress address;
  bool shared = false;
  int listening = -1;
};

class Acceptor : public Watch::Handler {
 public:
  struct Host {
    std::function<void(int fd)> take;    // somebody connected
    std::function<bool()> make_room;     // whether one more may be taken in
    std::function<bool()> evict_unused;  // whether a connection could be closed for it
  };

  // Takes the address, on which clients are turned down until open(). Throws Poco::Exception where it cannot
  // be had.
  Acceptor(Loop& loop, const Entry& entry, Host host);
  ~Acceptor() override;

  // Listens, and takes in who comes. From then on the system accepts connections, and each request on one is
  // owed an answer: to be called once nothing else is left of a start. Throws std::system_error where it
  // cannot listen.
  void open();

  // While held, whoever comes is left to the other process.
  void hold(bool held);
  bool held() const { return held_; }
  // Whoever wants in waits in the backlog until a client is idle or gone, or a descriptor is free.
  bool paused() const { return paused_; }
  void look_for_room();
  // Closes once all who had connected are taken in, unless they are left to the other: at once, or as room
  // is found for them.
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
  Loop::TimerId resume_ = 0;
  Millis listening_since_ = 0;
  std::uint64_t accepted_ = 0;
  std::uint64_t pauses_ = 0;
};

}  // namespace shorelead::node
