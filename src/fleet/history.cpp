#include "fleet/history.h"

namespace shorelead::fleet {

namespace {
constexpr std::size_t kMaxMarks = 16;  // an older answer is compared with the oldest of these
}

std::uint64_t History::floor(Millis begun) const {
  std::uint64_t floor = 0;
  for (const Mark& mark : marks_) {
    if (mark.at < begun) floor = mark.revision;
  }
  return floor;
}

History::Observation History::observe(const Header& header, Millis begun, Millis now) {
  if (cluster_ == 0) {
    cluster_ = header.cluster;
    since_ = now;
    marks_ = {{header.revision, now}};
    return Observation::kFirst;
  }
  if (header.cluster == cluster_ && header.revision >= floor(begun)) {
    if (header.revision > marks_.back().revision) {
      if (marks_.size() == kMaxMarks) marks_.erase(marks_.begin());
      marks_.push_back({header.revision, now});
    }
    return Observation::kSame;
  }
  // A call started before the first answer of this history may have been answered by the previous one.
  if (header.cluster != cluster_ && begun < since_) return Observation::kLate;
  cluster_ = header.cluster;
  since_ = now;
  marks_ = {{header.revision, now}};
  return Observation::kLost;
}

}  // namespace shorelead::fleet
