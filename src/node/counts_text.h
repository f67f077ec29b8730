// Formats counts by key for the log.
#pragma once

#include <string>

namespace shorelead::node {

// Returns text such as "200=5 503=1", or "none" if there are no counts.
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
