#include "net/flow.h"

#include <algorithm>
#include <utility>

namespace shorelead::net {

std::size_t FlowBudget::part() const {
  return std::clamp(bytes_ / std::max<std::size_t>(1, open_) / kSides, kMinPart, kMaxPart);
}

Flow::Flow(std::shared_ptr<FlowBudget> budget, std::optional<std::uint64_t> length)
    : budget_(std::move(budget)), length_(length) {
  ++budget_->open_;
}

Flow::~Flow() { --budget_->open_; }

void Flow::put(std::string bytes) {
  if (abandoned_ || cut_ || ended_ || bytes.empty()) return;
  passed_ += bytes.size();
  if (bytes_.empty()) {
    bytes_ = std::move(bytes);
  } else {
    bytes_ += bytes;
  }
  notify(sink_.more);
  source_paused_ = full();
}

// Calls a copy, as a callback may replace or clear its own side.
void Flow::notify(const std::function<void()>& told) {
  const std::function<void()> hold = told;
  if (hold) hold();
}

void Flow::end() {
  if (!std::exchange(ended_, true)) notify(sink_.more);
}

void Flow::cut() {
  if (!ended_ && !std::exchange(cut_, true)) notify(sink_.cut);
}

std::string Flow::take() {
  if (bytes_.empty()) return {};
  touched_ = true;
  std::string taken = std::exchange(bytes_, {});
  if (std::exchange(source_paused_, false)) notify(source_.room);
  return taken;
}

void Flow::leave() {
  if (std::exchange(abandoned_, true)) return;
  bytes_.clear();
  notify(source_.left);
}

void Flow::leave_overdue() {
  overdue_ = true;
  leave();
}

}  // namespace shorelead::net
