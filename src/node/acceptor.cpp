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

constexpr Millis kResumeInterval = 20;  // between attempts to accept again after a pause
constexpr int kBacklog = 1024;
constexpr int kMaxFailures = 64;  // of accept() in one turn of the loop

}  // namespace

Acceptor::Acceptor(Loop& loop, const ListenSpec& spec, Host host) : loop_(loop), host_(std::move(host)) {
  if (spec.listening >= 0) {
    socket_ = std::make_unique<net::Descriptor>(spec.listening);
  } else {
    auto socket = std::make_unique<Poco::Net::ServerSocket>();
    socket->bind(spec.address, true, spec.shared);
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

Acceptor::~Acceptor() { loop_.cancel(resume_timer_); }

void Acceptor::accept_all() {
  int failures = 0;
  while (socket_ && guard::may_accept({.held = held_})) {
    const int fd = ::accept4(socket_->impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) break;  // the backlog is empty
      // After any other error there may be more connections: accept() is called again, now or after a pause.
      const bool no_descriptor = net::lacks_resources(errno);
      if (no_descriptor ? host_.evict_unused() : net::is_per_connection(errno) && ++failures < kMaxFailures)
        continue;
      return pause();
    }
    if (++accepted_ == 1) log_first();
    host_.take(fd);
    if (!host_.make_room()) return pause();  // for the next one
  }
  if (closing_) socket_.reset();  // right after the last accept(): connections in between are refused
}

// The delay shows how long clients may have waited in the backlog while this process was busy.
void Acceptor::log_first() {
  spdlog::info("first client accepted {:.0f} ms after listening", loop_.now() - listening_since_);
}

void Acceptor::pause() {
  if (paused_ || !socket_) return;
  paused_ = true;
  ++pauses_;
  if (watch_) watch_->want_read(false);
  resume_timer_ = loop_.after(kResumeInterval, [this] { try_resume(); });
}

void Acceptor::try_resume() {
  loop_.cancel(resume_timer_);
  if (!paused_ || !socket_) return;
  if (!host_.make_room()) {
    resume_timer_ = loop_.after(kResumeInterval, [this] { try_resume(); });
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
