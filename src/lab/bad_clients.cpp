#include "lab/bad_clients.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "lab/dial.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr Millis kOwedWithin = 3000;
constexpr std::size_t kPart = 64U << 10;  // of a body that has no end

}  // namespace

class BadClients::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(BadClients& owner, std::size_t record, std::string text, bool endless)
      : owner_(owner),
        record_(record),
        text_(std::move(text)),
        endless_(endless),
        socket_(owner.context_),
        timer_(owner.context_) {}

  void start(const tcp::endpoint& to) {
    timer_.expires_at(clock_point(clock_now() + kOwedWithin));
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->end(false);
    });
    socket_.async_connect(to, [self = shared_from_this()](const error_code& error) {
      if (self->done_) return;
      if (error) return self->end(true);
      self->write();
      self->read();
    });
  }

 private:
  void write() {
    asio::async_write(socket_, asio::buffer(text_),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        if (error || self->done_ || !self->endless_) return;
                        self->text_.assign(kPart, 'x');
                        self->write();
                      });
  }

  void read() {
    socket_.async_read_some(
        asio::buffer(part_), [self = shared_from_this()](const error_code& error, std::size_t size) {
          if (self->done_) return;
          if (error) return self->end(true);
          self->input_.append(self->part_.data(), size);
          const std::string_view seen = self->input_;
          if (seen.size() >= 12 && seen.rfind("HTTP/1.1 ", 0) == 0 && seen.substr(9, 3) != "100") {
            self->owner_.records_[self->record_].status = std::atoi(std::string(seen.substr(9, 3)).c_str());
            return self->end(true);
          }
          self->read();
        });
  }

  void end(bool settled) {
    if (done_) return;
    done_ = true;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    BadClient& record = owner_.records_[record_];
    record.ended = clock_now();
    record.settled = settled && (record.status == 0 || record.status >= 400);
  }

  BadClients& owner_;
  const std::size_t record_;
  std::string text_;
  const bool endless_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 4096> part_;
  std::string input_;
  bool done_ = false;
};

BadClients::BadClients(asio::io_context& context, const Experiment& experiment, Front& front)
    : context_(context),
      experiment_(experiment),
      front_(front),
      draw_(experiment.seed, "bad clients"),
      alarm_(context) {}

std::string BadClients::nonsense(const std::string& kind) {
  const std::string id = "X-Request-ID: bad-" + draw_.hex(12) + "\r\n";
  const std::string name = experiment_.classes[0].rules.name;
  const auto ask = [&](const std::string& path, const std::string& fields) {
    return "POST /" + path + " HTTP/1.1\r\nHost: origin.svc\r\n" + fields + "\r\n";
  };
  if (kind == "noise") {
    std::string noise = draw_.hex(300);
    for (char& c : noise) c = static_cast<char>(128 + c);
    return noise + "\r\n\r\n";
  }
  if (kind == "endless_head") return ask(name, id).substr(0, 40) + "\r\nX-More: " + std::string(200000, 'y');
  if (kind == "bad_length") return ask(name, id + "Content-Length: twelve\r\n");
  if (kind == "negative_length") return ask(name, id + "Content-Length: -5\r\n");
  if (kind == "huge_length") return ask(name, id + "Content-Length: 99999999999999999999999\r\n");
  if (kind == "big_body") return ask(name, id + "Content-Length: 62914560\r\n");
  if (kind == "no_class") return ask("there-is-no-such-class", id + "Content-Length: 0\r\n");
  if (kind == "bad_deadline") return ask(name, id + "X-Timeout-Ms: soon\r\nContent-Length: 0\r\n");
  if (kind == "no_id") return ask(name, "Content-Length: 0\r\n");
  if (kind == "half") return ask(name, id + "Content-Length: 100\r\n") + "only half of it";
  if (kind == "two_lengths") return ask(name, id + "Content-Length: 3\r\nContent-Length: 5\r\n") + "abcde";
  if (kind == "both_framings") {
    return ask(name, id + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" +
           ask(name, "X-Request-ID: bad-hidden-" + draw_.hex(8) + "\r\nContent-Length: 0\r\n");
  }
  if (kind == "bare_lf") return "POST /" + name + " HTTP/1.1\n" + "X Y\n\n";
  if (kind == "space_in_name") return ask(name, id + "Content-Length : 0\r\n");
  return "";  // silent
}

void BadClients::run(Millis begin, Millis until) {
  if (experiment_.clients.bad_per_second <= 0) return;
  until_ = until;
  alarm_.at(begin, nullptr, [this] { next(); });
}

void BadClients::next() {
  if (clock_now() >= until_) return;
  const std::string& kind = experiment_.clients.bad_kinds[kind_++ % experiment_.clients.bad_kinds.size()];
  const auto node = static_cast<std::size_t>(draw_.whole(front_.addresses.size()));
  if (front_.taken_in[node]) {
    const std::size_t record = records_.size();
    records_.push_back({kind, clock_now(), 0, 0, false});
    auto client = std::make_shared<Client>(*this, record, nonsense(kind), kind == "big_body");
    client->start(endpoint_of(front_.addresses[node]));
  }
  alarm_.at(clock_now() + draw_.exponential(1000 / experiment_.clients.bad_per_second), nullptr,
            [this] { next(); });
}

void BadClients::collect(Run& run) {
  for (BadClient& record : records_) {
    // One still waiting when the run ended is judged by the time it had.
    if (record.ended == 0 && clock_now() - record.began < kOwedWithin) record.settled = true;
  }
  run.bad_clients = std::move(records_);
}

}  // namespace shorelead::lab
