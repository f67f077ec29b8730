#include "lab/registry_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <cstdio>

#include "lab/clock.h"
#include "lab/registry.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr Millis kSignOfLife = 2000;  // an empty line while nothing changes
constexpr Millis kTrickle = 40;       // from one byte to the next
constexpr Millis kRestAfter = 2500;   // of a list whose rest comes late

std::chrono::microseconds span(Millis time) {
  return std::chrono::microseconds(static_cast<long long>(time * 1000));
}

}  // namespace

RegistrySession::RegistrySession(Registry& owner, int node, asio::ip::tcp::socket socket)
    : owner_(owner), node_(node), socket_(std::move(socket)), timer_(owner.context()) {
  parser_.eager(true);
}

ListCall& RegistrySession::call() { return owner_.call(call_); }

void RegistrySession::read() {
  socket_.async_read_some(asio::buffer(part_),
                          [self = shared_from_this()](const error_code& error, std::size_t size) {
                            if (error) return self->close();
                            self->input_.append(self->part_.data(), size);
                            if (!self->asked_) self->parse();
                            self->read();
                          });
}

void RegistrySession::parse() {
  error_code error;
  const std::size_t used = parser_.put(asio::buffer(input_), error);
  input_.erase(0, used);
  if (error == http::error::need_more) return;
  if (error) return close();
  if (!parser_.is_done()) return;
  asked_ = true;
  target_ = std::string(parser_.get().target());
  if (target_.rfind("/api/targets", 0) != 0)
    return last("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  call_ = owner_.call_begins(node_);
  const ListTrouble& trouble = owner_.trouble();
  if (trouble.refuses) return refuse();
  if (trouble.unavailable) return after(trouble.latency, &RegistrySession::refuse);
  after(trouble.latency, &RegistrySession::answer);
}

void RegistrySession::after(Millis wait, void (RegistrySession::*step)()) {
  if (wait <= 0) return (this->*step)();
  timer_.expires_after(span(wait));
  timer_.async_wait([self = shared_from_this(), step](const error_code& error) {
    if (!error && !self->closed_) ((*self).*step)();
  });
}

void RegistrySession::refuse() { last("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"); }

void RegistrySession::answer() {
  target_.find("watch=1") == std::string::npos ? answer_whole() : begin_watch();
}

void RegistrySession::answer_whole() {
  ListLine line = readable(owner_.whole(node_));
  line.text = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(line.text.size()) +
              "\r\n\r\n" + line.text;
  queue_.push_back(std::move(line));
  last_ = true;
  write();
}

void RegistrySession::begin_watch() {
  std::uint64_t from = 0;
  if (const std::size_t at = target_.find("from="); at != std::string::npos) {
    std::from_chars(target_.data() + at + 5, target_.data() + target_.size(), from);
  }
  watching_ = true;
  ListLine line = readable(owner_.since(node_, from));
  line.text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
              chunk(line.text + "\n");
  queue_.push_back(std::move(line));
  first_ = true;
  write();
  sign();
}

void RegistrySession::last(const std::string& text) {
  queue_.push_back({text, {}});
  last_ = true;
  write();
}

void RegistrySession::tell(ListLine line) {
  if (!watching_ || silent_) return;
  const ListTrouble& trouble = owner_.trouble();
  if (!line.says.empty() && trouble.cuts && queue_.empty()) return cut(line);
  if (!line.says.empty() && trouble.ends) {
    call().ended_untold = clock_now();
    return close();
  }
  if (!line.says.empty() && trouble.loses) return note(line, true), reset();
  queue_.push_back(readable(std::move(line)));
  if (queue_.size() == 1) write();
}

// As it stands while no trouble makes lists unreadable.
ListLine RegistrySession::readable(ListLine line) const {
  if (owner_.trouble().unreadable && !line.says.empty()) line.text = with_unreadable_entry(line.text);
  return line;
}

// Half of it goes out, and counts as written.
void RegistrySession::cut(const ListLine& line) {
  const std::string text = chunk(line.text + "\n");
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.write_some(asio::buffer(text.data(), text.size() / 2), ignored);
  note(line, true);
  close();
}

void RegistrySession::write() {
  auto text = std::make_shared<std::string>(
      std::exchange(first_, false) || last_ ? queue_.front().text : chunk(queue_.front().text + "\n"));
  const bool damaged = owner_.trouble().damage.then != PartialList::kNone;
  if (!queue_.front().says.empty() && owner_.trouble().trickles) return trickle(text, 0);
  if (!queue_.front().says.empty() && damaged) return write_part(text);
  asio::async_write(socket_, asio::buffer(*text),
                    [self = shared_from_this(), text](const error_code& error, std::size_t) {
                      if (error) return self->close();
                      self->written();
                    });
}

void RegistrySession::write_part(std::shared_ptr<std::string> text) {
  const std::size_t size = first_part(*text, owner_.trouble().damage.at, call_ + parts_++);
  auto rest = std::make_shared<std::string>(text->substr(size));
  text->resize(size);
  asio::async_write(socket_, asio::buffer(*text),
                    [self = shared_from_this(), text, rest](const error_code& error, std::size_t) {
                      if (error) return self->close();
                      self->end_part(rest);
                    });
}

void RegistrySession::end_part(std::shared_ptr<std::string> rest) {
  if (closed_) return;
  note(queue_.front(), false);
  switch (owner_.trouble().damage.then) {
    case PartialList::kFallsSilent:
      return fall_silent();
    case PartialList::kResets:
      return reset();
    case PartialList::kRestComesLate: {
      auto timer = std::make_shared<asio::steady_timer>(owner_.context());
      timer->expires_after(span(kRestAfter));
      return timer->async_wait([self = shared_from_this(), timer, rest](const error_code& failed) {
        if (failed || self->closed_) return;
        asio::async_write(self->socket_, asio::buffer(*rest),
                          [self, rest](const error_code& error, std::size_t) {
                            if (error) return self->close();
                            self->written();
                          });
      });
    }
    case PartialList::kNone:
    case PartialList::kEnds:
      return close();
  }
}

void RegistrySession::trickle(std::shared_ptr<std::string> text, std::size_t at) {
  if (closed_) return;
  if (at == text->size()) return written();
  error_code error;
  socket_.write_some(asio::buffer(text->data() + at, 1), error);
  if (error) return close();
  if (at == 0) note(queue_.front(), false);
  auto timer = std::make_shared<asio::steady_timer>(owner_.context());
  timer->expires_after(span(kTrickle));
  timer->async_wait([self = shared_from_this(), timer, text, at](const error_code& failed) {
    if (!failed) self->trickle(text, at + 1);
  });
}

// Withdrawals count as written with the first byte; that a box is ready does not before the rest has come.
void RegistrySession::note(const ListLine& line, bool whole) {
  for (const auto& [box, state] : line.says) {
    if (whole || state != BoxState::kReady) owner_.wrote(node_, box, state);
  }
}

void RegistrySession::written() {
  if (closed_) return;
  note(queue_.front(), true);
  if (watching_ && call().answered == 0) call().answered = clock_now();
  queue_.pop_front();
  if (!queue_.empty()) return write();
  if (last_) close();
}

void RegistrySession::sign() {
  timer_.expires_after(span(kSignOfLife));
  timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (error || self->closed_) return;
    if (self->queue_.empty()) self->tell({"", {}});
    self->sign();
  });
}

void RegistrySession::fall_silent() {
  if (!watching_ || silent_) return;
  silent_ = true;
  call().silent_since = clock_now();
}

void RegistrySession::reset() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

void RegistrySession::close() {
  if (closed_) return;
  closed_ = true;
  const auto self = shared_from_this();
  if (asked_ && target_.rfind("/api/targets", 0) == 0) call().ended = clock_now();
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  owner_.ended(self);
}

}  // namespace shorelead::lab
