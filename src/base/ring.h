// A double-ended queue in one block of memory that only grows. Unlike std::deque it allocates nothing while
// elements pass through it at a constant size.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

namespace shorelead {

template <typename T>
class Ring {
 public:
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  const T& front() const { return block_[first_]; }  // requires !empty(), as do the next three
  const T& back() const { return block_[(first_ + size_ - 1) & (block_.size() - 1)]; }
  void pop_front() {
    first_ = (first_ + 1) & (block_.size() - 1);
    --size_;
  }
  void pop_back() { --size_; }
  void push_back(const T& value) {
    if (size_ == block_.size()) grow();
    block_[(first_ + size_++) & (block_.size() - 1)] = value;
  }

 private:
  void grow() {
    std::vector<T> larger(block_.empty() ? 16 : 2 * block_.size());
    for (std::size_t n = 0; n < size_; ++n) larger[n] = block_[(first_ + n) & (block_.size() - 1)];
    block_ = std::move(larger);
    first_ = 0;
  }
  std::vector<T> block_;  // a power of two
  std::size_t first_ = 0;
  std::size_t size_ = 0;
};

}  // namespace shorelead
