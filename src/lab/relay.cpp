#include "lab/relay.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "lab/dial.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr int kBacklog = 64;
constexpr int kFillers = 3;  // a queue of length 0 still takes one

void end_hard(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

// A process's connection and the one to the member that belongs to it.
class Relay::Pair : public std::enable_shared_from_this<Pair> {
 public:
  Pair(Relay& owner, tcp::socket near)
      : owner_(owner),
        near_(std::move(near)),
        far_(owner.context_),
        asks_{near_, far_, owner.context_},
        answers_{far_, near_, owner.context_} {}

  void start() {
    far_.async_connect(endpoint_of(owner_.target_), [self = shared_from_this()](const error_code& error) {
      if (self->ended_) return;
      if (error) return self->end();
      error_code ignored;
      self->near_.set_option(tcp::no_delay(true), ignored);
      self->far_.set_option(tcp::no_delay(true), ignored);
      self->pass(self->asks_);
      self->pass(self->answers_);
    });
  }

  void end() {
    if (ended_) return;
    ended_ = true;
    asks_.wait.cancel();
    answers_.wait.cancel();
    end_hard(near_);
    end_hard(far_);
    owner_.pairs_.erase(shared_from_this());
  }

  bool lost_some() const { return lost_some_; }
  void lose() { lost_some_ = true; }

 private:
  struct Way {
    tcp::socket& from;
    tcp::socket& to;
    Alarm wait;
    std::array<char, 8192> part{};
    Way(tcp::socket& from, tcp::socket& to, asio::io_context& context) : from(from), to(to), wait(context) {}
  };

  bool lost(const Way& way) const {
    return owner_.cut_ == Cut::kBoth || (owner_.cut_ == Cut::kAsks && &way == &asks_) ||
           (owner_.cut_ == Cut::kAnswers && &way == &answers_);
  }

  void pass(Way& way) {
    way.from.async_read_some(asio::buffer(way.part),
                             [self = shared_from_this(), &way](const error_code& error, std::size_t size) {
                               if (self->ended_) return;
                               if (self->lost(way)) {
                                 // An end is lost as well; the connection is reset when the cut ends.
                                 self->lost_some_ = true;
                                 return error ? void() : self->pass(way);
                               }
                               if (error) return self->finish(way);
                               if (self->owner_.latency_ <= 0) return self->write(way, size);
                               way.wait.at(clock_now() + self->owner_.latency_, nullptr,
                                           [self, &way, size] { self->write(way, size); });
                             });
  }

  void write(Way& way, std::size_t size) {
    if (ended_) return;
    if (lost(way)) {
      lost_some_ = true;
      return pass(way);
    }
    const bool last = &way == &answers_ && owner_.faults_.chance(owner_.share_);
    if (last) size = owner_.faults_.whole(size);
    asio::async_write(way.to, asio::buffer(way.part, size),
                      [self = shared_from_this(), &way, last](const error_code& error, std::size_t) {
                        if (self->ended_) return;
                        if (error || last) return self->end();
                        self->pass(way);
                      });
  }

  // One side has ended: the other is told, and answers may still come.
  void finish(Way& way) {
    error_code ignored;
    way.to.shutdown(tcp::socket::shutdown_send, ignored);
    if (&way == &answers_ || ++halves_ == 2) return end();
  }

  Relay& owner_;
  tcp::socket near_;
  tcp::socket far_;
  Way asks_;
  Way answers_;
  int halves_ = 0;
  bool lost_some_ = false;
  bool ended_ = false;
};

Relay::Relay(asio::io_context& context, const std::string& address, std::string target, Draw& faults)
    : context_(context),
      target_(std::move(target)),
      faults_(faults),
      at_(asio::ip::make_address(address), 0),
      acceptor_(context) {
  listen();
}

Relay::~Relay() { end_all(); }

std::string Relay::dial() const { return at_.address().to_string() + ":" + std::to_string(at_.port()); }

void Relay::listen() {
  acceptor_.open(at_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at_);
  at_ = acceptor_.local_endpoint();
  acceptor_.listen(kBacklog);
  accept();
}

void Relay::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error) return;
    const auto pair = std::make_shared<Pair>(*this, std::move(socket));
    pairs_.insert(pair);
    if (cut_ == Cut::kBoth) {  // it came up at the last moment
      pair->lose();
      return;
    }
    pair->start();
    accept();
  });
}

void Relay::stuff(bool on) {
  error_code ignored;
  if (!on) {
    // With a new queue: what stood in the old one must not get through.
    stuffing_.clear();
    acceptor_.close(ignored);
    return listen();
  }
  acceptor_.cancel(ignored);
  ::listen(acceptor_.native_handle(), 0);
  stuffing_.reserve(kFillers);
  for (int n = 0; n < kFillers; ++n) {
    tcp::socket& filler = stuffing_.emplace_back(context_, tcp::v4());
    filler.async_connect(at_, [](const error_code&) {});
  }
}

void Relay::cut(Cut way) {
  if (way == cut_) return;
  const Cut before = std::exchange(cut_, way);
  if (down_) return;
  if (way == Cut::kBoth) {
    stuff(true);
    for (const auto& pair : pairs_) pair->lose();
  } else if (before == Cut::kBoth) {
    stuff(false);
  }
  if (way != Cut::kNone) return;
  const auto pairs = pairs_;
  for (const auto& pair : pairs) {
    if (pair->lost_some()) pair->end();
  }
}

void Relay::down(bool on) {
  if (on == down_) return;
  down_ = on;
  error_code ignored;
  stuffing_.clear();
  if (on) {
    acceptor_.close(ignored);
    return end_all();
  }
  listen();
  if (cut_ == Cut::kBoth) stuff(true);
}

void Relay::end_all() {
  const auto pairs = pairs_;
  for (const auto& pair : pairs) pair->end();
}

}  // namespace shorelead::lab
