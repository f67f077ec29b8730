#include "node/response_forwarder.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "node/error_responses.h"

namespace shorelead::node {

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

void ResponseForwarder::begin(Stream& stream, const Message& response, const std::function<void()>& pump,
                              Millis now) {
  std::vector<std::string_view> pieces = {"HTTP/1.1 200 OK\r\n"};
  pass_fields(response.head(), response.raw, pieces);
  std::optional<std::size_t> length;
  if (flow_->length()) length = static_cast<std::size_t>(*flow_->length());
  const std::string own = framing_fields(length, chunked_, last_);
  pieces.push_back(own);
  progress_at_ = now;
  stream.bound_send_buffer();
  stream.send(pieces);
  flow_->set_sink({pump, pump});
}

ResponseForwarder::Step ResponseForwarder::pump(Stream& stream, Millis now) {
  const std::string part = flow_->take();
  const bool last_part = flow_->ended() && flow_->empty();
  if (!part.empty() || last_part) {
    progress_at_ = now;
    stream.send(net::FramedPart(part, chunked_, last_part).pieces());
  }
  if (last_part) return Step::kComplete;
  return flow_->was_cut() && stream.flushed() ? Step::kTruncated : Step::kContinues;
}

void ResponseForwarder::leave() {
  flow_->clear_sink();
  flow_->leave();
}

}  // namespace shorelead::node
