// Messages from anybody: a message must come out the same whole and in two parts, and a body taken by parts
// must be the one that is kept whole.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "net/http.h"

using shorelead::net::Message;
using shorelead::net::Parser;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 2) return 0;
  const auto kind = data[0] % 2 == 0 ? Parser::Kind::kRequest : Parser::Kind::kResponse;
  const std::string text(reinterpret_cast<const char*>(data) + 2, size - 2);
  Message whole(kind);
  whole.raw = text;
  const Parser::State state = whole.parser.advance(whole.raw);
  Message parts(kind);
  std::string body;
  const std::size_t step = 1 + data[1];
  for (std::size_t at = 0; at < text.size(); at += step) {
    parts.raw += text.substr(at, step);
    if (parts.parser.advance(parts.raw) == Parser::State::kBad) break;
    if (parts.parser.has_head()) body += parts.parser.take_body(parts.raw);
  }
  if (parts.parser.advance(parts.raw) != state) std::abort();
  if (state == Parser::State::kDone && body != whole.body()) std::abort();
  return 0;
}
