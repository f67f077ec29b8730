#include "node/list_reader.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <array>

namespace shorelead::node {
namespace {

using Allocator = rapidjson::MemoryPoolAllocator<>;
using Document = rapidjson::GenericDocument<rapidjson::UTF8<>, Allocator>;

constexpr std::string_view kSpace = " \t\r\n";
constexpr std::size_t kEntryRoom = 8192;  // bytes; more than an entry needs, else each one allocates a chunk

void parse(Document& document, std::string_view text) {
  document.Parse(text.data(), text.size());
  if (document.HasParseError()) throw FieldError(rapidjson::GetParseError_En(document.GetParseError()));
}

[[noreturn]] void cut_short() { throw FieldError("the list is truncated"); }

}  // namespace

bool ListReader::advance(int entries) {
  while (true) {
    if (!hosts_) {
      if (!scan_rest()) {
        finish();
        return true;
      }
      hosts_ = true;
      any_ = false;
    }
    if (!in_text()) cut_short();
    if (text_[at_] == ']' && !any_) {
      hosts_ = false;
      copied_ = at_;
      continue;
    }
    if (entries-- <= 0) return false;
    read_entry();
    any_ = true;
    if (!in_text()) cut_short();
    const char next = text_[at_];
    if (next == ']') {
      hosts_ = false;
      copied_ = at_;
    } else if (next == ',') {
      ++at_;
    } else {
      throw FieldError("Missing a comma or ] after an array element.");
    }
  }
}

// Does not check the syntax: errors are found when the remaining text is parsed.
bool ListReader::scan_rest() {
  for (; at_ < text_.size(); ++at_) {
    const char c = text_[at_];
    if (c == '{' || c == '[') ++depth_;
    if (c == '}' || c == ']') --depth_;
    if (c != '"') continue;
    const std::size_t from = at_;
    skip_string();
    const std::string_view name = std::string_view(text_).substr(from, at_ - from);
    --at_;
    if (depth_ != 1 || name != "\"hosts\"") continue;
    std::size_t next = text_.find_first_not_of(kSpace, at_ + 1);
    if (next == std::string::npos || text_[next] != ':') continue;
    next = text_.find_first_not_of(kSpace, next + 1);
    if (next == std::string::npos || text_[next] != '[') continue;
    at_ = next + 1;
    rest_.append(text_, copied_, at_ - copied_);
    ++depth_;
    return true;
  }
  rest_.append(text_, copied_, std::string::npos);
  return false;
}

void ListReader::read_entry() {
  const std::size_t from = at_;
  if (text_[at_] != '{') fields::bad("hosts", "holds something that is not an object");
  skip_object();
  std::array<char, kEntryRoom> room;
  Allocator allocator(room.data(), room.size());
  Document entry(&allocator, kEntryRoom / 8);
  parse(entry, std::string_view(text_).substr(from, at_ - from));
  list_.backends.push_back(parse_backend(entry));
}

bool ListReader::in_text() {
  at_ = text_.find_first_not_of(kSpace, at_);
  return at_ != std::string::npos;
}

// Skips a string, from its opening to its closing quotation mark.
void ListReader::skip_string() {
  while (true) {
    at_ = text_.find_first_of("\"\\", at_ + 1);
    if (at_ == std::string::npos) cut_short();
    if (text_[at_++] == '"') return;
  }
}

void ListReader::skip_object() {
  int depth = 0;
  do {
    at_ = text_.find_first_of("\"{}", at_);
    if (at_ == std::string::npos) cut_short();
    if (text_[at_] == '"') {
      skip_string();
      continue;
    }
    depth += text_[at_++] == '{' ? 1 : -1;
  } while (depth > 0);
}

void ListReader::finish() {
  Document document;
  parse(document, rest_);
  List rest = parse_list(document);
  list_.version = rest.version;
  list_.whole = rest.whole;
  if (list_.backends.empty()) list_.backends = std::move(rest.backends);
}

}  // namespace shorelead::node
