// HTTP/1.1 messages: an incremental parser, and helpers for heads and bodies that both sides of the proxy
// use. Heads are not copied: fields are places in the caller's buffer. Ambiguous framing is an error, so that
// requests cannot be smuggled past the proxy.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/flow.h"

namespace shorelead::net {

constexpr std::size_t kMaxHeadBytes = 16384;
constexpr std::size_t kMaxBufferedBody = 65536;                 // larger ones are streamed
constexpr std::uint64_t kMaxRequestBody = 64ULL * 1024 * 1024;  // of any request's body
constexpr std::uint64_t kMaxResponseBody = 1ULL << 50;          // in effect unlimited

// A range of the buffer that a message is parsed from; it stays valid when the buffer grows or moves.
struct Place {
  std::size_t at = 0;
  std::size_t size = 0;
  std::string_view in(std::string_view buffer) const { return buffer.substr(at, size); }
};

struct Field {
  Place name;
  Place value;
  Place line;  // including its end of line
};

struct Head {
  Place method;  // of a request
  Place target;
  int status = 0;  // of a response
  int minor = 1;   // HTTP/1.x
  std::vector<Field> fields;
  bool keep_alive = true;

  const Field* find(std::string_view buffer, std::string_view name) const;
  std::string_view value(std::string_view buffer, std::string_view name) const;  // empty when absent
};

// Parses one message at the front of a growing buffer. Call advance() whenever the buffer has grown. For the
// next message remove size() bytes from the buffer and call reset().
class Parser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kHead, kBody, kDone, kBad };

  // A body of up to `max_buffered_body` bytes is buffered whole. One of up to `max_length` is accepted too,
  // but in parts: once large() returns true, the caller takes them with take_body().
  explicit Parser(Kind kind, std::size_t max_buffered_body = kMaxBufferedBody, std::uint64_t max_length = 0)
      : kind_(kind),
        max_buffered_body_(max_buffered_body),
        max_length_(max_length > 0 ? max_length : max_buffered_body) {}
  void reset();
  // For the response to a HEAD request: there is no body, whatever its head says.
  void expect_no_body() { no_body_ = true; }

  State advance(std::string_view buffer);
  // The peer closed: completes a body that is delimited by the close; any other unfinished message is bad.
  State finish();

  const Head& head() const { return head_; }
  bool has_head() const { return state_ == State::kBody || state_ == State::kDone; }
  // The body of a complete message.
  std::string_view body(std::string_view buffer) const {
    return chunked_ ? std::string_view(decoded_) : buffer.substr(head_size_, at_ - head_size_);
  }
  std::size_t size() const { return at_; }
  // Bytes that it holds beside the caller's buffer.
  std::size_t memory() const { return head_.fields.capacity() * sizeof(Field) + decoded_.capacity(); }
  int refusal() const { return refusal_; }      // in state kBad: the status to refuse a request with
  const char* cause() const { return cause_; }  // and the reason

  // Whether the body, as announced or as received so far, exceeds the limit for buffered bodies.
  bool large() const;
  // Its length, if the head gives it.
  std::optional<std::uint64_t> length() const;
  // Returns what has been received of the body since the last call, and removes it from the buffer with its
  // framing.
  std::string take_body(std::string& buffer);

  // For an endless chunked body: returns what was decoded since the last call, and the range of the buffer
  // that it took, which the caller removes.
  std::string take_decoded();
  Place take_consumed();
  // Whether the buffer ends within a chunk or its size, so that more of the body must follow.
  bool within_chunk(std::string_view buffer) const {
    if (state_ != State::kBody || !chunked_) return false;
    return chunk_ == Chunk::kData || (chunk_ == Chunk::kSize && at_ < buffer.size());
  }

 private:
  State bad(int refusal, const char* cause);
  bool parse_head(std::string_view buffer);
  bool start_is_possible(std::string_view buffer);
  bool parse_start_line(std::string_view buffer, Place line);
  bool parse_field(std::string_view buffer, Place line);
  bool parse_framing(std::string_view buffer);
  State advance_chunks(std::string_view buffer);

  Kind kind_;
  std::size_t max_buffered_body_;
  std::uint64_t max_length_;
  State state_ = State::kHead;
  Head head_;
  std::size_t scan_ = 0;  // the head has no end of line before this
  std::size_t head_size_ = 0;
  std::size_t at_ = 0;  // parsed up to here
  // body
  bool chunked_ = false;
  bool until_close_ = false;
  bool no_body_ = false;
  std::uint64_t length_ = 0;
  std::uint64_t taken_ = 0;      // bytes of the body taken with take_body()
  std::uint64_t body_size_ = 0;  // of a chunked body: sum of the sizes parsed so far
  std::string decoded_;
  enum class Chunk { kSize, kData, kDataEnd, kTrailer } chunk_ = Chunk::kSize;
  std::uint64_t chunk_left_ = 0;
  int refusal_ = 400;
  const char* cause_ = "";
};

std::string_view trim(std::string_view text);            // removes blanks and line ends
bool same_name(std::string_view a, std::string_view b);  // of header fields, ignoring case
// Whether a comma-separated list holds this token.
bool has_token(std::string_view list, std::string_view token);
// A message with the bytes that it was parsed from.
struct Message {
  explicit Message(Parser::Kind kind) : parser(kind) {}
  Message(Parser::Kind kind, std::uint64_t max_length) : parser(kind, kMaxBufferedBody, max_length) {}
  std::string raw;
  Parser parser;
  std::shared_ptr<Flow> flow;  // the body, if it is streamed
  const Head& head() const { return parser.head(); }
  std::string_view value(std::string_view name) const { return head().value(raw, name); }
  std::string_view body() const { return parser.body(raw); }
};

// Appends the header fields that are forwarded, as runs of whole lines.
void pass_fields(const Head& head, std::string_view buffer, std::vector<std::string_view>& pieces);

// A part of a body in its wire format: one chunk if the body is `chunked`, else the bytes themselves; the
// last part also holds the end of a chunked body. pieces() are views of `part` and of this object. Only the
// last part may be empty.
class FramedPart {
 public:
  FramedPart(std::string_view part, bool chunked, bool last);
  FramedPart(const FramedPart&) = delete;
  FramedPart& operator=(const FramedPart&) = delete;
  const std::array<std::string_view, 4>& pieces() const { return pieces_; }

 private:
  std::array<char, 32> size_{};
  std::array<std::string_view, 4> pieces_;
};

// Whether a field is not forwarded: it concerns one connection only, or the proxy writes its own.
bool hop_by_hop(std::string_view name);
std::optional<std::uint64_t> parse_whole(std::string_view text);
std::optional<double> parse_decimal(std::string_view text);

}  // namespace shorelead::net
