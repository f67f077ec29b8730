// A vector that grows to the highest index written; reading an index past its end gives a default-constructed
// value. For values kept by dense numbers that another class gives out.
#pragma once

#include <cstddef>
#include <vector>

namespace shorelead {

template <typename T>
class GrowingVector {
 public:
  T& operator[](std::size_t n) {
    if (n >= all_.size()) all_.resize(n + 1);
    return all_[n];
  }
  const T& operator[](std::size_t n) const { return n < all_.size() ? all_[n] : default_value(); }
  auto begin() { return all_.begin(); }
  auto end() { return all_.end(); }

 private:
  static const T& default_value() {
    static const T kDefault{};
    return kDefault;
  }
  std::vector<T> all_;
};

}  // namespace shorelead
