#include "lab/draw.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/seed_seq.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <vector>

namespace shorelead::lab {

Draw::Draw(std::uint64_t seed, std::string_view stream) {
  std::vector<std::uint32_t> words{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32)};
  for (const char c : stream) words.push_back(static_cast<unsigned char>(c));
  boost::random::seed_seq sequence(words.begin(), words.end());
  engine_.seed(sequence);
}

double Draw::uniform(double low, double high) {
  return low + (high - low) * boost::random::uniform_01<double>()(engine_);
}

std::uint64_t Draw::whole(std::uint64_t below) {
  return boost::random::uniform_int_distribution<std::uint64_t>(0, below - 1)(engine_);
}

double Draw::exponential(double mean) {
  return boost::random::exponential_distribution<double>(1 / mean)(engine_);
}

double Draw::lognormal(double mean, double cv) {
  const double variance = std::log(1 + cv * cv);
  return boost::random::lognormal_distribution<double>(std::log(mean) - variance / 2,
                                                       std::sqrt(variance))(engine_);
}

std::string Draw::hex(int digits) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  std::uint64_t bits = 0;
  for (int n = 0; n < digits; ++n) {
    if (n % 16 == 0) bits = engine_();
    text += kDigits[bits & 15];
    bits >>= 4;
  }
  return text;
}

Millis Work::draw(Draw& from) const {
  switch (shape) {
    case Shape::kConstant:
      return mean;
    case Shape::kExponential:
      return from.exponential(mean);
    case Shape::kLognormal:
      return from.lognormal(mean, cv);
    case Shape::kPareto: {
      // Inverse of the distribution function on [1, bound], scaled to the mean wanted.
      const double tail = 1 - std::pow(bound, -alpha);
      const double unit_mean =
          alpha == 1 ? std::log(bound) / tail : alpha / (alpha - 1) * (1 - std::pow(bound, 1 - alpha)) / tail;
      return mean / unit_mean * std::pow(1 - from.uniform(0, 1) * tail, -1 / alpha);
    }
  }
  return mean;
}

Zipf::Zipf(int count, double skew) {
  double sum = 0;
  for (int n = 1; n <= count; ++n) sums_.push_back(sum += std::pow(n, -skew));
}

int Zipf::draw(Draw& from) const {
  const auto at = std::upper_bound(sums_.begin(), sums_.end(), from.uniform(0, sums_.back()));
  return static_cast<int>(std::min<std::ptrdiff_t>(at - sums_.begin(), std::ssize(sums_) - 1));
}

}  // namespace shorelead::lab
