#include "node/list_response.h"

namespace shorelead::node {

void ListResponse::reset() {
  parser_.reset();
  lists_.clear();
  received_bytes_ = buffered_bytes_ = 0;
  data_received_ = any_data_received_ = within_framing_ = false;
}

Parser::State ListResponse::receive(std::string& input) {
  received_bytes_ += input.size() - buffered_bytes_;
  buffered_bytes_ = input.size();
  data_received_ = false;
  const Parser::State state = parser_.advance(input);
  if (!parser_.has_head()) return state;
  within_framing_ = parser_.within_chunk(input);
  // In chunks, or with a stated length where the response is no watch.
  const std::string part = parser_.take_decoded() + parser_.take_body(input);
  buffered_bytes_ = input.size();
  data_received_ = !part.empty();
  any_data_received_ = any_data_received_ || data_received_;
  lists_.put(part);
  if (state == Parser::State::kDone) lists_.put("\n");  // the end of the response ends its last list too
  return state;
}

bool ListResponse::incomplete() const {
  if (received_bytes_ == 0) return false;
  return !any_data_received_ || within_framing_ || lists_.held() > 0;
}

}  // namespace shorelead::node
