#include "lab/etcd_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <utility>

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kEventsALine = 3;  // more go in fragments or further lines
constexpr std::uint64_t kMostBody = 16U << 20;

std::string chunk(const std::string& text) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

EtcdSession::EtcdSession(EtcdServer& owner, std::size_t member, asio::ip::tcp::socket socket)
    : owner_(owner), member_(member), socket_(std::move(socket)), delay_(owner.context_) {
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(kMostBody);
}

void EtcdSession::read() {
  socket_.async_read_some(asio::buffer(part_),
                          [self = shared_from_this()](const error_code& error, std::size_t size) {
                            if (error) return self->close();
                            self->input_.append(self->part_.data(), size);
                            self->parse();
                            if (!self->closed_) self->read();
                          });
}

void EtcdSession::close() {
  if (closed_) return;
  closed_ = true;
  const auto self = shared_from_this();
  error_code ignored;
  delay_.cancel();
  socket_.close(ignored);
  owner_.sessions_.erase(self);
}

void EtcdSession::parse() {
  while (!closed_ && !watching_) {
    error_code error;
    const std::size_t used = parser_->put(asio::buffer(input_), error);
    input_.erase(0, used);
    if (error == http::error::need_more) return;
    if (error) return close();
    if (!parser_->is_done()) return;
    const std::string target(parser_->get().target());
    const std::string body = parser_->get().body();
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(kMostBody);
    take(target, body);
    if (input_.empty()) return;
  }
}

void EtcdSession::take(const std::string& target, const std::string& body) {
  const auto answer = [this](const std::string& status, const std::string& text,
                             std::vector<KeyChange> told) {
    send("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " +
             std::to_string(text.size()) + "\r\n\r\n" + text,
         std::move(told), false);
  };
  if (owner_.faults_.chance(owner_.spec_.lost)) return close();
  std::string cause;
  const auto call = etcd::read_call(target, body, cause);
  if (!call) {
    if (cause.empty()) return answer("404 Not Found", etcd::text_of({"", 5, "Not Found"}), {});
    return answer("400 Bad Request", etcd::text_of({"", 3, cause.c_str()}), {});
  }
  if (const auto* const asked = std::get_if<etcd::WatchCall>(&*call)) return watch(*asked);
  EtcdServer::Answer out = owner_.carry_out(member_, *call);
  if (std::holds_alternative<etcd::KeepAliveCall>(*call)) {
    return send(kStreamHead + chunk(out.body) + "0\r\n\r\n", {}, false);  // a stream of one answer
  }
  answer(out.status, out.body, std::move(out.told));
}

void EtcdSession::watch(const etcd::WatchCall& call) {
  from_ = call.from;
  end_ = call.end;
  next_ = call.start > 0 ? call.start : owner_.seen_by(member_) + 1;
  watching_ = true;
  send(kStreamHead +
           chunk("{\"result\":" + owner_.head(member_, owner_.seen_by(member_)) + ",\"created\":true}}\n"),
       {}, false);
}

void EtcdSession::push() {
  if (!watching_ || closed_ || deaf_ || writing_) return;
  const std::uint64_t until = owner_.seen_by(member_);
  if (next_ > until) return;
  const auto changes = owner_.store_.changes(next_, until, from_, end_);
  if (!changes) {
    return send(
        chunk("{\"result\":" + owner_.head(member_, until) + ",\"canceled\":true,\"compact_revision\":\"" +
              std::to_string(owner_.store_.compacted()) + "\"}}\n"),
        {}, true);
  }
  std::string text;
  std::string events;
  std::size_t count = 0;
  for (std::size_t n = 0; n < changes->size(); ++n) {
    events += (events.empty() ? "" : ",") + etcd::event((*changes)[n]);
    if (++count < kEventsALine && n + 1 < changes->size()) continue;
    const bool fragment = n + 1 < changes->size() && owner_.faults_.chance(0.5);
    text += chunk("{\"result\":" + owner_.head(member_, until) + (fragment ? ",\"fragment\":true" : "") +
                  ",\"events\":[" + events + "]}}\n");
    events.clear();
    count = 0;
  }
  next_ = until + 1;
  if (!text.empty()) send(std::move(text), *changes, false);
}

// Some are cut after any byte of what is written. What counts as told went out whole.
void EtcdSession::send(std::string text, std::vector<KeyChange> told, bool last) {
  auto out = std::make_shared<std::string>(std::move(text));
  if (owner_.faults_.chance(owner_.spec_.cuts)) {
    out->resize(owner_.faults_.whole(out->size()));
    told.clear();
    last = true;
  }
  writing_ = true;
  if (owner_.slow_ <= 0) return write(std::move(out), std::move(told), last);
  delay_.at(clock_now() + owner_.slow_, nullptr,
            [self = shared_from_this(), out, told = std::move(told), last]() mutable {
              if (!self->closed_) self->write(std::move(out), std::move(told), last);
            });
}

void EtcdSession::write(std::shared_ptr<std::string> out, std::vector<KeyChange> told, bool last) {
  asio::async_write(
      socket_, asio::buffer(*out),
      [self = shared_from_this(), out, told = std::move(told), last](const error_code& error, std::size_t) {
        self->writing_ = false;
        if (error || last) return self->close();
        if (self->owner_.owner_.told && !told.empty()) self->owner_.owner_.told(told);
        self->push();
      });
}

}  // namespace shorelead::lab
