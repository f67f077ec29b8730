#include "handover/handover.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string_view>
#include <system_error>

#include "handover/unix_message.h"
#include "net/call_errors.h"

namespace shorelead::handover {
namespace {

// First line of a response: this prefix and the size of the list that follows, or the reason for a refusal.
constexpr std::string_view kAcceptedPrefix = "shorelead handover 1 ";
constexpr std::string_view kRefusedPrefix = "shorelead refuses: ";
constexpr std::string_view kServingMessage = "serving\n";
constexpr std::string_view kReserveTransferredPrefix = "ceded ";  // followed by a time in milliseconds
constexpr Millis kMaxRemaining = 1e9;
constexpr Millis kAnnounceRetryInterval = 10;
constexpr Millis kAcceptRetryInterval = 20;    // after accept failed
constexpr std::size_t kMaxListBytes = 131072;  // fits into the socket's send buffer

sockaddr_un address_of(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path)
    throw std::system_error(ENAMETOOLONG, std::generic_category(), path);
  std::memcpy(address.sun_path, path.data(), path.size());
  return address;
}

int checked(int result, const std::string& what) {
  if (result < 0) throw std::system_error(errno, std::generic_category(), what);
  return result;
}

}  // namespace

std::optional<InheritedState> request_handover(const std::string& path, Millis timeout) {
  const sockaddr_un address = address_of(path);
  net::Descriptor socket(checked(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0), "socket"));
  timeval limit{};
  limit.tv_sec = static_cast<time_t>(timeout / 1000);
  limit.tv_usec = static_cast<suseconds_t>((timeout - 1000.0 * static_cast<double>(limit.tv_sec)) * 1000);
  ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const auto* const to = reinterpret_cast<const sockaddr*>(&address);
  const int connected = net::uninterrupted([&] { return ::connect(socket.fd(), to, sizeof address); });
  if (connected != 0 && errno != EISCONN) return std::nullopt;
  std::string text;
  int listener = -1;
  std::size_t total = std::string::npos;
  const auto drop = [&listener] {
    if (listener >= 0) ::close(listener);
    return std::nullopt;
  };
  while (text.size() < total) {
    std::array<char, 4096> part{};
    const ssize_t got = receive_with(socket.fd(), part, listener);
    if (got <= 0) return drop();
    text.append(part.data(), static_cast<std::size_t>(got));
    const std::size_t end = text.find('\n');
    if (end == std::string::npos) continue;
    const std::string_view line = std::string_view(text).substr(0, end);
    if (line.substr(0, kRefusedPrefix.size()) == kRefusedPrefix) {
      drop();
      throw std::runtime_error("the process that serves refuses: " +
                               std::string(line.substr(kRefusedPrefix.size())));
    }
    std::size_t size = 0;
    if (line.substr(0, kAcceptedPrefix.size()) != kAcceptedPrefix) return drop();
    const auto [rest, error] =
        std::from_chars(line.data() + kAcceptedPrefix.size(), line.data() + line.size(), size);
    if (error != std::errc() || rest != line.data() + line.size() || size > kMaxListBytes) return drop();
    total = end + 1 + size;
  }
  if (listener < 0) return std::nullopt;
  InheritedState inherited;
  inherited.listener = listener;
  inherited.list = text.substr(text.find('\n') + 1, total);
  inherited.channel = ::fcntl(socket.fd(), F_DUPFD_CLOEXEC, 3);
  if (inherited.channel < 0) return drop();
  return inherited;
}

// Connection to one successor, until it ends.
class HandoverServer::SuccessorConnection : public net::Watch::Handler {
 public:
  SuccessorConnection(HandoverServer& owner, const net::Descriptor& socket)
      : owner(owner), socket(socket), watch(owner.loop_, socket, *this, true, false) {}

  void on_readable() override {
    std::array<char, 64> part{};
    const ssize_t got = ::recv(socket.fd(), part.data(), part.size(), MSG_DONTWAIT);
    if (got < 0 && net::is_transient(errno)) return;
    if (got <= 0) return owner.on_successor_lost(*this);
    received.append(part.data(), static_cast<std::size_t>(got));
    if (received.size() > kServingMessage.size() || kServingMessage.substr(0, received.size()) != received)
      return owner.on_successor_lost(*this);
    if (received == kServingMessage) owner.listener_.successor_serves();
  }

  HandoverServer& owner;
  net::Descriptor socket;
  net::Watch watch;
  std::string received;
};

HandoverServer::HandoverServer(net::Loop& loop, std::string path, Listener listener)
    : loop_(loop), path_(std::move(path)), listener_(std::move(listener)) {
  // Bound under a temporary name and renamed, so that there is always a socket at the path.
  const std::string temporary_path = path_ + "." + std::to_string(::getpid());
  const sockaddr_un address = address_of(temporary_path);
  socket_ = std::make_unique<net::Descriptor>(
      checked(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), "socket"));
  ::unlink(temporary_path.c_str());
  checked(::bind(socket_->fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address), temporary_path);
  checked(::listen(socket_->fd(), 4), temporary_path);
  checked(::rename(temporary_path.c_str(), path_.c_str()), path_);
  watch_ = std::make_unique<net::Watch>(loop_, *socket_, *this, true, false);
}

// The path is not removed: it may belong to the successor by now.
HandoverServer::~HandoverServer() { loop_.cancel(accept_timer_); }

void HandoverServer::on_readable() {
  const int fd = ::accept4(socket_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    const bool queue_empty = errno == EAGAIN || errno == EWOULDBLOCK;
    if (!queue_empty && !net::is_per_connection(errno)) pause_accepting();
    return;
  }
  const net::Descriptor socket(fd);
  const int listener = listener_.listener();
  std::string refusal = successor_ ? "a successor is here already" : listener_.refusal();
  if (refusal.empty() && listener < 0) refusal = "it does not listen any more";
  if (!refusal.empty()) {
    send_with(fd, std::string(kRefusedPrefix) + refusal + "\n", -1);
    return;
  }
  std::string list = listener_.list();
  if (list.size() > kMaxListBytes) list.clear();  // too large to send; the successor asks discovery
  const int send_buffer = static_cast<int>(2 * kMaxListBytes);
  ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof send_buffer);
  if (!send_with(fd, std::string(kAcceptedPrefix) + std::to_string(list.size()) + "\n" + list, listener))
    return;
  successor_ = std::make_shared<SuccessorConnection>(*this, socket);
  listener_.successor_came();
}

// The pending connection keeps the listener readable, so the loop would spin.
void HandoverServer::pause_accepting() {
  watch_->want_read(false);
  loop_.cancel(accept_timer_);
  accept_timer_ = loop_.after(kAcceptRetryInterval, [this] {
    accept_timer_ = 0;
    watch_->want_read(true);
  });
}

void HandoverServer::on_successor_lost(SuccessorConnection& connection) {
  if (successor_.get() != &connection) return;
  loop_.later([hold = std::move(successor_)] {});
  successor_ = nullptr;
  listener_.successor_gone();
}

void HandoverServer::transfer_reserve(Millis remaining) {
  const auto milliseconds =
      std::to_string(static_cast<std::uint64_t>(std::ceil(std::clamp(remaining, 0.0, kMaxRemaining))));
  if (successor_)
    send_with(successor_->socket.fd(), std::string(kReserveTransferredPrefix) + milliseconds + "\n", -1);
}

HandoverClient::HandoverClient(net::Loop& loop, int channel, ReserveTransferred reserve_transferred)
    : loop_(loop),
      reserve_transferred_(std::move(reserve_transferred)),
      socket_(std::make_unique<net::Descriptor>(channel)),
      watch_(std::make_unique<net::Watch>(loop, *socket_, *this, true, false)) {}

// The predecessor accepts clients until it gets this message, so a failed send is retried.
void HandoverClient::announce_serving() {
  loop_.cancel(announce_timer_);
  if (!watch_ || send_with(socket_->fd(), kServingMessage, -1)) return;
  announce_timer_ = loop_.after(kAnnounceRetryInterval, [this] {
    announce_timer_ = 0;
    announce_serving();
  });
}

void HandoverClient::on_readable() {
  std::array<char, 64> part{};
  const ssize_t got = ::recv(socket_->fd(), part.data(), part.size(), MSG_DONTWAIT);
  if (got < 0 && net::is_transient(errno)) return;
  if (got > 0) {
    if (received_.size() < part.size()) received_.append(part.data(), static_cast<std::size_t>(got));
    return parse_message();
  }
  watch_.reset();
  socket_.reset();
  reserve_transferred_(true, 0);
}

// Other messages may come from later versions, and are ignored.
void HandoverClient::parse_message() {
  if (received_.empty() || received_.back() != '\n' ||
      received_.compare(0, kReserveTransferredPrefix.size(), kReserveTransferredPrefix) != 0)
    return;
  std::uint64_t remaining = 0;
  const char* const end = received_.data() + received_.size() - 1;
  const auto [rest, error] =
      std::from_chars(received_.data() + kReserveTransferredPrefix.size(), end, remaining);
  if (error != std::errc() || rest != end) return;
  received_.clear();
  reserve_transferred_(false, std::min(static_cast<Millis>(remaining), kMaxRemaining));
}

}  // namespace shorelead::handover
