#include "lab/box.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdio>
#include <optional>

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr int kBacklog = 512;
constexpr int kFillers = 3;  // a queue of length 0 still takes one
constexpr Millis kSweepEvery = 500;
constexpr Millis kDripEvery = 10;  // a byte each
constexpr std::size_t kEndlessPart = 4096;
constexpr std::size_t kEndlessMost = 4U << 20;
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

class Box::Link {
 public:
  Link(World& world, Box& box, int node, const std::string& address, unsigned short port)
      : world_(world), box_(box), node_(node), acceptor_(world.context) {
    const tcp::endpoint at(asio::ip::make_address(address), port);
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen(kBacklog);
  }

  void accept();
  void hole(bool on);
  void close();
  unsigned short port() const { return acceptor_.local_endpoint().port(); }

  World& world_;
  Box& box_;
  const int node_;
  tcp::acceptor acceptor_;
  LinkState state_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::vector<tcp::socket> stuffing_;  // keeps the listener's queue full while nothing passes
};

class Box::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Box> box, Link& link, tcp::socket socket)
      : box_(std::move(box)), link_(link), socket_(std::move(socket)), timer_(link.world_.context) {
    parser_.emplace();
    set_up();
  }

  void read() {
    if (closed_) return;
    socket_.async_read_some(asio::buffer(part_),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              if (self->closed_ || self->link_.state_.hole)
                                return;  // what comes later is lost
                              if (error) return self->ended();
                              self->input_.append(self->part_.data(), size);
                              if (!self->busy_) self->parse();
                              self->read();
                            });
  }

  // The box's process, or its machine, is gone.
  void reset() {
    if (closed_) return;
    closed_ = true;
    timer_.cancel();
    end_hard(socket_);
    // Guards against an attempt that was still on its way in when the box died and stayed open on record for
    // good: whatever the node sent next was taken for a second one at once.
    if (line_ != kNoLine) box_->cut(line_);
  }

  void close_unused() {
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
  }

  void turn_away(std::size_t line) {
    box_->world_.ledger[line].end = BoxEnd::kTurnedAway;
    send(line, head(503, "X-Not-Processed: 1\r\n" + box_->load_field(), 0), "", 503);
  }

  // The model has finished this request.
  void answer(std::size_t line, bool erred) {
    Arrived& record = box_->world_.ledger[line];
    const ClassSpec& spec = box_->world_.experiment.classes[static_cast<std::size_t>(record.request_class)];
    std::string body =
        "id=" + record.id + ";run=" + std::to_string(record.serial) + ";box=" + box_->note_.host + ";";
    body.append(static_cast<std::size_t>(spec.body), 'x');
    if (erred) body.clear();
    record.end = erred ? BoxEnd::kErred : BoxEnd::kServed;
    send(line, head(erred ? 500 : 200, box_->load_field(), body.size()), body, erred ? 500 : 200);
  }

  bool idle(Millis now, Millis least) const {
    return !busy_ && input_.empty() && now - unused_since_ >= least;
  }
  bool busy() const { return busy_; }
  std::size_t line() const { return line_; }

 private:
  void set_up() {
    parser_->eager(true);
    parser_->body_limit(kMostBody);
    unused_since_ = clock_now();
  }

  Millis one_way() {
    const LinkState& state = link_.state_;
    if (state.latency <= 0) return 0;
    return state.latency + box_->world_.faults.uniform(-state.jitter, state.jitter);
  }

  void parse() {
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

  void refuse(int status) {
    ++box_->world_.bad_requests;
    busy_ = true;
    closing_ = true;
    write(head(status, "Connection: close\r\n", 0), [this] { end(); });
  }

  void take() {
    const auto& message = parser_->get();
    const std::string target(message.target());
    if (target == "/-/healthy" || target == "/-/load") return probe(target == "/-/load");
    const std::string id(message["X-Request-ID"]);
    if (id.empty()) return refuse(404);
    if (id.rfind("bad-", 0) == 0) return refuse(400);  // a bad client's, which no node should have passed on
    const std::string name = target.substr(1, target.find_first_of("/?", 1) - 1);
    const auto& classes = box_->world_.experiment.classes;
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
    const Millis extra =
        std::exchange(fresh_, false) ? box_->world_.experiment.fleet.spec.connection_work : 0;
    after_way([self = shared_from_this(), extra] { self->box_->take(self, self->line_, extra); });
  }

  // What is sent this way arrives after the link's time, and not while the box stands still.
  template <typename Task>
  void after_way(Task task) {
    const Millis now = clock_now();
    const Millis at = std::max(now + one_way(), box_->stalled_until_);
    if (at <= now) return task();
    timer_.expires_at(clock_point(at));
    timer_.async_wait([self = shared_from_this(), task = std::move(task)](const error_code& error) mutable {
      if (!error && !self->closed_ && !self->link_.state_.hole) task();
    });
  }

  void probe(bool with_load) {
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

  void send(std::size_t line, std::string top, const std::string& body, int status) {
    const LinkState& state = link_.state_;
    const bool hurt = status == 200 && !state.fault.empty() && box_->world_.faults.chance(state.share);
    std::string text = std::move(top) + body;
    after_way(
        [self = shared_from_this(), line, text = std::move(text), fault = hurt ? state.fault : "",
         bytes = static_cast<std::size_t>(state.after_bytes)] { self->pass(line, text, fault, bytes); });
  }

  Arrived& record(std::size_t line) { return box_->world_.ledger[line]; }

  void pass(std::size_t line, const std::string& text, const std::string& fault, std::size_t bytes) {
    if (fault.empty()) return whole(line, text);
    if (fault == "second") return whole(line, text + text);
    if (fault == "interim")
      return whole(line, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + text);
    if (fault == "drip") return drip(line, text, 0);
    record(line).end = BoxEnd::kSpoilt;
    if (fault == "noise") {
      std::string noise = box_->world_.faults.hex(200);
      for (std::size_t n = 0; n < noise.size(); n += 7) noise[n] = static_cast<char>(128 + n);
      return write(noise + "\r\n\r\n", [] {});  // the connection stays open and is of no further use
    }
    if (fault == "endless") return endless("HTTP/1.1 200 OK\r\n", 0);
    const std::string part = text.substr(0, std::min(bytes, text.size() - 1));
    if (fault == "reset") {
      if (part.empty()) return reset_now();
      return write(part, [self = shared_from_this()] { self->reset_now(); });
    }
    if (part.empty()) return end();
    write(part, [self = shared_from_this()] { self->end(); });  // truncate
  }

  void whole(std::size_t line, const std::string& text) {
    record(line).answered = clock_now();
    write(text, [self = shared_from_this()] { self->next(); });
  }

  void drip(std::size_t line, const std::string& text, std::size_t at) {
    if (at >= text.size()) {
      record(line).answered = clock_now();
      return next();
    }
    write(text.substr(at, 1), [self = shared_from_this(), line, text, at] {
      self->timer_.expires_at(clock_point(clock_now() + kDripEvery));
      self->timer_.async_wait([self, line, text, at](const error_code& error) {
        if (!error && !self->closed_) self->drip(line, text, at + 1);
      });
    });
  }

  void endless(const std::string& text, std::size_t so_far) {
    if (so_far > kEndlessMost) return end();
    write(text, [self = shared_from_this(), size = so_far + text.size()] {
      std::string more;
      while (more.size() < kEndlessPart) more += "X-More: " + self->box_->world_.faults.hex(48) + "\r\n";
      self->endless(more, size);
    });
  }

  template <typename Done>
  void write(std::string text, Done done) {
    if (closed_ || link_.state_.hole) return;
    auto held = std::make_shared<std::string>(std::move(text));
    asio::async_write(socket_, asio::buffer(*held),
                      [self = shared_from_this(), held, done = std::move(done)](const error_code& error,
                                                                                std::size_t) mutable {
                        if (self->closed_) return;
                        if (error) return self->ended();
                        done();
                      });
  }

  void next() {
    if (closed_) return;
    busy_ = false;
    first_byte_ = 0;
    line_ = kNoLine;
    parser_.emplace();
    set_up();
    if (!input_.empty()) parse();
  }

  void end() {
    if (closed_) return;
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    closing_ = true;  // the rest is closed when the other side does, or by the sweep
    busy_ = false;
  }

  void reset_now() {
    reset();
    link_.connections_.erase(shared_from_this());
  }

  // The other side ended the connection.
  void ended() {
    const auto self = shared_from_this();
    closed_ = true;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    if (busy_ && !closing_ && line_ < box_->world_.ledger.size()) box_->gone(line_);
    link_.connections_.erase(self);
  }

  const std::shared_ptr<Box> box_;
  Link& link_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 8192> part_;
  std::string input_;
  std::optional<http::request_parser<http::string_body>> parser_;
  Millis first_byte_ = 0;
  Millis unused_since_ = 0;
  std::size_t line_ = kNoLine;  // of the ledger, for the request at hand
  bool busy_ = false;
  bool fresh_ = true;
  bool closing_ = false;
  bool closed_ = false;
};

void Box::Link::accept() {
  acceptor_.async_accept([this, box = box_.shared_from_this()](const error_code& error, tcp::socket socket) {
    if (error || !box->up_) return;
    ++world_.connections;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto connection = std::make_shared<Connection>(box, *this, std::move(socket));
    connections_.insert(connection);
    if (state_.hole) return;  // it came up at the last moment
    connection->read();
    accept();
  });
}

void Box::Link::hole(bool on) {
  if (on == state_.hole || !acceptor_.is_open()) return;
  state_.hole = on;
  error_code ignored;
  if (on) {
    acceptor_.cancel(ignored);
    ::listen(acceptor_.native_handle(), 0);
    stuffing_.reserve(kFillers);
    for (int n = 0; n < kFillers; ++n) {
      tcp::socket& filler = stuffing_.emplace_back(world_.context, tcp::v4());
      // A blocking connect of Asio's would wait for what never comes up.
      filler.async_connect(acceptor_.local_endpoint(), [](const error_code&) {});
    }
    return;
  }
  stuffing_.clear();
  for (const auto& connection : connections_) connection->reset();
  connections_.clear();
  ::listen(acceptor_.native_handle(), kBacklog);
  accept();
}

void Box::Link::close() {
  error_code ignored;
  stuffing_.clear();
  acceptor_.close(ignored);
  for (const auto& connection : connections_) connection->reset();
  connections_.clear();
}

Box::Box(World& world, int number, const BoxNote& note, const std::vector<std::string>& addresses,
         const std::vector<unsigned short>& ports, bool cold)
    : world_(world),
      number_(number),
      note_(note),
      model_(world.experiment.fleet.spec, note.born, cold),
      alarm_(world.context),
      sweep_(world.context) {
  for (std::size_t node = 0; node < addresses.size(); ++node) {
    links_.push_back(std::make_unique<Link>(world, *this, static_cast<int>(node), addresses[node],
                                            node < ports.size() ? ports[node] : 0));
    links_.back()->state_.latency = world.experiment.fleet.latency;
    links_.back()->state_.jitter = world.experiment.fleet.jitter;
  }
}

Box::~Box() = default;

void Box::start() {
  for (const auto& link : links_) link->accept();
  sweep();
}

std::vector<unsigned short> Box::ports() const {
  std::vector<unsigned short> all;
  for (const auto& link : links_) all.push_back(link->port());
  return all;
}

LinkState& Box::link(int node) { return links_.at(static_cast<std::size_t>(node))->state_; }

void Box::hole(int node, bool on) {
  if (!up_) return;
  Link& link = *links_.at(static_cast<std::size_t>(node));
  if (on) {
    for (const auto& connection : link.connections_) {
      if (connection->busy() && connection->line() < world_.ledger.size()) {
        Arrived& record = world_.ledger[connection->line()];
        if (record.hidden == 0) record.hidden = clock_now();
        if (record.end == BoxEnd::kOpen) record.end = BoxEnd::kSwallowed;
      }
    }
  }
  link.hole(on);
}

void Box::take(const std::shared_ptr<Connection>& connection, std::size_t line, Millis extra_work) {
  Arrived& record = world_.ledger[line];
  if (!up_) return;
  if (draining_since_ > 0) return connection->turn_away(line);
  record.work =
      world_.experiment.classes[static_cast<std::size_t>(record.request_class)].work.draw(world_.works) +
      extra_work;
  const Millis now = clock_now();
  step();
  switch (model_.arrive(now, record.serial, record.work, record.node)) {
    case BoxModel::Verdict::kBegan:
      jobs_[record.serial] = {connection, line};
      begun(line, now);
      break;
    case BoxModel::Verdict::kQueued:
      jobs_[record.serial] = {connection, line};
      break;
    case BoxModel::Verdict::kFull:
      connection->turn_away(line);
      break;
    case BoxModel::Verdict::kFell: {
      Fallen fallen;
      fallen.box = number_;
      fallen.at = now;
      fallen.span = world_.experiment.fleet.spec.fall_span;
      fallen.work = model_.pushed();
      world_.fallen.push_back(std::move(fallen));
      world_.mark(note_.host + " pushed over while cold");
      die();
      return;
    }
  }
  arm();
}

// Its effect takes place now, unless the boxes of its group know its key.
void Box::begun(std::size_t line, Millis at) {
  Arrived& record = world_.ledger[line];
  const ClassRules& rules = world_.experiment.classes[static_cast<std::size_t>(record.request_class)].rules;
  if (rules.effect == Effect::kKeyed && !record.key.empty()) {
    const std::string name = world_.key_group(rules, note_, record.key);
    const auto known = world_.keys.find(name);
    if (known != world_.keys.end() && at < known->second + rules.window) {
      record.repeat = true;
      return;
    }
    world_.keys[name] = at;
  }
  record.began = at;
}

void Box::gone(std::size_t line) {
  Arrived& record = world_.ledger[line];
  record.closed = clock_now();
  if (record.end != BoxEnd::kTurnedAway && record.end != BoxEnd::kSpoilt && record.answered == 0) {
    record.end = BoxEnd::kDropped;
  }
  model_.cancel(record.serial);
  jobs_.erase(record.serial);
  if (up_) arm();
}

void Box::step() {
  for (const BoxModel::Step& step : model_.advance(clock_now())) {
    const auto it = jobs_.find(step.job);
    if (it == jobs_.end()) {
      // Nobody waits for it, but it runs to its end.
      if (!step.done) begun(static_cast<std::size_t>(step.job - 1), step.at);
      continue;
    }
    const Job job = it->second;
    if (!step.done) {
      begun(job.line, step.at);
      continue;
    }
    jobs_.erase(it);
    if (const auto connection = job.connection.lock()) {
      const bool erred = world_.faults.chance(world_.experiment.fleet.error_rate);
      connection->answer(job.line, erred);
    }
  }
}

void Box::arm() {
  const std::optional<Millis> next = model_.next();
  if (!next) return alarm_.cancel();
  alarm_.at(*next, &world_.lateness, [self = shared_from_this()] {
    if (!self->up_) return;
    self->step();
    self->arm();
  });
}

void Box::die() {
  if (!up_) return;
  up_ = false;
  alarm_.cancel();
  sweep_.cancel();
  jobs_.clear();
  for (const auto& link : links_) link->close();
}

void Box::cut(std::size_t line) {
  Arrived& record = world_.ledger[line];
  if (record.answered > 0 || record.closed > 0) return;
  if (record.end == BoxEnd::kOpen || record.end == BoxEnd::kServed || record.end == BoxEnd::kErred) {
    record.end = BoxEnd::kDropped;
  }
  record.closed = clock_now();
}

void Box::drain() { draining_since_ = clock_now(); }
void Box::stall(Millis until) {
  step();
  model_.stall(clock_now(), until);
  stalled_until_ = std::max(stalled_until_, until);
  arm();
}

void Box::slow(double factor) { model_.set_speed(factor); }

BoxModel::Load Box::reported() {
  const Millis now = clock_now();
  if (snapshot_at_ == 0 || now - snapshot_at_ >= world_.experiment.fleet.report_age) {
    snapshot_ = model_.load();
    snapshot_at_ = now;
  }
  return snapshot_;
}

std::string Box::load_field() {
  if (!world_.experiment.fleet.reports) return "";
  const BoxModel::Load load = reported();
  char text[96];
  std::snprintf(text, sizeof text, "X-Server-Load: inflight=%d,queue=%d,util=%.2f\r\n", load.in_hand,
                load.waiting, load.busy);
  return text;
}

void Box::sweep() {
  const Millis now = clock_now();
  for (const auto& link : links_) {
    if (link->state_.hole) continue;
    std::vector<std::shared_ptr<Connection>> old;
    for (const auto& connection : link->connections_) {
      if (connection->idle(now, world_.experiment.fleet.idle_close)) old.push_back(connection);
    }
    for (const auto& connection : old) {
      connection->close_unused();
      link->connections_.erase(connection);
    }
  }
  sweep_.at(now + kSweepEvery, nullptr, [self = shared_from_this()] {
    if (self->up_) self->sweep();
  });
}

}  // namespace shorelead::lab
