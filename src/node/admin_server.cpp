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

constexpr Millis kMaxConnectionTime = 10000;  // for which a caller may hold its connection, whole call or not
constexpr Millis kAcceptRetryInterval = 20;   // after callers could not be taken in
constexpr Millis kExpiryCheckInterval = 500;
constexpr int kBacklog = 64;
constexpr int kMaxAcceptsPerTurn = 16;  // in one turn, so that a flood of callers leaves time for clients

}  // namespace

// One caller. Not a Stream: whoever has closed its half still gets its answer, and the node's count of
// descriptors is for clients and backends.
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
    if (got < 0 && net::passes(errno)) return;
    if (got < 0 || (got == 0 && responded)) return owner.close_caller(*this);
    if (responded) return;  // a line behind the first is not asked for
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
    if (sent < 0 && !net::passes(errno)) return owner.close_caller(*this);
    output.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
    if (output.empty() && half_closed) return owner.close_caller(*this);
    watch.want_write(!output.empty());
    if (half_closed) watch.want_read(false);
    // By halves: a close with bytes unread would reset the connection and take the answer along.
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
  bool half_closed = false;  // it has closed its half
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
      if (net::of_one_connection(errno)) continue;
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      // Whoever waits is told of again and again, and the loop would spin.
      spdlog::error("admin server: cannot accept a connection now: {}", std::strerror(errno));
      watch_->want_read(false);
      loop_.cancel(accept_timer_);
      accept_timer_ = loop_.after(kAcceptRetryInterval, [this] { watch_->want_read(true); });
      return;
    }
    evict_if_full();
    const auto caller = std::make_shared<Caller>(*this, fd);
    callers_.push_back(caller);
    caller->on_readable();  // its line mostly came along
  }
}

// Who had its answer goes first, then whoever has held its connection for longest without a whole call.
void AdminServer::evict_if_full() {
  if (callers_.size() < kMaxCallers) return;
  const auto done = std::find_if(callers_.begin(), callers_.end(),
                                 [](const auto& one) { return one->responded && one->output.empty(); });
  ++counters_.evicted;
  close_caller(done != callers_.end() ? **done : *callers_.front());
}

// Freed once the handler at hand, which may be its own, is done; but its descriptor is free from now on.
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
