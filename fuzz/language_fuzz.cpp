// The configuration language under any bytes: read to the end, formatted to its own form where it has no
// mistake, and checked. A broken promise aborts. Run by fuzz/run with a fixed number of inputs.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "language/check.h"

using namespace shorelead::language;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const Tree tree = parse(text, "f");
  for (const Problem& problem : tree.problems) {
    if (problem.text().empty()) std::abort();
  }
  if (tree.problems.empty()) {
    const std::string formatted = format(tree);
    const Tree again = parse(formatted, "f");
    if (!again.problems.empty() || !again.same(tree) || format(again) != formatted) std::abort();
  }
  Reader reader;
  // Every include leads back to the text itself or to one further file, so that circles and depth are met.
  reader.read = [&text](const std::string&) { return std::optional(text); };
  reader.glob = [](const std::string& path) { return std::vector<std::string>{path.substr(0, 8)}; };
  const Document document = check("f", reader);
  for (const Problem& problem : document.problems) {
    if (problem.text().empty()) std::abort();
  }
  return 0;
}
