// What the store may give back as a plan or a record, under any bytes: read or refused with a cause, and what
// was read is written and read the same again. The first byte chooses the reader. Run by fuzz/run with a
// fixed number of inputs.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "fleet/plan.h"

using namespace shorelead::fleet;

namespace {

void must(bool holds) {
  if (!holds) std::abort();
}

template <typename Parse>
void read(std::string_view text, Parse parse) {
  std::string cause;
  const auto document = parse(text, cause);
  must(document.has_value() == cause.empty());
  if (!document) return;
  const std::string again = text_of(*document);
  const auto same = parse(again, cause);
  must(same.has_value() && text_of(*same) == again);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
  if (data[0] % 2 == 0) {
    read(text, parse_plan);
  } else {
    read(text, parse_record);
  }
  return 0;
}
