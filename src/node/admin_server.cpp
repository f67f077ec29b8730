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

constexpr Millis kMostHold = 10000;  // for which a caller may hold its connection, whole call or not
constexpr Millis kAcceptAgain = 20;  // after callers could not be taken in
constexpr Millis kSweepEvery = 500;
constexpr int kBacklog = 64;
constexpr int kMostAccepts = 16;  // in one turn, so that a flood of callers leaves time for clients

}  // namespace

// One caller. Not a Stream: whoever has closed its half still gets its answer, and the node's count of
// descriptors is for clients and backends.
class AdminServer::Caller : public Watch::Handler {
 public:
  Caller(AdminServer& owner, int fd)
      : owner(owner), since(owner.loop_.now()), socket(fd), watch(owner.loop_, socket, *this, true, false) {}

  void on_readable() override {
    std::array<char, 1024> part;
    const ssize_t got = ::recv(socket.fd(), part.data(), part.size(), MSG_DONTWAIT);
    if (got < 0 && net::passes(errno)) return;
    if (got < 0 || (got == 0 && answered)) return owner.forget(*this);
    if (answered) return;  // a line behind the first is not asked for
    const auto state = got == 0 ? reader.finish() : reader.add({part.data(), static_cast<std::size_t>(got)});
    if (state == manage::LineReader::State::kOpen) {
      if (got == 0) owner.forget(*this);
      return;
    }
    ended = got == 0;
    answer(state);
  }

  void answer(manage::LineReader::State state) {
    answered = true;
    const manage::Reading reading = state == manage::LineReader::State::kTooLong
                                        ? manage::Reading{std::nullopt, "a call of over 512 bytes"}
                                        : manage::read_call(reader.line());
    if (reading.call) {
      ++owner.counters_.calls;
      output = answer_to(*reading.call);
    } else {
      ++owner.counters_.refused;
      output = manage::no(reading.cause);
    }
    on_writable();
  }

  void on_writable() override {
    const ssize_t sent = ::send(socket.fd(), output.data(), output.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && !net::passes(errno)) return owner.forget(*this);
    output.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
    if (output.empty() && ended) return owner.forget(*this);
    watch.want_write(!output.empty());
    if (ended) watch.want_read(false);
    // By halves: a close with bytes unread would reset the connection and take the answer along.
    if (output.empty()) ::shutdown(socket.fd(), SHUT_WR);
  }

  std::string answer_to(const manage::Call& call) const {
    try {
      return owner.answer_(call);
    } catch (const std::exception& error) {
      spdlog::error("a call failed within this node: {}", error.what());
      return manage::no("failed within this node");
    }
  }

  AdminServer& owner;
  const Millis since;
  net::Descriptor socket;
  Watch watch;
  manage::LineReader reader;
  bool answered = false;
  bool ended = false;  // it has closed its half
  std::string output;
};

AdminServer::AdminServer(Loop& loop, const Poco::Net::SocketAddress& address, Answer answer)
    : loop_(loop), answer_(std::move(answer)) {
  socket_.bind(address, true, false);
  socket_.listen(kBacklog);
  socket_.setBlocking(false);
  watch_ = std::make_unique<Watch>(loop_, socket_, *this, true, false);
  sweep();
}

AdminServer::~AdminServer() {
  loop_.cancel(sweep_);
  loop_.cancel(resume_);
}

void AdminServer::on_readable() {
  for (int n = 0; n < kMostAccepts; ++n) {
    const int fd = ::accept4(socket_.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (net::of_one_connection(errno)) continue;
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      // Whoever waits is told of again and again, and the loop would spin.
      spdlog::error("door: no caller can be taken in now: {}", std::strerror(errno));
      watch_->want_read(false);
      loop_.cancel(resume_);
      resume_ = loop_.after(kAcceptAgain, [this] { watch_->want_read(true); });
      return;
    }
    make_room();
    const auto caller = std::make_shared<Caller>(*this, fd);
    callers_.push_back(caller);
    caller->on_readable();  // its line mostly came along
  }
}

// Who had its answer goes first, then whoever has held its connection for longest without a whole call.
void AdminServer::make_room() {
  if (callers_.size() < kMostCallers) return;
  const auto done = std::find_if(callers_.begin(), callers_.end(),
                                 [](const auto& one) { return one->answered && one->output.empty(); });
  ++counters_.cut;
  forget(done != callers_.end() ? **done : *callers_.front());
}

// Freed once the handler at hand, which may be its own, is done; but its descriptor is free from now on.
void AdminServer::forget(Caller& caller) {
  const auto it = std::find_if(callers_.begin(), callers_.end(),
                               [&caller](const auto& one) { return one.get() == &caller; });
  if (it == callers_.end()) return;
  ::shutdown(caller.socket.fd(), SHUT_RDWR);
  loop_.later([hold = *it] {});
  callers_.erase(it);
}

void AdminServer::sweep() {
  const Millis now = loop_.now();
  while (!callers_.empty() && now - callers_.front()->since >= kMostHold) {
    ++counters_.silent;
    forget(*callers_.front());
  }
  sweep_ = loop_.after(kSweepEvery, [this] { sweep(); });
}

}  // namespace shorelead::node
