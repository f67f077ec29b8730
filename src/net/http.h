// HTTP/1.1 messages: an incremental parser and what both sides of the proxy need to know of a head. It owns
// the framing and nothing else. It must never copy a head (fields are places in the caller's buffer), never
// read past the message it is at, and never guess where framing is in doubt: that is an error.
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
constexpr std::size_t kMaxBufferedBody = 65536;                 // kept whole
constexpr std::uint64_t kMaxRequestBody = 64ULL * 1024 * 1024;  // and of a request's body at all
constexpr std::uint64_t kMaxResponseBody = 1ULL << 50;          // of an answer's: the backend's own affair

// A place in the buffer that a message is parsed in; it stays right when the buffer grows or moves.
struct Place {
  std::size_t at = 0;
  std::size_t size = 0;
  std::string_view in(std::string_view buffer) const { return buffer.substr(at, size); }
};

struct Field {
  Place name;
  Place value;
  Place line;  // with its end of line
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

// Parses one message at the front of a buffer that only grows. Call advance() whenever it has grown; for the
// next message drop size() bytes and reset().
class Parser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kHead, kBody, kDone, kBad };

  // A body may be `max_buffered_body` long where it is kept whole. Up to `max_length` it is taken as well,
  // but by parts: once large() says so, whoever reads it takes them with take_body().
  explicit Parser(Kind kind, std::size_t max_buffered_body = kMaxBufferedBody, std::uint64_t max_length = 0)
      : kind_(kind),
        max_buffered_body_(max_buffered_body),
        max_length_(max_length > 0 ? max_length : max_buffered_body) {}
  void reset();
  // Of a response: it is one to HEAD, so its head is all, whatever that says of a body.
  void expect_no_body() { no_body_ = true; }

  State advance(std::string_view buffer);
  // The other side closed: completes a body that lasts until then; anything else unfinished is cut short.
  State finish();

  const Head& head() const { return head_; }
  bool has_head() const { return state_ == State::kBody || state_ == State::kDone; }
  // The body of a message that is done.
  std::string_view body(std::string_view buffer) const {
    return chunked_ ? std::string_view(decoded_) : buffer.substr(head_size_, at_ - head_size_);
  }
  std::size_t size() const { return at_; }
  int refusal() const { return refusal_; }      // when bad: the status a request is refused with
  const char* cause() const { return cause_; }  // and why

  // The body is longer than is kept whole, or what came of it is.
  bool large() const;
  // Its length, where the head tells.
  std::optional<std::uint64_t> length() const;
  // What has come of the body since the last call; goes out of the buffer, with its framing.
  std::string take_body(std::string& buffer);

  // For a chunked body without end: what was decoded since the last call, and how many bytes after the head
  // it took; the caller drops those from its buffer.
  std::string take_decoded();
  Place take_consumed();

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
  std::size_t scan_ = 0;  // no end of the head before this
  std::size_t head_size_ = 0;
  std::size_t at_ = 0;  // parsed up to here
  // body
  bool chunked_ = false;
  bool until_close_ = false;
  bool no_body_ = false;
  std::uint64_t length_ = 0;
  std::uint64_t taken_ = 0;      // of the body, with take_body()
  std::uint64_t body_size_ = 0;  // of a chunked one, as far as sizes have come
  std::string decoded_;
  enum class Chunk { kSize, kData, kDataEnd, kTrailer } chunk_ = Chunk::kSize;
  std::uint64_t chunk_left_ = 0;
  int refusal_ = 400;
  const char* cause_ = "";
};

std::string_view trim(std::string_view text);            // of blanks and line ends
bool same_name(std::string_view a, std::string_view b);  // of header fields: case does not count
// Whether a comma-separated list of tokens holds this one.
bool has_token(std::string_view list, std::string_view token);
// One message with the bytes that it was parsed from.
struct Message {
  explicit Message(Parser::Kind kind) : parser(kind) {}
  Message(Parser::Kind kind, std::uint64_t max_length) : parser(kind, kMaxBufferedBody, max_length) {}
  std::string raw;
  Parser parser;
  std::shared_ptr<Flow> flow;  // the body, where it is not whole here
  const Head& head() const { return parser.head(); }
  std::string_view value(std::string_view name) const { return head().value(raw, name); }
  std::string_view body() const { return parser.body(raw); }
};

// Appends the header fields that go on to the other side, as runs of whole lines.
void pass_fields(const Head& head, std::string_view buffer, std::vector<std::string_view>& pieces);

// A part of a body as it goes out, `last` or not: in chunks as one of them, else as it is; views of `part`
// and of itself. An empty part that is not the last has no form.
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

// Fields that say how one connection is used and are not passed on, nor those that the proxy writes anew.
bool hop_by_hop(std::string_view name);
std::optional<std::uint64_t> parse_whole(std::string_view text);
std::optional<double> parse_decimal(std::string_view text);

}  // namespace shorelead::net
