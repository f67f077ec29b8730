#include "node/response_forwarder.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "node/error_responses.h"

namespace shorelead::node {

void pass_whole(Stream& stream, const Message& answer, bool headed, bool last) {
  std::vector<std::string_view> pieces = {"HTTP/1.1 200 OK\r\n"};
  pass_fields(answer.head(), answer.raw, pieces);
  std::optional<std::size_t> length = answer.body().size();
  if (headed) {
    const auto stated = parse_whole(answer.value("content-length"));
    length = stated ? std::optional<std::size_t>(*stated) : std::nullopt;
  }
  const std::string own = passed_lines(length, false, last);
  pieces.push_back(own);
  pieces.push_back(answer.body());
  stream.send(pieces);
}

void ResponseForwarder::begin(Stream& stream, const Message& answer, const std::function<void()>& pump,
                              Millis now) {
  std::vector<std::string_view> pieces = {"HTTP/1.1 200 OK\r\n"};
  pass_fields(answer.head(), answer.raw, pieces);
  std::optional<std::size_t> length;
  if (flow_->length()) length = static_cast<std::size_t>(*flow_->length());
  const std::string own = passed_lines(length, chunked_, last_);
  pieces.push_back(own);
  moved_at_ = now;
  stream.bound_send_buffer();
  stream.send(pieces);
  flow_->set_sink({pump, pump});
}

ResponseForwarder::Step ResponseForwarder::pump(Stream& stream, Millis now) {
  const std::string part = flow_->take();
  const bool last_part = flow_->ended() && flow_->empty();
  if (!part.empty() || last_part) {
    moved_at_ = now;
    stream.send(net::FramedPart(part, chunked_, last_part).pieces());
  }
  if (last_part) return Step::kWhole;
  return flow_->was_cut() && stream.flushed() ? Step::kCut : Step::kGoesOn;
}

void ResponseForwarder::leave() {
  flow_->clear_sink();
  flow_->leave();
}

}  // namespace shorelead::node
