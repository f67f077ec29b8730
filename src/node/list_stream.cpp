#include "node/list_stream.h"

namespace shorelead::node {
namespace {

bool blank(std::string_view text) { return text.find_first_not_of(" \t\r\n") == std::string_view::npos; }

}  // namespace

void ListStream::put(std::string_view bytes) {
  text_.erase(0, begun_);
  at_ -= begun_;
  line_ -= begun_;
  begun_ = 0;
  text_ += bytes;
}

std::optional<std::string> ListStream::next() {
  while ((at_ = text_.find_first_of("\n\"\\{}[]", at_)) < text_.size()) {
    const char c = text_[at_];
    if (c == '\\' && in_string_) {
      if (at_ + 1 == text_.size()) return std::nullopt;  // the escaped character has not arrived
      // Does not skip a newline, which no string contains.
      at_ += text_[at_ + 1] == '\n' ? 1 : 2;
      continue;
    }
    ++at_;
    if (c == '"') in_string_ = !in_string_;
    if (!in_string_ && (c == '{' || c == '[')) ++depth_;
    if (!in_string_ && (c == '}' || c == ']')) --depth_;
    if (c != '\n' || !ends_here()) continue;
    std::string text = text_.substr(begun_, at_ - begun_);
    begun_ = at_;
    depth_ = 0;
    in_string_ = false;
    if (!blank(text)) return text;
  }
  at_ = text_.size();
  return std::nullopt;
}

// An object may span lines until it is closed. A truncated object would swallow everything after it, so the
// text also ends at a newline within a string and at a blank line: no writer puts one inside an object, and a
// watch sends one as a keep-alive.
bool ListStream::ends_here() {
  const std::string_view line = std::string_view(text_).substr(line_, at_ - line_);
  line_ = at_;
  return depth_ <= 0 || in_string_ || blank(line);
}

}  // namespace shorelead::node
