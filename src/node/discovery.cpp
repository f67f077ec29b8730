#include "node/discovery.h"

#include <rapidjson/error/en.h>
#include <spdlog/spdlog.h>

#include <array>
#include <string>

namespace shorelead::node {
Discovery::Discovery(Loop& loop, const Poco::Net::SocketAddress& address, std::uint64_t version,
                     Listener listener, const Waits& waits)
    : loop_(loop), address_(address), listener_(std::move(listener)), waits_(waits), version_(version) {}

void Discovery::watch() {
  if (stream_) return;
  ++opened_;
  parser_.reset();
  line_.clear();
  stream_ = std::make_shared<Stream>(loop_, *this, address_);
  if (!stream_->open()) {
    loop_.later([this] {
      if (stream_ && !stream_->open()) end(stream_->failure());
    });
    return;
  }
  expect(waits_.connect, Ending::kConnectTimeout);
}

void Discovery::move(const Poco::Net::SocketAddress& address) {
  if (address == address_) return;
  address_ = address;
  if (stream_) leave();
  watch();
}

void Discovery::expect(Millis wait, Ending otherwise) {
  loop_.cancel(deadline_);
  deadline_ = loop_.after(wait, [this, otherwise] {
    deadline_ = 0;
    end(otherwise);
  });
}

void Discovery::on_connected(Stream& stream) {
  const std::string request = "GET /api/targets?watch=1&from=" + std::to_string(version_) +
                              " HTTP/1.1\r\nHost: " + address_.toString() + "\r\n\r\n";
  const std::array<std::string_view, 1> pieces = {request};
  stream.send(pieces);
  expect(waits_.first, Ending::kTimeout);
}

void Discovery::on_input(Stream& stream) {
  const Parser::State state = parser_.advance(stream.input());
  if (state == Parser::State::kBad) {
    spdlog::warn("discovery: malformed answer: {}", parser_.cause());
    return end(Ending::kMalformed);
  }
  if (!parser_.has_head()) return;
  if (parser_.head().status != 200) {
    return end(parser_.head().status == 503 ? Ending::kTurnedAway : Ending::kErred);
  }
  if (state == Parser::State::kBody) expect(waits_.silence, Ending::kSilent);
  last_told_ = loop_.now();
  line_ += parser_.take_decoded();
  const Place done = parser_.take_consumed();
  stream.input().erase(done.at, done.size);
  std::size_t from = 0;
  for (std::size_t end = 0; (end = line_.find('\n', from)) != std::string::npos; from = end + 1) {
    take_line(std::string_view(line_).substr(from, end - from));
    if (!stream_) return;  // a line that could not be read ended the watch
  }
  line_.erase(0, from);
  if (line_.size() > kMostBytes) return end(Ending::kMalformed);
  if (state == Parser::State::kDone) end(Ending::kPeerClosed);
}

void Discovery::take_line(std::string_view line) {
  if (line.find_first_not_of(" \t\r") == std::string_view::npos) return;  // a sign of life
  rapidjson::Document document;
  document.Parse(line.data(), line.size());
  try {
    if (document.HasParseError()) throw FieldError(rapidjson::GetParseError_En(document.GetParseError()));
    const List list = parse_list(document);
    version_ = list.version;
    listener_.changed(list);
  } catch (const FieldError& error) {
    // Passing over one line would leave the list wrong for good; a new watch brings what is missing.
    spdlog::error("discovery: line refused: {}", error.what());
    end(Ending::kMalformed);
  }
}

void Discovery::on_end(Stream&, Ending ending) { end(ending); }

void Discovery::leave() {
  loop_.cancel(deadline_);
  stream_->close();
  loop_.later([stream = std::move(stream_)] {});  // it may be the one that called
  stream_ = nullptr;
}

void Discovery::end(Ending ending) {
  if (!stream_) return;
  leave();
  listener_.ended(ending);
}

}  // namespace shorelead::node
