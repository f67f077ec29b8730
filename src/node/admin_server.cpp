#include "node/admin_server.h"

#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include "net/call_errors.h"

namespace shorelead::node {
namespace {

constexpr Millis kMaxConnectionTime = 10000;  // of a caller, in any state
constexpr Millis kAcceptRetryInterval = 20;   // after accept failed
constexpr Millis kExpiryCheckInterval = 500;
constexpr int kBacklog = 64;
constexpr int kMaxAcceptsPerTurn = 16;  // so that many callers do not delay clients

}  // namespace

// Connection of one caller. Not a Stream: a caller that has closed its half still gets its response, and the
// count of open streams is for clients and backends only.
class AdminServer::Caller : public Watch::Handler {
 public:
  Caller(AdminServer& owner, int fd)
      : owner(owner),
        accepted_at(owner.loop_.now()),
        socket(fd),
        watch(owner.loop_, socket, *this, true, false) {}

  void on_readable() override {
    std::array<char, 1024> part;
    const ssize_t got = ::recv(socket.fd(), part.data(), part.size(), MSG_DONTWAIT);
    if (got < 0 && net::is_transient(errno)) return;
    if (got < 0 || (got == 0 && responded)) return owner.close_caller(*this);
    if (responded) return;  // only the first line is a call
    const auto state = got == 0 ? reader.finish() : reader.add({part.data(), static_cast<std::size_t>(got)});
    if (state == manage::LineReader::State::kOpen) {
      if (got == 0) owner.close_caller(*this);
      return;
    }
    half_closed = got == 0;
    respond(state);
  }

  void respond(manage::LineReader::State state) {
    responded = true;
    const manage::ParsedCall parsed = state == manage::LineReader::State::kTooLong
                                          ? manage::ParsedCall{std::nullopt, "a call of over 512 bytes"}
                                          : manage::parse_call(reader.line());
    if (parsed.call) {
      ++owner.counters_.calls;
      output = response_to(*parsed.call);
    } else {
      ++owner.counters_.refused;
      output = manage::error_response(parsed.cause);
    }
    on_writable();
  }

  void on_writable() override {
    const ssize_t sent = ::send(socket.fd(), output.data(), output.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && !net::is_transient(errno)) return owner.close_caller(*this);
    output.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
    if (output.empty() && half_closed) return owner.close_caller(*this);
    watch.want_write(!output.empty());
    if (half_closed) watch.want_read(false);
    // Only the sending half: closing with unread bytes would reset the connection and lose the response.
    if (output.empty()) ::shutdown(socket.fd(), SHUT_WR);
  }

  std::string response_to(const manage::Call& call) const {
    try {
      return owner.handle_call_(call);
    } catch (const std::exception& error) {
      spdlog::error("admin server: a call failed: {}", error.what());
      return manage::error_response("failed within this node");
    }
  }

  AdminServer& owner;
  const Millis accepted_at;
  net::Descriptor socket;
  Watch watch;
  manage::LineReader reader;
  bool responded = false;
  bool half_closed = false;  // the caller has closed its sending half
  std::string output;
};

AdminServer::AdminServer(Loop& loop, const Poco::Net::SocketAddress& address, CallHandler handle_call)
    : loop_(loop), handle_call_(std::move(handle_call)) {
  socket_.bind(address, true, false);
  socket_.listen(kBacklog);
  socket_.setBlocking(false);
  watch_ = std::make_unique<Watch>(loop_, socket_, *this, true, false);
  close_expired();
}

AdminServer::~AdminServer() {
  loop_.cancel(expiry_timer_);
  loop_.cancel(accept_timer_);
}

void AdminServer::on_readable() {
  for (int n = 0; n < kMaxAcceptsPerTurn; ++n) {
    const int fd = ::accept4(socket_.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (net::is_per_connection(errno)) continue;
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      // The pending connection keeps the listener readable, so the loop would spin.
      spdlog::error("admin server: cannot accept a connection now: {}", std::strerror(errno));
      watch_->want_read(false);
      loop_.cancel(accept_timer_);
      accept_timer_ = loop_.after(kAcceptRetryInterval, [this] { watch_->want_read(true); });
      return;
    }
    evict_if_full();
    const auto caller = std::make_shared<Caller>(*this, fd);
    callers_.push_back(caller);
    caller->on_readable();  // the line has usually arrived already
  }
}

// Evicts a caller that has its response, else the one that has been connected longest.
void AdminServer::evict_if_full() {
  if (callers_.size() < kMaxCallers) return;
  const auto done = std::find_if(callers_.begin(), callers_.end(),
                                 [](const auto& one) { return one->responded && one->output.empty(); });
  ++counters_.evicted;
  close_caller(done != callers_.end() ? **done : *callers_.front());
}

// The object is destroyed later, as this may run within its own handler.
void AdminServer::close_caller(Caller& caller) {
  const auto it = std::find_if(callers_.begin(), callers_.end(),
                               [&caller](const auto& one) { return one.get() == &caller; });
  if (it == callers_.end()) return;
  ::shutdown(caller.socket.fd(), SHUT_RDWR);
  loop_.later([hold = *it] {});
  callers_.erase(it);
}

void AdminServer::close_expired() {
  const Millis now = loop_.now();
  while (!callers_.empty() && now - callers_.front()->accepted_at >= kMaxConnectionTime) {
    ++counters_.timed_out;
    close_caller(*callers_.front());
  }
  expiry_timer_ = loop_.after(kExpiryCheckInterval, [this] { close_expired(); });
}

}  // namespace shorelead::node
