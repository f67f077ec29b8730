#include "membership/registry/exchange.h"

#include <array>
#include <string_view>
#include <utility>

namespace shorelead::membership::registry {
namespace {

constexpr std::size_t kMaxBodyBytes = 16U << 20;

}  // namespace

Exchange::Exchange(net::Loop& loop, const Poco::Net::SocketAddress& address, Listener listener,
                   std::shared_ptr<const net::TlsContext> tls)
    : loop_(loop),
      address_(address),
      listener_(std::move(listener)),
      parser_(net::Parser::Kind::kResponse, kMaxBodyBytes),
      tls_(std::move(tls)) {}

Exchange::~Exchange() {
  loop_.cancel(deadline_);
  if (!stream_) return;
  stream_->close();
  loop_.later([stream = std::move(stream_)] {});  // this stream's handler may be the caller
}

void Exchange::post(const std::string& path, const std::string& body, bool stream, Millis within) {
  streaming_ = stream;
  busy_ = true;
  parser_.reset();
  request_ = "POST " + path + " HTTP/1.1\r\nHost: " + address_.toString() +
             "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
  expect(within);
  if (stream_) return write_request();
  stream_ = std::make_shared<net::Stream>(loop_, *this, address_);
  if (!stream_->open()) {
    loop_.cancel(deadline_);
    deadline_ = loop_.after(0, [this] { end(stream_ ? stream_->failure() : net::Ending::kRefused); });
  }
}

void Exchange::expect(Millis within) {
  loop_.cancel(deadline_);
  if (within > 0) deadline_ = loop_.after(within, [this] { end(net::Ending::kTimeout); });
}

void Exchange::on_connected(net::Stream&) {
#ifdef SHORELEAD_TLS
  if (tls_) session_ = std::make_shared<net::TlsSession>(*tls_, address_.host().toString());
#endif
  write_request();
}

void Exchange::write_request() {
  std::string_view out = request_;
#ifdef SHORELEAD_TLS
  std::string encrypted;
  if (session_) {
    session_->write(request_);
    encrypted = session_->take();
    out = encrypted;
  }
#endif
  const std::array<std::string_view, 1> pieces = {out};
  stream_->send(pieces);
}

// Decrypts the input; returns whether there is anything to read and the connection is still usable.
bool Exchange::decrypt() {
#ifdef SHORELEAD_TLS
  const std::string came = std::exchange(stream_->input(), {});
  const std::size_t before = decrypted_.size();
  const bool good = session_ && session_->feed(came, decrypted_);
  const std::string out = session_ ? session_->take() : std::string();
  if (!out.empty()) {
    const std::array<std::string_view, 1> pieces = {out};  // the handshake, or an alert
    stream_->send(pieces);
  }
  if (!good) {
    trouble_ = "TLS: " + (session_ ? session_->cause() : std::string("it speaks first"));
    end(net::Ending::kMalformed);
    return false;
  }
  return decrypted_.size() > before;
#else
  return false;
#endif
}

void Exchange::on_input(net::Stream&) {
  if (tls_ && !decrypt()) return;
  if (!busy_) return end(net::Ending::kMalformed);  // unsolicited input
  read_response(false);
}

void Exchange::read_response(bool over) {
  std::string& input = tls_ ? decrypted_ : stream_->input();
  net::Parser::State state = parser_.advance(input);
  if (over && state != net::Parser::State::kDone) state = parser_.finish();
  if (state == net::Parser::State::kBad) return end(net::Ending::kMalformed);
  if (!parser_.has_head()) return;
  if (streaming_ && parser_.head().status == 200) {
    std::string part = parser_.take_decoded();
    const net::Place done = parser_.take_consumed();
    input.erase(done.at, done.size);
    const bool last = state == net::Parser::State::kDone;
    const std::weak_ptr<net::Stream> still = stream_;
    if (!part.empty()) listener_.part(std::move(part));
    if (last && !still.expired()) end(net::Ending::kPeerClosed);
    return;
  }
  if (state != net::Parser::State::kDone) return;
  loop_.cancel(deadline_);
  const int status = parser_.head().status;
  std::string body(parser_.body(input));
  const bool keep = parser_.head().keep_alive && input.size() == parser_.size();
  input.clear();
  busy_ = false;
  if (!keep || over) stream_->close();
  listener_.answered(status, std::move(body));
}

void Exchange::on_end(net::Stream&, net::Ending ending) {
  if (busy_ && !streaming_ && parser_.has_head()) {
    read_response(true);
    return;
  }
  end(ending);
}

void Exchange::end(net::Ending ending) {
  loop_.cancel(deadline_);
  if (!stream_) return;
  stream_->close();
  loop_.later([stream = std::move(stream_)] {});
  stream_ = nullptr;
  busy_ = false;
  listener_.ended(ending);
}

}  // namespace shorelead::membership::registry
