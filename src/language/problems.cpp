#include "language/problems.h"

#include <algorithm>
#include <tuple>

namespace shorelead::language {

std::vector<Problem> Problems::in_order(std::vector<Problem> all, const std::vector<std::string>& files) {
  std::stable_sort(all.begin(), all.end(), [&files](const Problem& x, const Problem& y) {
    const auto order = [&files](const Place& p) {
      return std::tuple(std::find(files.begin(), files.end(), p.file), p.line, p.column);
    };
    return order(x.place) < order(y.place);
  });
  // Shared statements are checked wherever they are used, so their errors are found more than once.
  const auto same = [](const Problem& x, const Problem& y) { return x.text() == y.text(); };
  all.erase(std::unique(all.begin(), all.end(), same), all.end());
  return all;
}

void Problems::take(const std::vector<Problem>& parsed) {
  problems_.insert(problems_.end(), parsed.begin(), parsed.end());
}

Problem& Problems::warning(const Place& place, std::string cause, std::string hint) {
  warnings_.push_back(problem(place, std::move(cause), std::move(hint)));
  problems_.pop_back();
  warnings_.back().warning = true;
  return warnings_.back();
}

Problem& Problems::problem(const Place& place, std::string cause, std::string hint) {
  Problem p{place, std::move(cause), std::move(hint), "", {}, false};
  const auto lines = lines_.find(place.file);
  if (lines != lines_.end() && place.line >= 1 && place.line <= static_cast<int>(lines->second.size())) {
    p.line = lines->second[static_cast<std::size_t>(place.line) - 1];
  }
  problems_.push_back(std::move(p));
  return problems_.back();
}

}  // namespace shorelead::language
