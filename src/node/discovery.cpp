#include "node/discovery.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace shorelead::node {
namespace {

constexpr std::size_t kLongText = 65536;  // bytes: some 500 entries, read in under a millisecond
constexpr int kSliceEntries = 500;        // read at a time: some 0.4 ms
constexpr Millis kLeastRate = 32;         // bytes a ms that a list has to come with on the whole

}  // namespace

Discovery::Discovery(Loop& loop, const Poco::Net::SocketAddress& address, std::uint64_t version,
                     Listener listener, const Waits& waits)
    : loop_(loop), address_(address), listener_(std::move(listener)), waits_(waits), version_(version) {}

Discovery::~Discovery() {
  loop_.cancel(deadline_);
  loop_.cancel(slice_);
}

void Discovery::watch() {
  if (stream_) return;
  ++opened_;
  called_at_ = heard_at_ = loop_.now();
  listener_.asked();
  parser_.reset();
  come_.clear();
  begun_at_ = 0;
  answered_ = current_ = false;
  stream_ = std::make_shared<Stream>(loop_, *this, address_);
  if (!stream_->open()) {
    loop_.later([this] {
      if (stream_ && !stream_->open()) end(stream_->failure());
    });
    return;
  }
  expect(waits_.connect, Ending::kConnectTimeout);
}

void Discovery::watch_anew() {
  version_ = 0;
  if (stream_) leave();
  watch();
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
  heard_at_ = loop_.now();
  const Parser::State state = parser_.advance(stream.input());
  if (state == Parser::State::kBad) {
    spdlog::warn("discovery: malformed answer: {}", parser_.cause());
    return end(Ending::kMalformed);
  }
  if (!parser_.has_head()) return;
  if (parser_.head().status != 200) {
    return end(parser_.head().status == 503 ? Ending::kRejected : Ending::kErred);
  }
  last_told_ = loop_.now();
  // In chunks, or with a stated length as an answer that is no watch.
  const std::string part = parser_.take_decoded() + parser_.take_body(stream.input());
  // Its head is a sign of life, and then only bytes that carry something.
  if (state == Parser::State::kBody && (!std::exchange(answered_, true) || !part.empty()))
    expect(waits_.silence, Ending::kSilent);
  come_.put(part);
  if (state == Parser::State::kDone) come_.put("\n");  // with the answer its last list ends, too
  take_lists();
  if (!stream_) return;  // one that could not be read ended the watch
  if (!part.empty()) taken_in();
  if (come_.held() > kMostBytes) return end(Ending::kMalformed);
  if (trickles()) return end(Ending::kSilent);
  if (state == Parser::State::kDone) on_end(stream, Ending::kPeerClosed);
}

// Guards against a list that comes so slowly that what it would tell counts as told long before: one that has
// begun has as long as a silent watch, and what its bytes take at the least rate.
bool Discovery::trickles() {
  if (come_.held() == 0) {
    begun_at_ = 0;
    return false;
  }
  const Millis now = loop_.now();
  if (begun_at_ == 0) begun_at_ = now;
  return now - begun_at_ >= waits_.silence + static_cast<Millis>(come_.held()) / kLeastRate;
}

void Discovery::take_lists() {
  while (!reader_) {
    std::optional<std::string> text = come_.next();
    if (!text) return;
    begun_at_ = 0;  // what is left over is of the next one
    take_text(std::move(*text));
    if (!stream_) return;
  }
}

void Discovery::take_text(std::string text) {
  const bool is_long = text.size() > kLongText;
  try {
    reader_ = std::make_unique<ListReader>(std::move(text));
    if (is_long) {
      slice_ = loop_.after(0, [this] { read_slice(); });
      return;
    }
    while (!reader_->advance(kSliceEntries)) continue;
    take(std::exchange(reader_, nullptr)->take());
  } catch (const FieldError& error) {
    refuse(error);
  }
}

// Between the slices requests are served.
void Discovery::read_slice() {
  slice_ = 0;
  try {
    if (!reader_->advance(kSliceEntries)) {
      slice_ = loop_.after(0, [this] { read_slice(); });
      return;
    }
    take(std::exchange(reader_, nullptr)->take());
  } catch (const FieldError& error) {
    return refuse(error);
  }
  if (!stream_) return;
  take_lists();
  if (stream_) taken_in();
}

// What has come was looked through: unless some of it is left, the list is as discovery last told it.
void Discovery::taken_in() {
  if (come_.held() > 0 || reader_) return listener_.unfinished();
  listed_ = true;
  listener_.current(!std::exchange(current_, true));
}

void Discovery::take(const List& list) {
  if (!list.whole && list.version < version_) {
    spdlog::warn("discovery: changes numbered {} after {}: not the one that told the list", list.version,
                 version_);
    version_ = 0;  // the next watch brings the whole list
    return end(Ending::kMalformed);
  }
  try {
    listener_.changed(list);
  } catch (const std::exception& error) {
    // It is not known what came of it: the next watch brings the whole list.
    spdlog::error("discovery: list {} could not be taken in: {}", list.version, error.what());
    version_ = 0;
    return end(Ending::kMalformed);
  }
  version_ = list.version;
  listed_ = true;
}

// ResponseForwarder over one list would leave the list wrong for good; a new watch brings what is missing.
void Discovery::refuse(const FieldError& error) {
  spdlog::error("discovery: list refused: {}", error.what());
  end(Ending::kMalformed);
}

// A list that came whole counts, read or not.
void Discovery::on_end(Stream&, Ending ending) {
  while (stream_ && reader_) {
    loop_.cancel(slice_);
    read_slice();
  }
  end(ending);
}

void Discovery::leave() {
  loop_.cancel(deadline_);
  loop_.cancel(slice_);
  reader_ = nullptr;
  stream_->close();
  loop_.later([stream = std::move(stream_)] {});  // it may be the one that called
  stream_ = nullptr;
}

void Discovery::end(Ending ending) {
  if (!stream_) return;
  const Millis now = loop_.now();
  last_end_ = {.after = now - called_at_,
               .silent = now - heard_at_,
               .unfinished = come_.held() + (reader_ ? 1 : 0),
               .answered = current_};
  leave();
  listener_.ended(ending);
}

}  // namespace shorelead::node
