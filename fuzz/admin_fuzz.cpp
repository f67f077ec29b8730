// Fuzzes the lines of admin calls and the file of bans: a line reads the same however its bytes are split,
// its size is bounded, and a damaged file is rejected with a cause.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "manage/bans.h"
#include "manage/calls.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace shorelead::manage;
  const std::string text(reinterpret_cast<const char*>(data), size);
  LineReader whole;
  const auto state = whole.add(text);
  LineReader parts;
  for (const char c : text) parts.add(std::string_view(&c, 1));
  if (parts.line().size() > kMaxCallBytes + 2) std::abort();
  if (state == LineReader::State::kLine && (parts.line() != whole.line())) std::abort();
  const ParsedCall parsed = parse_call(whole.line());
  if (!parsed.call && parsed.cause.empty()) std::abort();
  std::string cause;
  if (const auto set = BanSet::parse(text, cause)) {
    if (!(BanSet::parse(set->text(), cause) == set)) std::abort();
  } else if (cause.empty()) {
    std::abort();
  }
  return 0;
}
