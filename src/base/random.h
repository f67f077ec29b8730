// Pseudo-random numbers that are the same on every platform, unlike those of the standard distributions. Not
// for cryptography.
#pragma once

#include <cstddef>
#include <cstdint>

namespace shorelead {

// SplitMix64 (Steele, Lea and Flood, 2014). The seed determines the sequence.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }            // in [0, 1)
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(next() % n); }  // in [0, n); n > 0

 private:
  std::uint64_t state_;
};

}  // namespace shorelead
