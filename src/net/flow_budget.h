// The memory that streamed bodies, and responses of backends that are not whole yet, may hold in this
// process. Bytes are counted where they lie, so a share that was used stays counted whatever others get
// later.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace shorelead::net {

class FlowBudget {
 public:
  static constexpr std::size_t kMaxPart = 65536;  // bytes that one flow holds at most, on both sides together
  static constexpr std::size_t kMinPart = 4096;   // that each flow may hold, whatever the others do

  explicit FlowBudget(std::size_t bytes) : bytes_(bytes) {}
  void set_limit(std::size_t bytes) { bytes_ = bytes; }
  // Whether there is room for one more flow.
  bool room() const { return held_ + kMinPart <= bytes_; }
  // Bytes that each flow may hold now. Half of the limit is divided by need; the other half is kept for the
  // least parts of flows that begin later.
  std::size_t part() const {
    const std::size_t divided = bytes_ / 2;
    const std::size_t left = divided - std::min(divided, held_);
    return std::clamp(left / std::max<std::size_t>(1, open_), kMinPart, kMaxPart);
  }
  std::size_t open() const { return open_; }
  std::size_t held() const { return held_; }          // bytes
  bool scarce() const { return held_ > bytes_ / 2; }  // nothing is buffered that can be passed on
  bool over() const { return held_ > bytes_; }        // as the limit has been lowered

 private:
  friend class Flow;
  friend class MemoryCharge;
  std::size_t bytes_;
  std::size_t held_ = 0;
  std::size_t open_ = 0;
};

// What one holder has of a budget; given back with the object.
class MemoryCharge {
 public:
  explicit MemoryCharge(std::shared_ptr<FlowBudget> budget) : budget_(std::move(budget)) {}
  ~MemoryCharge() { set(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void set(std::size_t bytes) {
    budget_->held_ += bytes;
    budget_->held_ -= std::exchange(bytes_, bytes);
  }

 private:
  const std::shared_ptr<FlowBudget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace shorelead::net
