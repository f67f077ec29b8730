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

// First line of an answer: the title and how many bytes of list follow, or the reason for a refusal.
constexpr std::string_view kTitle = "shorelead handover 1 ";
constexpr std::string_view kRefused = "shorelead refuses: ";
constexpr std::string_view kServing = "serving\n";
constexpr std::string_view kCeded = "ceded ";  // and so many milliseconds
constexpr Millis kMostStill = 1e9;
constexpr Millis kSayAgain = 10;
constexpr Millis kAcceptAgain = 20;        // where there was no descriptor for a successor
constexpr std::size_t kMostList = 131072;  // goes into the socket's buffer in one piece

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

std::optional<InheritedState> ask(const std::string& path, Millis wait) {
  const sockaddr_un address = address_of(path);
  net::Descriptor socket(checked(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0), "socket"));
  timeval limit{};
  limit.tv_sec = static_cast<time_t>(wait / 1000);
  limit.tv_usec = static_cast<suseconds_t>((wait - 1000.0 * static_cast<double>(limit.tv_sec)) * 1000);
  ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const auto* const to = reinterpret_cast<const sockaddr*>(&address);
  const int connected = net::uninterrupted([&] { return ::connect(socket.fd(), to, sizeof address); });
  if (connected != 0 && errno != EISCONN) return std::nullopt;
  std::string text;
  int listener = -1;
  std::size_t whole = std::string::npos;
  const auto drop = [&listener] {
    if (listener >= 0) ::close(listener);
    return std::nullopt;
  };
  while (text.size() < whole) {
    std::array<char, 4096> part{};
    const ssize_t got = receive_with(socket.fd(), part, listener);
    if (got <= 0) return drop();
    text.append(part.data(), static_cast<std::size_t>(got));
    const std::size_t end = text.find('\n');
    if (end == std::string::npos) continue;
    const std::string_view line = std::string_view(text).substr(0, end);
    if (line.substr(0, kRefused.size()) == kRefused) {
      drop();
      throw std::runtime_error("the process that serves refuses: " +
                               std::string(line.substr(kRefused.size())));
    }
    std::size_t size = 0;
    if (line.substr(0, kTitle.size()) != kTitle) return drop();
    const auto [rest, error] = std::from_chars(line.data() + kTitle.size(), line.data() + line.size(), size);
    if (error != std::errc() || rest != line.data() + line.size() || size > kMostList) return drop();
    whole = end + 1 + size;
  }
  if (listener < 0) return std::nullopt;
  InheritedState inherited;
  inherited.listener = listener;
  inherited.list = text.substr(text.find('\n') + 1, whole);
  inherited.channel = ::fcntl(socket.fd(), F_DUPFD_CLOEXEC, 3);
  if (inherited.channel < 0) return drop();
  return inherited;
}

// A successor, from its coming to its end.
class Predecessor::Heir : public net::Watch::Handler {
 public:
  Heir(Predecessor& owner, const net::Descriptor& socket)
      : owner(owner), socket(socket), watch(owner.loop_, socket, *this, true, false) {}

  void on_readable() override {
    std::array<char, 64> part{};
    const ssize_t got = ::recv(socket.fd(), part.data(), part.size(), MSG_DONTWAIT);
    if (got < 0 && net::passes(errno)) return;
    if (got <= 0) return owner.lose(*this);
    said.append(part.data(), static_cast<std::size_t>(got));
    if (said.size() > kServing.size() || kServing.substr(0, said.size()) != said) return owner.lose(*this);
    if (said == kServing) owner.listener_.successor_serves();
  }

  Predecessor& owner;
  net::Descriptor socket;
  net::Watch watch;
  std::string said;
};

Predecessor::Predecessor(net::Loop& loop, std::string path, Listener listener)
    : loop_(loop), path_(std::move(path)), listener_(std::move(listener)) {
  // Bound beside and renamed, so that whoever comes finds the old one or the new one, never none.
  const std::string beside = path_ + "." + std::to_string(::getpid());
  const sockaddr_un address = address_of(beside);
  socket_ = std::make_unique<net::Descriptor>(
      checked(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), "socket"));
  ::unlink(beside.c_str());
  checked(::bind(socket_->fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address), beside);
  checked(::listen(socket_->fd(), 4), beside);
  checked(::rename(beside.c_str(), path_.c_str()), path_);
  watch_ = std::make_unique<net::Watch>(loop_, *socket_, *this, true, false);
}

// The path stays: it may be the successor's by now, and nobody answers there otherwise.
Predecessor::~Predecessor() { loop_.cancel(resume_); }

void Predecessor::on_readable() {
  const int fd = ::accept4(socket_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    const bool nobody_waits = errno == EAGAIN || errno == EWOULDBLOCK;
    if (!nobody_waits && !net::of_one_connection(errno)) accept_later();
    return;
  }
  const net::Descriptor come(fd);
  const int listener = listener_.listener();
  std::string refusal = heir_ ? "a successor is here already" : listener_.refusal();
  if (refusal.empty() && listener < 0) refusal = "it does not listen any more";
  if (!refusal.empty()) {
    send_with(fd, std::string(kRefused) + refusal + "\n", -1);
    return;
  }
  std::string list = listener_.list();
  if (list.size() > kMostList) list.clear();  // discovery will tell
  const int room = static_cast<int>(2 * kMostList);
  ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &room, sizeof room);
  if (!send_with(fd, std::string(kTitle) + std::to_string(list.size()) + "\n" + list, listener)) return;
  heir_ = std::make_shared<Heir>(*this, come);
  listener_.successor_came();
}

// Whoever waits is told of again at once, and the loop would spin.
void Predecessor::accept_later() {
  watch_->want_read(false);
  loop_.cancel(resume_);
  resume_ = loop_.after(kAcceptAgain, [this] {
    resume_ = 0;
    watch_->want_read(true);
  });
}

void Predecessor::lose(Heir& heir) {
  if (heir_.get() != &heir) return;
  loop_.later([hold = std::move(heir_)] {});
  heir_ = nullptr;
  listener_.successor_gone();
}

void Predecessor::cede(Millis still) {
  const auto whole =
      std::to_string(static_cast<std::uint64_t>(std::ceil(std::clamp(still, 0.0, kMostStill))));
  if (heir_) send_with(heir_->socket.fd(), std::string(kCeded) + whole + "\n", -1);
}

Successor::Successor(net::Loop& loop, int channel, Ceded ceded)
    : loop_(loop),
      ceded_(std::move(ceded)),
      socket_(std::make_unique<net::Descriptor>(channel)),
      watch_(std::make_unique<net::Watch>(loop, *socket_, *this, true, false)) {}

// Until it is said the other one goes on taking clients, so it is said again where it could not be.
void Successor::say_serving() {
  loop_.cancel(say_again_);
  if (!watch_ || send_with(socket_->fd(), kServing, -1)) return;
  say_again_ = loop_.after(kSayAgain, [this] {
    say_again_ = 0;
    say_serving();
  });
}

void Successor::on_readable() {
  std::array<char, 64> part{};
  const ssize_t got = ::recv(socket_->fd(), part.data(), part.size(), MSG_DONTWAIT);
  if (got < 0 && net::passes(errno)) return;
  if (got > 0) {
    if (said_.size() < part.size()) said_.append(part.data(), static_cast<std::size_t>(got));
    return hear();
  }
  watch_.reset();
  socket_.reset();
  ceded_(true, 0);
}

// What is no such line is a later version's, and nothing to this one.
void Successor::hear() {
  if (said_.empty() || said_.back() != '\n' || said_.compare(0, kCeded.size(), kCeded) != 0) return;
  std::uint64_t still = 0;
  const char* const end = said_.data() + said_.size() - 1;
  const auto [rest, error] = std::from_chars(said_.data() + kCeded.size(), end, still);
  if (error != std::errc() || rest != end) return;
  said_.clear();
  ceded_(false, std::min(static_cast<Millis>(still), kMostStill));
}

}  // namespace shorelead::handover
