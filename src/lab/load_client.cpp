#include "lab/load_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cmath>
#include <cstdlib>

#include "lab/dial.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr int kClients = 200;  // that take turns, by name
constexpr Millis kBeyondDue =
    1000;  // a client goes on reading so long, or lateness could not be told from silence

constexpr Millis kConnectAgain = 1;  // to a process that starts

constexpr std::size_t kMostSaid = 120;  // kept of an answer's cause

std::string_view value_of(std::string_view body, std::string_view name) {
  const std::size_t at = body.find(name);
  if (at == std::string_view::npos) return {};
  const std::size_t from = at + name.size();
  return body.substr(from, body.find(';', from) - from);
}

// Where the answer names its cause in the published form (RFC 9209), that; else its first line.
std::string said_by(const http::response<http::string_body>& answer) {
  const auto field = answer.find("Proxy-Status");
  const std::string text = field != answer.end() ? std::string(field->value()) : answer.body();
  return text.substr(0, std::min(text.find('\n'), kMostSaid));
}

}  // namespace

Load::Client::Client(Load& owner, int node)
    : owner_(owner), node_(node), socket_(owner.context_), timer_(owner.context_), retry_(owner.context_) {}

void Load::Client::ask(std::shared_ptr<Wish> wish, std::size_t record) {
  wish_ = std::move(wish);
  before_ = record_;
  record_ = record;
  again_ = false;
  compose();
  if (Millis leave = draw_leave(); leave > 0) {
    timer_.expires_at(clock_point(leave));
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->finish(ClientEnd::kLeft);
    });
  } else {
    arm_silence();
  }
  connected_ ? write() : connect();
}

void Load::Client::drop() {
  dead_ = true;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

Millis Load::Client::draw_leave() {
  const ClientsSpec& habits = owner_.experiment_.clients;
  if (!owner_.habits_.chance(habits.leave)) return 0;
  return clock_now() + owner_.habits_.uniform(1, std::max(2.0, record().due - clock_now()));
}

void Load::Client::arm_silence() {
  timer_.expires_at(clock_point(record().due + kBeyondDue));
  timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error) self->finish(self->got_any_ ? ClientEnd::kCut : ClientEnd::kSilent);
  });
}

void Load::Client::compose() {
  const ClassRules& rules = owner_.experiment_.classes[static_cast<std::size_t>(wish_->request_class)].rules;
  const bool safe = rules.effect == Effect::kSafe;
  const long wait = std::max(1L, std::lround(std::floor(record().due - clock_now())));
  const std::string body = safe ? "" : "{\"wish\":" + std::to_string(wish_->chain) + "}";
  text_ = (safe ? "GET /" : "POST /") + rules.name + "/w" + std::to_string(wish_->chain) +
          " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: " + record().id +
          "\r\nX-Timeout-Ms: " + std::to_string(wait) + "\r\n";
  text_ += "X-Client-ID: c" + std::to_string(wish_->chain % kClients) + "\r\n";
  if (wish_->tries > 1) text_ += "X-Retried: 1\r\n";
  const ClientsSpec& habits = owner_.experiment_.clients;
  if (!wish_->tenant.empty()) text_ += habits.tenant_header + ": " + wish_->tenant + "\r\n";
  if (!wish_->basket.empty()) text_ += habits.basket_header + ": " + wish_->basket + "\r\n";
  if (!wish_->key.empty()) text_ += "Idempotency-Key: " + wish_->key + "\r\n";
  if (!safe) text_ += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text_ += "\r\n" + body;
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(1U << 20);
  input_.clear();
  got_any_ = false;
  busy_ = true;
}

void Load::Client::connect() {
  const std::string& dial = owner_.front_.addresses[static_cast<std::size_t>(node_)];
  socket_.async_connect(endpoint_of(dial), [self = shared_from_this()](const error_code& error) {
    if (self->dead_) return;
    if (error && self->owner_.front_.starting[static_cast<std::size_t>(self->node_)] &&
        clock_now() + kConnectAgain < self->record().due)
      return self->connect_again();
    if (error) return self->finish(ClientEnd::kNoConnection);
    self->compose();  // by the time that is left
    error_code ignored;
    self->socket_.set_option(tcp::no_delay(true), ignored);
    self->connected_ = true;
    self->write();
    self->read();
  });
}

void Load::Client::connect_again() {
  error_code ignored;
  socket_.close(ignored);
  retry_.at(clock_now() + kConnectAgain, nullptr, [self = shared_from_this()] {
    if (!self->dead_) self->connect();
  });
}

void Load::Client::write() {
  asio::async_write(socket_, asio::buffer(text_),
                    [self = shared_from_this()](const error_code& error, std::size_t) {
                      if (self->dead_ || !self->busy_) return;
                      if (!error) self->record().sent = clock_now();
                    });
}

void Load::Client::read() {
  socket_.async_read_some(asio::buffer(part_),
                          [self = shared_from_this()](const error_code& error, std::size_t size) {
                            if (self->dead_) return;
                            if (error) return self->closed();
                            self->take(size);
                            if (!self->dead_) self->read();
                          });
}

void Load::Client::take(std::size_t size) {
  if (!busy_) {
    // Something behind the answer that was whole.
    if (record_ < owner_.records_.size()) record().extra = true;
    return leave_pool();
  }
  got_any_ = true;
  input_.append(part_.data(), size);
  while (true) {
    error_code error;
    const std::size_t used = parser_->put(asio::buffer(input_), error);
    input_.erase(0, used);
    if (error == http::error::need_more) return;
    if (error) return finish(ClientEnd::kCut);
    if (!parser_->is_done()) return;
    if (parser_->get().result_int() >= 200) break;
    parser_.emplace();  // an interim answer
    parser_->eager(true);
  }
  const auto& answer = parser_->get();
  Asked& asked = record();
  // Guards against blaming this request for a second answer to the one before on this connection, which
  // came when this one had been sent already.
  if (before_ < owner_.records_.size() && value_of(answer.body(), "id=") == owner_.records_[before_].id) {
    owner_.records_[before_].extra = true;
    parser_.emplace();
    parser_->eager(true);
    got_any_ = false;
    return input_.empty() ? void() : take(0);
  }
  asked.status = static_cast<int>(answer.result_int());
  if (asked.status == 200) {
    const std::string_view body = answer.body();
    asked.right_body = value_of(body, "id=") == asked.id;
    const std::string_view run = value_of(body, "run=");
    std::from_chars(run.data(), run.data() + run.size(), asked.run);
  }
  if (asked.status != 200) asked.said = said_by(answer);
  asked.extra = !input_.empty();
  retry_after_ = -1;
  if (const auto field = answer.find("Retry-After"); field != answer.end()) {
    retry_after_ = std::strtod(std::string(field->value()).c_str(), nullptr) * 1000;
  }
  const bool keep =
      answer.keep_alive() && !asked.extra && !owner_.habits_.chance(owner_.experiment_.clients.drop);
  finish(ClientEnd::kAnswered, keep);
}

void Load::Client::closed() {
  if (!busy_) return leave_pool();
  if (!got_any_ && reused_ && !again_) return once_more();
  error_code error;
  // An answer without a length ends with its connection.
  if (got_any_) parser_->put_eof(error);
  finish(got_any_ ? ClientEnd::kCut : ClientEnd::kReset);
}

// The connection was closed under the request before a byte of an answer: it had not been read.
void Load::Client::once_more() {
  again_ = true;
  connected_ = false;
  record().resent = clock_now();
  error_code ignored;
  socket_.close(ignored);
  socket_ = tcp::socket(owner_.context_);
  connect();
}

void Load::Client::finish(ClientEnd end, bool keep) {
  if (!busy_) return;
  busy_ = false;
  timer_.cancel();
  Asked& asked = record();
  asked.end = end;
  asked.ended = clock_now();
  // An answer may overtake the word that its request was written.
  if (end == ClientEnd::kAnswered && asked.sent == 0) asked.sent = asked.ended;
  const auto self = shared_from_this();
  const std::shared_ptr<Wish> wish = std::move(wish_);
  if (keep) {
    reused_ = true;
    owner_.unused_[static_cast<std::size_t>(node_)].push_back(self);
  } else {
    drop();
  }
  owner_.ended(wish, record_, retry_after_);
}

void Load::Client::leave_pool() {
  const auto self = shared_from_this();
  std::erase(owner_.unused_[static_cast<std::size_t>(node_)], self);
  drop();
}

}  // namespace shorelead::lab
