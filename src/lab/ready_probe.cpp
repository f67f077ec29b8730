#include "lab/ready_probe.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <string_view>
#include <utility>

#include "lab/dial.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::chrono::milliseconds kWait{100};  // then it is asked again, by whoever wants to know
constexpr std::size_t kStatus = 12;              // bytes, up to the status

class Question : public std::enable_shared_from_this<Question> {
 public:
  Question(asio::io_context& context, std::function<void(bool)> answered)
      : socket_(context), timer_(context), answered_(std::move(answered)) {}

  void ask(const std::string& dial) {
    timer_.expires_after(kWait);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->end(false);
    });
    socket_.async_connect(endpoint_of(dial), [self = shared_from_this()](const error_code& error) {
      error ? self->end(false) : self->write();
    });
  }

 private:
  void write() {
    asio::async_write(socket_, asio::buffer(kText),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        error ? self->end(false) : self->read();
                      });
  }
  void read() {
    asio::async_read(socket_, asio::buffer(status_),
                     [self = shared_from_this()](const error_code& error, std::size_t) {
                       self->end(!error && std::string_view(self->status_.data() + 9, 3) == "200");
                     });
  }
  void end(bool ready) {
    const auto answered = std::exchange(answered_, nullptr);
    if (!answered) return;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    answered(ready);
  }

  static constexpr std::string_view kText =
      "GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n";
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::function<void(bool)> answered_;
  std::array<char, kStatus> status_{};
};

}  // namespace

void ask_ready(asio::io_context& context, const std::string& dial, std::function<void(bool)> answered) {
  std::make_shared<Question>(context, std::move(answered))->ask(dial);
}

}  // namespace shorelead::lab
