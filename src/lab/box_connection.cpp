#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "lab/box_link.h"
#include "lab/crowd.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kNoLine = static_cast<std::size_t>(-1);
constexpr std::uint64_t kMostBody = 256U << 10;

std::string head(int status, const std::string& fields, std::size_t length) {
  const char* const words = status == 200 ? "OK" : status == 500 ? "Internal Server Error" : "Unavailable";
  return "HTTP/1.1 " + std::to_string(status) + " " + words + "\r\n" + fields +
         "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

void end_hard(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

Box::Connection::Connection(std::shared_ptr<Box> box, Link& link, tcp::socket socket)
    : box_(std::move(box)),
      link_(link),
      socket_(std::move(socket)),
      timer_(link.world_.context),
      line_(kNoLine) {
  parser_.emplace();
  set_up();
}

void Box::Connection::read() {
  if (closed_) return;
  socket_.async_read_some(asio::buffer(part_),
                          [self = shared_from_this()](const error_code& error, std::size_t size) {
                            if (self->closed_ || self->link_.state_.hole) return;  // what comes later is lost
                            if (error) return self->ended();
                            self->input_.append(self->part_.data(), size);
                            if (!self->busy_) self->parse();
                            self->read();
                          });
}

void Box::Connection::die() {
  if (closed_) return;
  closed_ = true;
  timer_.cancel();
  end_hard(socket_);
  // Guards against an attempt that was still on its way in when the box died and stayed open on record for
  // good: whatever the node sent next was taken for a second one at once.
  if (line_ != kNoLine) box_->cut(line_);
}

void Box::Connection::close_unused() {
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
}

void Box::Connection::turn_away(std::size_t line) {
  box_->world_.ledger[line].end = BoxEnd::kRejected;
  send(line, head(503, "X-Not-Processed: 1\r\n" + box_->load_field(), 0), 503);
}

void Box::Connection::answer(std::size_t line, bool erred) {
  Arrived& record = box_->world_.ledger[line];
  const ClassSpec& spec = box_->world_.experiment.classes[static_cast<std::size_t>(record.request_class)];
  std::string body =
      "id=" + record.id + ";run=" + std::to_string(record.serial) + ";box=" + box_->note_.host + ";";
  body.append(static_cast<std::size_t>(spec.body), 'x');
  if (erred) body.clear();
  record.end = erred ? BoxEnd::kErred : BoxEnd::kServed;
  const int status = erred ? 500 : 200;
  send(line, head(status, box_->load_field(), body.size()) + body, status);
}

void Box::Connection::answer_crowd() {
  write(head(200, box_->load_field(), kCrowdAnswer) + std::string(kCrowdAnswer, 'x'), [this] { next(); });
}

void Box::Connection::set_up() {
  parser_->eager(true);
  parser_->body_limit(kMostBody);
  unused_since_ = clock_now();
}

Millis Box::Connection::one_way() {
  const LinkState& state = link_.state_;
  if (state.latency <= 0) return 0;
  return state.latency + box_->world_.faults.uniform(-state.jitter, state.jitter);
}

void Box::Connection::parse() {
  if (!input_.empty() && first_byte_ == 0) first_byte_ = clock_now();
  error_code error;
  const std::size_t used = parser_->put(asio::buffer(input_), error);
  input_.erase(0, used);
  if (error == http::error::need_more) return;
  if (error) return refuse(400);
  if (!parser_->is_done()) return;
  busy_ = true;
  take();
}

void Box::Connection::refuse(int status) {
  ++box_->world_.bad_requests;
  busy_ = true;
  closing_ = true;
  write(head(status, "Connection: close\r\n", 0), [this] { shut(); });
}

void Box::Connection::take() {
  const auto& message = parser_->get();
  const std::string target(message.target());
  if (target == "/-/healthy" || target == "/-/load") return probe(target == "/-/load");
  const std::string id(message["X-Request-ID"]);
  if (id.empty()) return refuse(404);
  if (id.rfind("bad-", 0) == 0) return refuse(400);  // a bad client's, which no node should have passed on
  if (id.rfind(kCrowdId, 0) == 0) return answer_crowd();
  const std::string name = target.substr(1, target.find_first_of("/?", 1) - 1);
  const Experiment& experiment = box_->world_.experiment;
  const auto& classes = experiment.classes;
  const auto known = std::find_if(classes.begin(), classes.end(),
                                  [&name](const ClassSpec& spec) { return spec.rules.name == name; });
  if (known == classes.end()) return refuse(404);
  Arrived record;
  record.serial = box_->world_.ledger.size() + 1;
  record.id = id;
  record.key = std::string(message["Idempotency-Key"]);
  record.request_class = static_cast<int>(known - classes.begin());
  record.box = box_->number_;
  record.node = link_.node_;
  record.first_byte = first_byte_;
  record.last_byte = clock_now();
  line_ = box_->world_.ledger.size();
  box_->world_.ledger.push_back(std::move(record));
  const Millis extra = std::exchange(fresh_, false) ? experiment.fleet.spec.connection_work : 0;
  after_way(
      [self = shared_from_this(), extra, basket = std::string(message[experiment.clients.basket_header])] {
        self->box_->take(self, self->line_, extra, basket);
      });
}

// What is sent this way arrives after the link's time, and not while the box stands still.
void Box::Connection::after_way(std::function<void()> task) {
  const Millis now = clock_now();
  const Millis at = std::max(now + one_way(), box_->stalled_until_);
  if (at <= now) return task();
  timer_.expires_at(clock_point(at));
  timer_.async_wait([self = shared_from_this(), task = std::move(task)](const error_code& error) {
    if (!error && !self->closed_ && !self->link_.state_.hole) task();
  });
}

void Box::Connection::wait(Millis time, std::function<void()> task) {
  timer_.expires_at(clock_point(clock_now() + time));
  timer_.async_wait([self = shared_from_this(), task = std::move(task)](const error_code& error) {
    if (!error && !self->closed_) task();
  });
}

void Box::Connection::probe(bool with_load) {
  ++box_->world_.probes;
  after_way([self = shared_from_this(), with_load] {
    std::string body;
    const std::string field = self->box_->load_field();
    if (with_load && !field.empty())
      body = field.substr(field.find(' ') + 1, field.size() - field.find(' ') - 3);
    const bool ready = self->box_->draining_since_ == 0;
    self->after_way([self, text = head(ready ? 200 : 503, field, body.size()) + body] {
      self->write(text, [self] { self->next(); });
    });
  });
}

void Box::Connection::send(std::size_t line, std::string text, int status) {
  const LinkState& state = link_.state_;
  const bool hurt = status == 200 && !state.fault.empty() && box_->world_.faults.chance(state.share);
  after_way([self = shared_from_this(), line, text = std::move(text), fault = hurt ? state.fault : "",
             bytes = static_cast<std::size_t>(state.after_bytes)] {
    pass_answer(self, self->box_->world_, line, text, fault, bytes);
  });
}

void Box::Connection::write(std::string text, std::function<void()> done) {
  if (closed_ || link_.state_.hole) return;
  auto held = std::make_shared<std::string>(std::move(text));
  asio::async_write(
      socket_, asio::buffer(*held),
      [self = shared_from_this(), held, done = std::move(done)](const error_code& error, std::size_t) {
        if (self->closed_) return;
        if (error) return self->ended();
        done();
      });
}

void Box::Connection::next() {
  if (closed_) return;
  busy_ = false;
  first_byte_ = 0;
  line_ = kNoLine;
  parser_.emplace();
  set_up();
  if (!input_.empty()) parse();
}

void Box::Connection::shut() {
  if (closed_) return;
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  closing_ = true;  // the rest is closed when the other side does, or by the sweep
  busy_ = false;
}

void Box::Connection::reset() {
  die();
  link_.connections_.erase(shared_from_this());
}

// The other side ended the connection.
void Box::Connection::ended() {
  const auto self = shared_from_this();
  closed_ = true;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  if (busy_ && !closing_ && line_ < box_->world_.ledger.size()) box_->gone(line_);
  link_.connections_.erase(self);
}

}  // namespace shorelead::lab
