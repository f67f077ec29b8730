// One TCP connection, to a client, a backend or discovery: its socket, what has come in and what is still to
// go out. It owns the descriptor and the count of descriptors in use. It must never parse what it carries,
// never throw, and never call its handler once it was closed.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "net/ending.h"
#include "net/loop.h"
#include "net/watch.h"

namespace shorelead::net {

class Stream : public Watch::Handler {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_connected(Stream&) {}
    virtual void on_input(Stream& stream) = 0;               // input() has grown
    virtual void on_flushed(Stream&) {}                      // all that was sent has been written
    virtual void on_end(Stream& stream, Ending ending) = 0;  // closed already
  };

  // A connection that came in, or one to be made. The latter may have ended already (see open(), failure()),
  // as does one without an address, for which there was no descriptor.
  Stream(Loop& loop, Handler& handler, int fd);
  Stream(Loop& loop, Handler& handler, const std::optional<Poco::Net::SocketAddress>& address);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool open() const { return watch_ != nullptr; }
  int descriptor() const { return open() ? fd() : -1; }
  bool connected() const { return connected_; }
  Ending failure() const { return failure_; }  // of a stream that could not even be begun
  // Begins a connection anew that this machine could not begin; whether it is open now.
  bool connect(const Poco::Net::SocketAddress& address);

  std::string& input() { return input_; }
  std::size_t held() const { return input_.size(); }
  // Holds back, or again takes, what the other side sends; its end is not noticed meanwhile.
  void want_input(bool wanted);

  // Writes the pieces in one call where the socket takes them; keeps a copy of what is left over.
  void send(std::span<const std::string_view> pieces);
  bool flushed() const { return connected_ && output_.empty(); }

  // For how long what came in last had been there before it was read: in the queue of connections, or while
  // this node got no processor. 0 where the system cannot tell it from no time at all.
  Millis waited() const;

  // Takes in what has already come, up to one read of it, without waiting for the reactor to say so. Whether
  // there was any, so that there may be more.
  bool read_now();
  // Whether nothing, not even an end, has come in on a connection that ought to be quiet.
  bool quiet() const;
  // Whether the other side has closed by now; behind what was not taken in yet only where the system tells
  // it.
  bool ended() const;
  bool paused() const { return open() && !watch_->reads(); }  // input is held back: its end goes unnoticed
  void reset_on_close();     // the other side is to see that it was no orderly end
  void bound_send_buffer();  // the system's: else megabytes would count as gone
  void close_sending();      // the other side sees the end; what it sends is still taken
  void close();

  static int open_count() { return open_count_.load(std::memory_order_relaxed); }

 private:
  void on_readable() override { read_now(); }
  void on_writable() override;
  void on_error() override;
  void fail(Ending ending);
  enum class Peek { kNothing, kData, kEnd };
  Peek peek() const;
  bool end_received() const;
  int fd() const { return socket_->impl()->sockfd(); }

  Loop& loop_;
  Handler& handler_;
  std::unique_ptr<Poco::Net::Socket> socket_;
  std::unique_ptr<Watch> watch_;
  bool connected_ = false;
  bool broken_ = false;  // a write failed
  Ending failure_ = Ending::kNoDescriptor;
  std::string input_;
  std::string output_;
  static std::atomic<int> open_count_;  // of all threads' loops
};

// "a.b.c.d:port"; no names are looked up.
std::optional<Poco::Net::SocketAddress> parse_address(const std::string& text);

}  // namespace shorelead::net
