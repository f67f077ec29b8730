// Lines from any caller and files that anybody left: read the same at every split, bounded, and never taken
// for whole.
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
  if (parts.line().size() > kMostLine + 2) std::abort();
  if (state == LineReader::State::kLine && (parts.line() != whole.line())) std::abort();
  const Reading reading = read_call(whole.line());
  if (!reading.call && reading.cause.empty()) std::abort();
  std::string cause;
  if (const auto set = BanSet::parse(text, cause)) {
    if (!(BanSet::parse(set->text(), cause) == set)) std::abort();
  } else if (cause.empty()) {
    std::abort();
  }
  return 0;
}
