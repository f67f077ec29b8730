// Counts by some key as the log shows them. Owns no state.
#pragma once

#include <string>

namespace shorelead::node {

// "200=5 503=1" from counts by some key; "none" where there are none.
template <typename Counts, typename Name>
std::string listed(const Counts& counts, const Name& name) {
  std::string text;
  for (const auto& [key, count] : counts) {
    if (!text.empty()) text += ' ';
    text.append(name(key)).append("=").append(std::to_string(count));
  }
  return text.empty() ? std::string("none") : text;
}

}  // namespace shorelead::node
