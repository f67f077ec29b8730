// Registration of a socket with the loop: calls a handler when the socket is readable or writable. If the
// system has no memory for the registration, it is retried. Does not read, write or close the socket.
#pragma once

#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketNotification.h>

#include "net/loop.h"

namespace shorelead::net {

// The socket is registered for the lifetime of this object. Writability is watched only on demand, as
// otherwise the reactor would spin.
class Watch {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_readable() = 0;
    virtual void on_writable() {}
    virtual void on_error() { on_readable(); }
  };

  Watch(Loop& loop, const Poco::Net::Socket& socket, Handler& handler, bool reading, bool writing);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  void want_read(bool wanted);
  void want_write(bool wanted);
  bool reads() const { return reading_; }

 private:
  void register_socket(bool reading, bool writing);
  void unregister_socket();
  void set_handlers();
  void readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
  void error(const Poco::AutoPtr<Poco::Net::ErrorNotification>&);

  Loop& loop_;
  Poco::Net::Socket socket_;
  Handler& handler_;
  bool reading_ = false;
  bool writing_ = false;
  Loop::TimerId retry_ = 0;
};

}  // namespace shorelead::net
