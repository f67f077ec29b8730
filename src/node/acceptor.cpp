#include "node/acceptor.h"

#include <Poco/Net/ServerSocket.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include "guard/guard.h"
#include "net/call_errors.h"

namespace shorelead::node {
namespace {

constexpr Millis kPause = 20;  // accepting stopped for want of descriptors
constexpr int kBacklog = 1024;
constexpr int kMostFailures = 64;  // of accept in one turn, before others get theirs

}  // namespace

Acceptor::Acceptor(Loop& loop, const Entry& entry, Host host) : loop_(loop), host_(std::move(host)) {
  if (entry.listening >= 0) {
    socket_ = std::make_unique<net::Descriptor>(entry.listening);
  } else {
    auto socket = std::make_unique<Poco::Net::ServerSocket>();
    socket->bind(entry.address, true, entry.shared);
    socket_ = std::move(socket);
  }
  socket_->setBlocking(false);
}

void Acceptor::open() {
  if (!socket_ || closing_ || opened_) return;
  if (::listen(listening(), kBacklog) != 0) throw std::system_error(errno, std::generic_category(), "listen");
  opened_ = true;
  listening_since_ = loop_.now();
  watch_ = std::make_unique<Watch>(loop_, *socket_, *this, !held_, false);
}

Acceptor::~Acceptor() { loop_.cancel(resume_); }

void Acceptor::accept_all() {
  int failures = 0;
  while (socket_ && guard::may_accept({.held = held_})) {
    const int fd = ::accept4(socket_->impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) break;  // nobody waits
      // Any other error leaves open who does: they are looked at again, now or soon.
      const bool no_room = net::lacks_resources(errno);
      if (no_room ? host_.evict_unused() : net::is_per_connection(errno) && ++failures < kMostFailures)
        continue;
      return pause();
    }
    if (++accepted_ == 1) log_first();
    host_.take(fd);
    if (!host_.make_room()) return pause();  // for the next one
  }
  if (closing_) socket_.reset();  // right behind the last look: who connects in between is turned down
}

// Clients may wait in the backlog from the moment of listening on, whatever this process is busy with.
void Acceptor::log_first() {
  spdlog::info("first client accepted {:.0f} ms after listening", loop_.now() - listening_since_);
}

void Acceptor::pause() {
  if (paused_ || !socket_) return;
  paused_ = true;
  ++pauses_;
  if (watch_) watch_->want_read(false);
  resume_ = loop_.after(kPause, [this] { look_for_room(); });
}

void Acceptor::look_for_room() {
  loop_.cancel(resume_);
  if (!paused_ || !socket_) return;
  if (!host_.make_room()) {
    resume_ = loop_.after(kPause, [this] { look_for_room(); });
    return;
  }
  paused_ = false;
  if (watch_) watch_->want_read(!held_);
  accept_all();
}

void Acceptor::hold(bool held) {
  held_ = held;
  if (!watch_ || paused_) return;
  watch_->want_read(!held);
  accept_all();
}

void Acceptor::close() {
  closing_ = true;
  watch_.reset();
  if (!opened_) return socket_.reset();
  if (!paused_ || held_) accept_all();
}

}  // namespace shorelead::node
