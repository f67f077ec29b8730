// One TCP connection, to a client, a backend or discovery: the socket with its input and output buffers.
// Counts the open streams of the process. Does not throw, and does not call its handler after close().
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <algorithm>
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
  static constexpr std::size_t kReadBytes = 16384;
  static constexpr std::size_t kMinReadBytes = 1024;

  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_connected(Stream&) {}
    virtual void on_input(Stream& stream) = 0;               // input() has grown
    virtual void on_flushed(Stream&) {}                      // all output has been written
    virtual void on_end(Stream& stream, Ending ending) = 0;  // the stream is closed already
  };

  // An accepted connection, or a new one to `address`. The latter may have failed already (see open() and
  // failure()), as has one without an address, for which there was no descriptor.
  Stream(Loop& loop, Handler& handler, int fd);
  Stream(Loop& loop, Handler& handler, const std::optional<Poco::Net::SocketAddress>& address);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool open() const { return watch_ != nullptr; }
  int descriptor() const { return open() ? fd() : -1; }
  bool connected() const { return connected_; }
  Ending failure() const { return failure_; }  // why connecting failed at once
  int connect_error() const {
    return connect_error_;
  }  // errno of a connection that was not established, or 0
  // Tries again to connect after a failure of this machine; returns whether the stream is open.
  bool connect(const Poco::Net::SocketAddress& address);

  std::string& input() { return input_; }
  std::size_t held() const { return input_.size(); }
  // Bytes allocated for output that the socket has not taken; 0 if it has taken all.
  std::size_t unsent_capacity() const { return output_.empty() ? 0 : output_.capacity(); }
  // Pauses or resumes reading. While it is paused, the end of the connection is not noticed.
  void want_input(bool wanted) {
    if (open()) watch_->want_read(wanted);
  }

  // Writes the pieces in one call, and buffers a copy of what the socket does not take.
  void send(std::span<const std::string_view> pieces);
  // As send(), but keeps nothing if the socket takes no byte for now: returns false then, and on_flushed()
  // follows once it may. For what has to be checked again before its first byte is written.
  bool begin(std::span<const std::string_view> pieces);
  bool flushed() const { return connected_ && output_.empty(); }

  // How long the last input had waited in the system before it was read: in the accept queue, or while this
  // process was not scheduled. 0 if the time is too short to be measured.
  Millis waited() const;

  // Reads once without waiting for the reactor. Returns whether there was input, so that there may be more.
  bool read_now();
  // The most that one read takes, between kMinReadBytes and kReadBytes: a read of nothing would look like the
  // end of the connection.
  void limit_reads(std::size_t bytes) { read_limit_ = std::clamp(bytes, kMinReadBytes, kReadBytes); }
  // Whether the last read took all that had arrived.
  bool drained() const { return drained_; }
  // Whether neither input nor an end has arrived on a connection that is expected to be idle.
  bool quiet() const;
  // Whether input has arrived that was not read yet.
  bool has_unread_input() const { return open() && peek() == Peek::kData; }
  // Whether the peer has closed. Behind unread input this is known only if the state of the TCP connection
  // shows it.
  bool ended() const;
  bool paused() const { return open() && !watch_->reads(); }  // reading is paused, so an end goes unnoticed
  void reset_on_close();     // close() sends a reset, so that the peer sees an abnormal end
  void bound_send_buffer();  // otherwise megabytes of output would count as written
  void close_sending();      // half-close: the peer's data is still read
  void close();

  static int open_count() { return open_count_.load(std::memory_order_relaxed); }

 private:
  std::size_t write_now(std::span<const std::string_view> pieces);
  void buffer(std::span<const std::string_view> pieces, std::size_t written);
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
  bool drained_ = true;
  std::size_t read_limit_ = kReadBytes;
  Ending failure_ = Ending::kNoDescriptor;
  int connect_error_ = 0;
  std::string input_;
  std::string output_;
  static std::atomic<int> open_count_;  // of all threads
};

// Parses "a.b.c.d:port"; host names are not resolved.
std::optional<Poco::Net::SocketAddress> parse_address(const std::string& text);

}  // namespace shorelead::net
