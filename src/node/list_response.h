// One response of discovery as it arrives: its head, its framing, and the text of the lists in it. Owns what
// was received and not yet returned. It parses no lists and keeps no time.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "node/list_stream.h"
#include "node/net.h"

namespace shorelead::node {

class ListResponse {
 public:
  static constexpr std::size_t kMaxBytes = 8U << 20;

  void reset();

  // Takes what has arrived. `input` is the connection's from the start of the response; the body is removed
  // from it.
  Parser::State receive(std::string& input);

  bool has_head() const { return parser_.has_head(); }
  int status() const { return parser_.head().status; }
  const char* cause() const { return parser_.cause(); }  // in state kBad
  // Whether the last receive() brought part of a list or a keep-alive.
  bool data_received() const { return data_received_; }
  // Returns the text of the next list that is whole.
  std::optional<std::string> next() { return lists_.next(); }

  // Whether the response has begun and what has arrived does not end with a whole list or keep-alive, so that
  // the rest may hold changes. Valid once next() has returned nothing.
  bool incomplete() const;
  std::size_t incomplete_list_bytes() const { return lists_.held(); }
  bool too_long() const { return lists_.held() > kMaxBytes; }     // a list exceeds the limit
  std::size_t received_bytes() const { return received_bytes_; }  // with head and framing

 private:
  Parser parser_{Parser::Kind::kResponse, kMaxBytes};
  ListStream lists_;
  std::size_t received_bytes_ = 0;
  std::size_t buffered_bytes_ = 0;  // of these still in the connection's input
  bool data_received_ = false;      // by the last receive()
  bool any_data_received_ = false;  // since the response began
  bool within_framing_ = false;     // the last byte belongs to a chunk that is not whole
};

}  // namespace shorelead::node
