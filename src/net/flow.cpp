#include "net/flow.h"

#include <algorithm>
#include <utility>

namespace shorelead::net {

Flow::Flow(std::shared_ptr<FlowBudget> budget, std::optional<std::uint64_t> length)
    : budget_(std::move(budget)), charge_(budget_), length_(length) {
  ++budget_->open_;
  count();
}

Flow::~Flow() { --budget_->open_; }

// Its least part counts from the beginning, so that there is room for it.
void Flow::count() {
  const std::size_t buffered = bytes_.empty() ? 0 : bytes_.capacity();
  charge_.set(std::max(FlowBudget::kMinPart, buffered + unsent_));
}

std::size_t Flow::space() const {
  const std::size_t held = bytes_.size() + unsent_;
  const std::size_t part = budget_->part();
  return part - std::min(part, held);
}

void Flow::put(std::string bytes) {
  if (abandoned_ || cut_ || ended_ || bytes.empty()) return;
  passed_ += bytes.size();
  if (bytes_.empty()) {
    bytes_ = std::move(bytes);
  } else {
    bytes_ += bytes;
  }
  count();
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
  return std::exchange(bytes_, {});
}

void Flow::set_unsent(std::size_t bytes) {
  unsent_ = bytes;
  count();
  if (!full() && std::exchange(source_paused_, false)) notify(source_.room);
}

void Flow::leave() {
  if (std::exchange(abandoned_, true)) return;
  std::string().swap(bytes_);
  unsent_ = 0;
  count();
  notify(source_.left);
}

void Flow::leave_overdue() {
  overdue_ = true;
  leave();
}

}  // namespace shorelead::net
