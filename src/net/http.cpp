#include "net/http.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

namespace shorelead::net {
namespace {

constexpr std::size_t kMaxFields = 100;
constexpr std::size_t kMaxChunkLine = 256;  // size and extensions

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool token_char(char c) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
         kPunctuation.find(c) != std::string_view::npos;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), token_char);
}

bool blank(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

// A control character in a line could end it early for another parser.
bool has_control(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](char c) { return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f; });
}

}  // namespace

FramedPart::FramedPart(std::string_view part, bool chunked, bool last) {
  if (!chunked) {
    pieces_[0] = part;
    return;
  }
  if (!part.empty()) {
    std::snprintf(size_.data(), size_.size(), "%zx\r\n", part.size());
    pieces_ = {size_.data(), part, "\r\n", ""};
  }
  if (last) pieces_[3] = "0\r\n\r\n";
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && blank(text.back())) text.remove_suffix(1);
  return text;
}

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

bool has_token(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (same_name(trim(list.substr(0, comma)), token)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool hop_by_hop(std::string_view name) {
  constexpr std::array<std::string_view, 13> kNames = {
      "connection",   "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
      "te",           "trailer",    "upgrade",          "transfer-encoding",  "content-length",
      "x-timeout-ms", "expect",     "x-server-load"};
  return std::any_of(kNames.begin(), kNames.end(), [name](std::string_view n) { return same_name(n, name); });
}

void pass_fields(const Head& head, std::string_view buffer, std::vector<std::string_view>& pieces) {
  const std::string_view connection = head.value(buffer, "connection");
  std::size_t from = 0;
  std::size_t to = 0;
  for (const Field& field : head.fields) {
    const std::string_view name = field.name.in(buffer);
    if (hop_by_hop(name) || has_token(connection, name)) continue;
    if (to != field.line.at) {
      if (to > from) pieces.push_back(buffer.substr(from, to - from));
      from = field.line.at;
    }
    to = field.line.at + field.line.size;
  }
  if (to > from) pieces.push_back(buffer.substr(from, to - from));
}

std::optional<std::uint64_t> parse_whole(std::string_view text) {
  std::uint64_t value = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || rest != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<double> parse_decimal(std::string_view text) {
  double value = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || rest != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

const Field* Head::find(std::string_view buffer, std::string_view name) const {
  for (const Field& field : fields) {
    if (same_name(field.name.in(buffer), name)) return &field;
  }
  return nullptr;
}

std::string_view Head::value(std::string_view buffer, std::string_view name) const {
  const Field* field = find(buffer, name);
  return field == nullptr ? std::string_view{} : field->value.in(buffer);
}

void Parser::reset() {
  state_ = State::kHead;
  head_ = Head{};
  scan_ = head_size_ = at_ = 0;
  chunked_ = until_close_ = false;  // no_body_ stays: interim responses come before the final one
  length_ = body_size_ = chunk_left_ = taken_ = 0;
  decoded_.clear();
  chunk_ = Chunk::kSize;
  refusal_ = 400;
  cause_ = "";
}

Parser::State Parser::bad(int refusal, const char* cause) {
  refusal_ = refusal;
  cause_ = cause;
  return state_ = State::kBad;
}

Parser::State Parser::advance(std::string_view buffer) {
  if (state_ == State::kHead && !parse_head(buffer)) return state_;
  if (state_ != State::kBody) return state_;
  if (chunked_) return advance_chunks(buffer);
  const std::size_t received = buffer.size() - head_size_;
  if (until_close_) {
    if (taken_ + received > max_length_) return bad(413, "body too large");
    at_ = buffer.size();
    return state_;
  }
  const std::uint64_t left = length_ - taken_;
  at_ = head_size_ + static_cast<std::size_t>(std::min<std::uint64_t>(received, left));
  if (received >= left) state_ = State::kDone;
  return state_;
}

bool Parser::large() const {
  if (!has_head()) return false;
  const std::size_t here = chunked_ ? decoded_.size() : at_ - head_size_;
  return length_ > max_buffered_body_ || here > max_buffered_body_;
}

std::optional<std::uint64_t> Parser::length() const {
  return chunked_ || until_close_ ? std::nullopt : std::optional(length_);
}

std::string Parser::take_body(std::string& buffer) {
  std::string taken = chunked_ ? std::exchange(decoded_, {}) : buffer.substr(head_size_, at_ - head_size_);
  buffer.erase(head_size_, at_ - head_size_);
  at_ = head_size_;
  taken_ += taken.size();
  return taken;
}

Parser::State Parser::finish() {
  if (state_ == State::kBody && until_close_) return state_ = State::kDone;
  return state_ == State::kDone ? state_ : bad(400, "cut short");
}

// Parses complete lines only, so that the result does not depend on how bytes arrive and none is read twice.
bool Parser::parse_head(std::string_view buffer) {
  if (head_size_ == 0 && !start_is_possible(buffer)) return false;
  while (true) {
    const std::size_t end = buffer.find('\n', scan_);
    if (end == std::string_view::npos || end >= kMaxHeadBytes) {
      scan_ = buffer.size();
      if (buffer.size() >= kMaxHeadBytes) bad(431, "head too large");
      return false;
    }
    if (end == at_ || buffer[end - 1] != '\r') return bad(400, "line without CR LF"), false;
    const Place line{at_, end - 1 - at_};
    const bool first = head_size_ == 0;
    at_ = scan_ = end + 1;
    if (line.size == 0) {
      if (first) {
        // One empty line before the request line is allowed (RFC 9112 section 2.2); more are not.
        if (kind_ == Kind::kRequest && at_ == 2) {
          if (!start_is_possible(buffer)) return false;
          continue;
        }
        return bad(400, "empty start line"), false;
      }
      head_size_ = at_;
      state_ = State::kBody;
      return parse_framing(buffer);
    }
    if (first ? !parse_start_line(buffer, line) : !parse_field(buffer, line)) return false;
    head_size_ = at_;
  }
}

// Rejects what cannot become a message at its first bytes, as it may contain no line end to wait for.
bool Parser::start_is_possible(std::string_view buffer) {
  const std::string_view start = buffer.substr(at_);
  if (kind_ == Kind::kResponse) {
    constexpr std::string_view kPrefix = "HTTP/1.";
    const std::size_t received = std::min(start.size(), kPrefix.size());
    return start.substr(0, received) == kPrefix.substr(0, received) || (bad(400, "bad status line"), false);
  }
  // parse_head() checks an empty line before the request line.
  const bool fits = start.empty() || token_char(start[0]) || start[0] == '\r' || start[0] == '\n';
  return fits || (bad(400, "bad request line"), false);
}

bool Parser::parse_start_line(std::string_view buffer, Place place) {
  const std::string_view line = place.in(buffer);
  const auto version = [this](std::string_view text) {
    if (text != "HTTP/1.1" && text != "HTTP/1.0") return false;
    head_.minor = text.back() - '0';
    return true;
  };
  if (has_control(line)) return bad(400, "control character"), false;
  if (kind_ == Kind::kResponse) {
    if (line.size() < 12 || !version(line.substr(0, 8)) || line[8] != ' ' ||
        (line.size() > 12 && line[12] != ' ')) {
      return bad(400, "bad status line"), false;
    }
    const auto status = parse_whole(line.substr(9, 3));
    if (!status || *status < 100) return bad(400, "bad status line"), false;
    head_.status = static_cast<int>(*status);
    return true;
  }
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || last == first || !version(line.substr(last + 1))) {
    return bad(400, "bad request line"), false;
  }
  head_.method = {place.at, first};
  head_.target = {place.at + first + 1, last - first - 1};
  const std::string_view target = head_.target.in(buffer);
  if (!is_token(head_.method.in(buffer)) || target.empty() || target[0] != '/' ||
      target.find(' ') != std::string_view::npos) {
    return bad(400, "bad request line"), false;
  }
  return true;
}

bool Parser::parse_field(std::string_view buffer, Place place) {
  const std::string_view line = place.in(buffer);
  const std::size_t colon = line.find(':');
  // Also rejects folded lines and blanks before the colon, which other parsers read differently.
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon)) || has_control(line)) {
    return bad(400, "bad header field"), false;
  }
  if (head_.fields.size() == kMaxFields) return bad(431, "too many header fields"), false;
  const std::string_view value = trim(line.substr(colon + 1));
  const auto offset = static_cast<std::size_t>(value.empty() ? line.size() : value.data() - line.data());
  head_.fields.push_back({{place.at, colon}, {place.at + offset, value.size()}, {place.at, place.size + 2}});
  return true;
}

bool Parser::parse_framing(std::string_view buffer) {
  const Field* length = nullptr;
  const Field* encoding = nullptr;
  int hosts = 0;
  head_.keep_alive = head_.minor == 1;
  for (const Field& field : head_.fields) {
    const std::string_view name = field.name.in(buffer);
    const std::string_view value = field.value.in(buffer);
    if (same_name(name, "content-length")) {
      if (length != nullptr) return bad(400, "repeated Content-Length"), false;
      length = &field;
    } else if (same_name(name, "transfer-encoding")) {
      if (encoding != nullptr) return bad(400, "repeated Transfer-Encoding"), false;
      encoding = &field;
    } else if (same_name(name, "connection")) {
      if (has_token(value, "close")) head_.keep_alive = false;
      if (head_.minor == 0 && has_token(value, "keep-alive")) head_.keep_alive = true;
    } else if (same_name(name, "host")) {
      ++hosts;
    }
  }
  if (kind_ == Kind::kRequest && (hosts > 1 || (hosts == 0 && head_.minor == 1))) {
    return bad(400, "needs one Host"), false;
  }
  if (encoding != nullptr) {
    if (length != nullptr) return bad(400, "Content-Length beside Transfer-Encoding"), false;
    if (head_.minor == 0 || !same_name(encoding->value.in(buffer), "chunked")) {
      return bad(400, "unknown Transfer-Encoding"), false;
    }
    chunked_ = !no_body_;
    if (no_body_) state_ = State::kDone;
    return true;
  }
  if (length != nullptr) {
    const std::string_view text = length->value.in(buffer);
    const auto value = parse_whole(text);
    const bool digits = std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!digits || text.empty()) return bad(400, "bad Content-Length"), false;
    if (!value || *value > max_length_) return bad(413, "body too large"), false;
    length_ = *value;
  }
  if (kind_ == Kind::kResponse) {
    const bool bodiless = no_body_ || head_.status < 200 || head_.status == 204 || head_.status == 304;
    if (bodiless) length_ = 0;
    until_close_ = length == nullptr && !bodiless;
    if (until_close_) head_.keep_alive = false;
  }
  return true;
}

Parser::State Parser::advance_chunks(std::string_view buffer) {
  while (true) {
    if (chunk_ == Chunk::kData) {
      const auto take = static_cast<std::size_t>(std::min<std::uint64_t>(chunk_left_, buffer.size() - at_));
      decoded_.append(buffer.substr(at_, take));
      at_ += take;
      chunk_left_ -= take;
      if (chunk_left_ > 0) return state_;
      chunk_ = Chunk::kDataEnd;
    }
    const std::size_t end = buffer.find('\n', at_);
    if (end == std::string_view::npos) {
      if (buffer.size() - at_ > kMaxChunkLine) bad(400, "bad chunk");
      return state_;
    }
    if (end == at_ || buffer[end - 1] != '\r') return bad(400, "bad chunk");
    const std::string_view line = buffer.substr(at_, end - 1 - at_);
    if (line.size() > kMaxChunkLine || has_control(line)) return bad(400, "bad chunk");
    at_ = end + 1;
    // One-byte chunks or endless trailers would fill the buffer with framing alone.
    if (at_ - head_size_ > kMaxHeadBytes + max_buffered_body_ * 8) return bad(413, "too much framing");
    switch (chunk_) {
      case Chunk::kSize: {
        const std::string_view digits = line.substr(0, std::min(line.find(';'), line.size()));
        std::uint64_t size = 0;
        const auto [rest, error] = std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
        if (error != std::errc() || rest != digits.data() + digits.size()) return bad(400, "bad chunk");
        if (size > max_length_ || body_size_ + size > max_length_) return bad(413, "body too large");
        body_size_ += size;
        chunk_left_ = size;
        chunk_ = size > 0 ? Chunk::kData : Chunk::kTrailer;
        break;
      }
      case Chunk::kDataEnd:
        if (!line.empty()) return bad(400, "bad chunk");
        chunk_ = Chunk::kSize;
        break;
      case Chunk::kTrailer:
        if (line.empty()) return state_ = State::kDone;
        break;
      case Chunk::kData:
        break;
    }
  }
}

std::string Parser::take_decoded() {
  body_size_ -= std::min<std::uint64_t>(body_size_, decoded_.size());
  return std::exchange(decoded_, {});
}

Place Parser::take_consumed() {
  const Place taken{head_size_, at_ - head_size_};
  at_ = head_size_;
  return taken;
}

}  // namespace shorelead::net
