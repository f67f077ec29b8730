#include "node/response_forwarder.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "node/error_responses.h"

namespace shorelead::node {
namespace {

constexpr Millis kClientCheckInterval = 100;
constexpr Millis kInputTime = 1;  // in which the loop handles the input that has arrived

}  // namespace

void send_complete(Stream& stream, const Message& response, bool head_only, bool last) {
  std::vector<std::string_view> pieces = {"HTTP/1.1 200 OK\r\n"};
  pass_fields(response.head(), response.raw, pieces);
  std::optional<std::size_t> length = response.body().size();
  if (head_only) {
    const auto stated = parse_whole(response.value("content-length"));
    length = stated ? std::optional<std::size_t>(*stated) : std::nullopt;
  }
  const std::string own = framing_fields(length, false, last);
  pieces.push_back(own);
  pieces.push_back(response.body());
  stream.send(pieces);
}

ResponseForwarder::ResponseForwarder(Loop& loop, std::shared_ptr<net::Flow> flow, Millis due, int minor,
                                     bool last)
    : loop_(loop),
      flow_(std::move(flow)),
      chunked_(!flow_->length() && minor == 1),
      last_(last || (!flow_->length() && !chunked_)),
      deadline_(due, flow_->length(), loop.now()) {}

void ResponseForwarder::begin(Stream& stream, const Message& response, const std::function<void()>& pump) {
  std::vector<std::string_view> pieces = {"HTTP/1.1 200 OK\r\n"};
  pass_fields(response.head(), response.raw, pieces);
  std::optional<std::size_t> length;
  if (flow_->length()) length = static_cast<std::size_t>(*flow_->length());
  const std::string own = framing_fields(length, chunked_, last_);
  pieces.push_back(own);
  progress_at_ = loop_.now();
  stream.bound_send_buffer();
  stream.send(pieces);
  pump_ = pump;
  flow_->set_sink({pump, pump});
  check_at(stream, deadline_.expires_at());
}

ResponseForwarder::Step ResponseForwarder::pump(Stream& stream) {
  const std::string part = flow_->take();
  const bool last_part = flow_->ended() && flow_->empty();
  if (!part.empty() || last_part) {
    progress_at_ = loop_.now();
    deadline_.received(part.size(), progress_at_);
    stream.send(net::FramedPart(part, chunked_, last_part).pieces());
  }
  flow_->set_unsent(stream.unsent_capacity());
  if (last_part) return Step::kComplete;
  return (flow_->was_cut() || expired_) && stream.flushed() ? Step::kTruncated : Step::kContinues;
}

void ResponseForwarder::check_at(const Stream& stream, Millis at) {
  timer_ = loop_.at(at, [this, &stream] { check(stream); });
}

// Ends the response if its time is over. While the client has not taken what was sent, it is the client that
// is waited for (ClientTimeouts). Timers and input that are due together come in any order, so what has
// arrived is handled first.
void ResponseForwarder::check(const Stream& stream) {
  const Millis now = loop_.now();
  if (now < deadline_.expires_at()) {
    input_handled_ = false;
    return check_at(stream, deadline_.expires_at());
  }
  if (!stream.flushed()) return check_at(stream, now + kClientCheckInterval);
  if (!std::exchange(input_handled_, true)) return check_at(stream, now + kInputTime);
  expired_ = true;
  const std::function<void()> pump = pump_;  // which may drop this object
  pump();
}

void ResponseForwarder::leave() {
  loop_.cancel(timer_);
  flow_->clear_sink();
  expired_ ? flow_->leave_overdue() : flow_->leave();
}

}  // namespace shorelead::node
