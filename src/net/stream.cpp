#include "net/stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>

#include "net/call_errors.h"

namespace shorelead::net {
namespace {

constexpr Millis kMinMeasurableWait = 10;  // TCP_INFO counts in steps of some milliseconds
constexpr int kSendBufferBytes = 131072;
constexpr std::size_t kMaxPieces = 64;  // per call; the rest is buffered
constexpr int kMaxPeekAttempts = 32;    // of calls that are interrupted

}  // namespace

std::atomic<int> Stream::open_count_{0};

Stream::Stream(Loop& loop, Handler& handler, int fd)
    : loop_(loop), handler_(handler), socket_(std::make_unique<Descriptor>(fd)), connected_(true) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  watch_ = std::make_unique<Watch>(loop_, *socket_, *this, true, false);
  ++open_count_;
}

Stream::Stream(Loop& loop, Handler& handler, const std::optional<Poco::Net::SocketAddress>& address)
    : loop_(loop), handler_(handler) {
  if (address) connect(*address);
}

bool Stream::connect(const Poco::Net::SocketAddress& address) {
  if (open()) return true;
  failure_ = Ending::kLocalFailure;
  const int fd = ::socket(address.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  auto socket = std::make_unique<Descriptor>(fd);
  // After an interrupted connect() the connection is in progress, which the repeated call reports.
  const int result = uninterrupted([&] { return ::connect(fd, address.addr(), address.length()); });
  if (result != 0 && !connect_in_progress(errno)) {
    connect_error_ = errno;
    if (connection_refused(connect_error_)) failure_ = Ending::kRefused;
    return false;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  socket_ = std::move(socket);
  watch_ = std::make_unique<Watch>(loop_, *socket_, *this, true, true);
  ++open_count_;
  return true;
}

Stream::~Stream() { close(); }

void Stream::send(std::span<const std::string_view> pieces) {
  if (open()) buffer(pieces, write_now(pieces));
}

bool Stream::begin(std::span<const std::string_view> pieces) {
  if (!open()) return true;
  const std::size_t written = write_now(pieces);
  if (written == 0 && !broken_ && connected_ && output_.empty()) {
    watch_->want_write(true);
    return false;
  }
  buffer(pieces, written);
  return true;
}

// Returns how many bytes the socket has taken.
std::size_t Stream::write_now(std::span<const std::string_view> pieces) {
  if (!connected_ || !output_.empty()) return 0;
  std::array<iovec, kMaxPieces> parts{};
  std::size_t count = 0;
  for (const std::string_view piece : pieces) {
    if (piece.empty() || count == kMaxPieces) continue;
    parts[count++] = {const_cast<char*>(piece.data()), piece.size()};
  }
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = count;
  const ssize_t sent = uninterrupted([&] { return ::sendmsg(fd(), &message, MSG_NOSIGNAL); });
  if (sent < 0 && !is_transient(errno)) broken_ = true;  // reported by on_writable(), not to the caller
  return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

// Keeps what follows the first `written` bytes until the socket takes it.
void Stream::buffer(std::span<const std::string_view> pieces, std::size_t written) {
  std::size_t size = output_.size();
  for (const std::string_view piece : pieces) size += piece.size();
  if (size > output_.size() + written) output_.reserve(size - written);
  for (const std::string_view piece : pieces) {
    const std::size_t skip = std::min(written, piece.size());
    written -= skip;
    output_.append(piece.substr(skip));
  }
  if (!output_.empty()) watch_->want_write(true);
}

Millis Stream::waited() const {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (!open() || ::getsockopt(fd(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  const auto since = static_cast<Millis>(info.tcpi_last_data_recv);
  return since >= kMinMeasurableWait ? since : 0;
}

bool Stream::quiet() const { return open() && input_.empty() && peek() == Peek::kNothing; }

bool Stream::ended() const {
  if (!open()) return true;
  const Peek found = peek();
  return found == Peek::kEnd || (found == Peek::kData && end_received());
}

// An end behind unread bytes shows only in the state of the TCP connection.
bool Stream::end_received() const {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(fd(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return false;
  switch (info.tcpi_state) {
    case TCP_CLOSE_WAIT:
    case TCP_LAST_ACK:
    case TCP_CLOSING:
    case TCP_TIME_WAIT:
    case TCP_CLOSE:
      return true;
    default:
      return false;
  }
}

Stream::Peek Stream::peek() const {
  char byte = 0;
  ssize_t got = 0;
  int tries = 0;
  // A call that was interrupted or had no memory tells nothing, so it is repeated.
  do {
    got = ::recv(fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && is_transient(errno) &&
           ++tries < kMaxPeekAttempts);
  if (got > 0) return Peek::kData;
  return got < 0 && is_transient(errno) ? Peek::kNothing : Peek::kEnd;
}

void Stream::reset_on_close() {
  const linger hard{1, 0};
  if (open()) ::setsockopt(fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

void Stream::bound_send_buffer() {
  if (open()) ::setsockopt(fd(), SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof kSendBufferBytes);
}

void Stream::close_sending() {
  if (open()) ::shutdown(fd(), SHUT_WR);
}

void Stream::close() {
  if (!open()) return;
  watch_.reset();
  socket_.reset();
  --open_count_;
}

void Stream::fail(Ending ending) {
  if (!open()) return;
  close();
  handler_.on_end(*this, ending);
}

bool Stream::read_now() {
  if (!open()) return false;
  // An unfinished connect has no input; its outcome is handled as writable.
  if (!connected_) return on_writable(), false;
  // Read into a local buffer, so that an idle connection keeps no memory for reading.
  std::array<char, kReadBytes> part;
  const ssize_t got = uninterrupted([&] { return ::recv(fd(), part.data(), read_limit_, 0); });
  const int error = errno;
  drained_ = got < static_cast<ssize_t>(read_limit_);
  if (got > 0) {
    input_.append(part.data(), static_cast<std::size_t>(got));
    handler_.on_input(*this);
    return true;
  }
  // The system reports a reset only once: after a write has failed with it, a read only sees the end.
  if (got == 0) return fail(broken_ ? Ending::kBroken : Ending::kPeerClosed), false;
  if (!is_transient(error)) fail(Ending::kBroken);
  return false;
}

void Stream::on_writable() {
  if (!open()) return;
  if (!connected_) {
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0)
      return;  // tried again at the next wake-up
    connect_error_ = error;
    if (error != 0) return fail(Ending::kRefused);
    sockaddr_storage peer{};
    socklen_t length = sizeof peer;
    if (::getpeername(fd(), reinterpret_cast<sockaddr*>(&peer), &length) != 0) return;  // not connected yet
    connected_ = true;
    if (output_.empty()) watch_->want_write(false);
    handler_.on_connected(*this);
    if (!open() || output_.empty()) return;
  }
  if (broken_) return fail(Ending::kBroken);
  if (!output_.empty()) {
    const ssize_t sent =
        uninterrupted([&] { return ::send(fd(), output_.data(), output_.size(), MSG_NOSIGNAL); });
    if (sent < 0 && is_transient(errno)) return;
    if (sent < 0) return fail(Ending::kBroken);
    output_.erase(0, static_cast<std::size_t>(sent));
  }
  if (!output_.empty()) return;
  std::string().swap(output_);
  watch_->want_write(false);
  handler_.on_flushed(*this);
}

void Stream::on_error() {
  if (!open()) return;
  if (!connected_) return on_writable();
  // Input that arrived before the error can still be read; the read after it reports the error.
  read_now();
}

std::optional<Poco::Net::SocketAddress> parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Poco::Net::IPAddress host;
  unsigned short port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || rest != end || port == 0) return std::nullopt;
  if (!Poco::Net::IPAddress::tryParse(text.substr(0, colon), host)) return std::nullopt;
  return Poco::Net::SocketAddress(host, port);
}

}  // namespace shorelead::net
