// A list that is as long as it is asked for: what was never named is as made anew. For figures kept by dense
// numbers that others give out.
#pragma once

#include <cstddef>
#include <vector>

namespace shorelead {

template <typename T>
class Grown {
 public:
  T& operator[](std::size_t n) {
    if (n >= all_.size()) all_.resize(n + 1);
    return all_[n];
  }
  const T& operator[](std::size_t n) const { return n < all_.size() ? all_[n] : none(); }
  auto begin() { return all_.begin(); }
  auto end() { return all_.end(); }

 private:
  static const T& none() {
    static const T kNone{};
    return kNone;
  }
  std::vector<T> all_;
};

}  // namespace shorelead
