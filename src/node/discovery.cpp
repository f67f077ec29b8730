#include "node/discovery.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace shorelead::node {
namespace {

constexpr std::size_t kSliceThreshold = 65536;  // bytes: some 500 entries, parsed in under a millisecond
constexpr int kSliceEntries = 500;              // parsed in about 0.4 ms

}  // namespace

Discovery::Discovery(Loop& loop, const Poco::Net::SocketAddress& address, std::uint64_t version,
                     Listener listener, const Timeouts& timeouts)
    : loop_(loop),
      address_(address),
      listener_(std::move(listener)),
      timeouts_(timeouts),
      version_(version) {}

Discovery::~Discovery() {
  loop_.cancel(deadline_);
  loop_.cancel(slice_timer_);
}

void Discovery::watch() {
  if (stream_) return;
  ++calls_;
  call_began_at_ = last_byte_at_ = loop_.now();
  listener_.call_begun();
  response_.reset();
  from_version_ = version_;
  arrival_.reset();
  head_received_ = told_nothing_ = reported_current_ = list_read_ = first_late_ = delayed_ = data_pending_ =
      false;
  stream_ = std::make_shared<Stream>(loop_, *this, address_);
  if (!stream_->open()) {
    loop_.later([this] {
      if (stream_ && !stream_->open()) end(stream_->failure());
    });
    return;
  }
  set_deadline(timeouts_.connect, Ending::kConnectTimeout);
}

void Discovery::watch_from_start() {
  leave();
  version_ = 0;
  watch();
}

void Discovery::change_address(const Poco::Net::SocketAddress& address) {
  if (address == address_) return;
  leave();
  address_ = address;
  watch();
}

// Closes the connection without calling `ended`. What has arrived on it and was not read binds.
void Discovery::leave() {
  if (!stream_) return;
  if (stream_->has_unread_input()) listener_.incomplete();
  disconnect();
}

void Discovery::set_deadline(Millis wait, Ending ending) {
  loop_.cancel(deadline_);
  deadline_ = loop_.after(wait, [this, ending] {
    deadline_ = 0;
    give_up(ending);
  });
}

// Part of a response may have arrived in the same turn of the loop.
void Discovery::give_up(Ending ending) {
  const std::shared_ptr<Stream> stream = stream_;
  while (stream && stream == stream_ && stream->read_now()) continue;
  if (deadline_ == 0) end(ending);
}

void Discovery::on_connected(Stream& stream) {
  const std::string request = "GET /api/targets?watch=1&from=" + std::to_string(version_) +
                              " HTTP/1.1\r\nHost: " + address_.toString() + "\r\n\r\n";
  const std::array<std::string_view, 1> pieces = {request};
  stream.send(pieces);
  set_deadline(timeouts_.response, Ending::kTimeout);
}

void Discovery::on_input(Stream& stream) {
  last_byte_at_ = loop_.now() - stream.waited();
  const Parser::State state = response_.receive(stream.input());
  if (state == Parser::State::kBad) {
    spdlog::warn("discovery: malformed response: {}", response_.cause());
    return end(Ending::kMalformed);
  }
  data_pending_ = data_pending_ || response_.data_received();
  if (!response_.has_head()) return report_progress();
  if (response_.status() != 200) {
    told_nothing_ = true;
    return end(response_.status() == 503 ? Ending::kRejected : Ending::kErred);
  }
  last_received_ = loop_.now();
  // The head is a sign of life; after that only data counts.
  const bool sign = !std::exchange(head_received_, true) || response_.data_received();
  if (state == Parser::State::kBody && sign) set_deadline(timeouts_.silence, Ending::kSilent);
  read_lists();
  if (!stream_) return;  // a list that could not be parsed ended the watch
  if (!response_.incomplete()) note_lateness(!list_read_ && !reported_current_);  // of a keep-alive
  if (delayed_) return on_end(stream, Ending::kSilent);
  report_progress();
  if (response_.too_long()) return end(Ending::kMalformed);
  if (arrival_.too_slow(timeouts_.silence, response_.incomplete_list_bytes(), loop_.now()))
    return end(Ending::kSilent);
  if (state != Parser::State::kDone) return;
  told_nothing_ = !response_.incomplete();
  on_end(stream, Ending::kPeerClosed);
}

// What has just become whole took longer to arrive than a change may.
void Discovery::note_lateness(bool first) {
  if (arrival_.longer_than(timeouts_.change, loop_.now())) (first ? first_late_ : delayed_) = true;
}

void Discovery::read_lists() {
  while (!reader_) {
    std::optional<std::string> text = response_.next();
    if (!text) return;
    note_lateness(!std::exchange(list_read_, true));
    arrival_.reset();  // what remains belongs to the next list
    read_text(std::move(*text));
    if (!stream_) return;
  }
}

void Discovery::read_text(std::string text) {
  const bool is_long = text.size() > kSliceThreshold;
  try {
    reader_ = std::make_unique<ListReader>(std::move(text));
    if (is_long) {
      slice_timer_ = loop_.after(0, [this] { read_slice(); });
      return;
    }
    while (!reader_->advance(kSliceEntries)) continue;
    apply(std::exchange(reader_, nullptr)->take());
  } catch (const FieldError& error) {
    reject(error);
  }
}

// Requests are served between slices.
void Discovery::read_slice() {
  slice_timer_ = 0;
  try {
    if (!reader_->advance(kSliceEntries)) {
      slice_timer_ = loop_.after(0, [this] { read_slice(); });
      return;
    }
    apply(std::exchange(reader_, nullptr)->take());
  } catch (const FieldError& error) {
    return reject(error);
  }
  if (!stream_) return;
  read_lists();
  if (stream_) report_progress();
}

// Unless some of the input is incomplete, the list is up to date. Framing alone is no sign of life.
void Discovery::report_progress() {
  arrival_.update(response_.incomplete(), loop_.now());
  if (response_.incomplete() || reader_) return listener_.incomplete();
  if (!std::exchange(data_pending_, false)) return;
  has_list_ = true;
  const bool first = !std::exchange(reported_current_, true);
  listener_.current(first, first && first_late_);
}

void Discovery::apply(const List& list) {
  if (!list.whole && list.version < version_) {
    spdlog::warn("discovery: changes of version {} after version {}: not the discovery that sent the list",
                 list.version, version_);
    version_ = 0;  // the next watch brings the whole list
    return end(Ending::kMalformed);
  }
  try {
    listener_.changed(list);
  } catch (const std::exception& error) {
    // The list may have been applied in part: the next watch brings the whole list.
    spdlog::error("discovery: list {} could not be applied: {}", list.version, error.what());
    version_ = 0;
    return end(Ending::kMalformed);
  }
  version_ = list.version;
  has_list_ = true;
}

// Skipping a list would leave the view wrong for good; a new watch brings what is missing.
void Discovery::reject(const FieldError& error) {
  spdlog::error("discovery: list rejected: {}", error.what());
  end(Ending::kMalformed);
}

// A list that arrived whole is applied even if its parsing has not finished.
void Discovery::on_end(Stream&, Ending ending) {
  while (stream_ && reader_) {
    loop_.cancel(slice_timer_);
    read_slice();
  }
  end(ending);
}

void Discovery::disconnect() {
  loop_.cancel(deadline_);
  loop_.cancel(slice_timer_);
  reader_ = nullptr;
  stream_->close();
  loop_.later([stream = std::move(stream_)] {});  // this stream's handler may be the caller
  stream_ = nullptr;
}

void Discovery::end(Ending ending) {
  if (!stream_) return;
  const Millis now = loop_.now();
  last_end_ = {.duration = now - call_began_at_,
               .silence = now - last_byte_at_,
               .incomplete_bytes = response_.incomplete_list_bytes() + (reader_ ? 1 : 0),
               .received_bytes = response_.received_bytes(),
               .from_version = from_version_,
               .answered = reported_current_,
               .told_nothing = told_nothing_};
  disconnect();
  listener_.ended(ending);
}

}  // namespace shorelead::node
