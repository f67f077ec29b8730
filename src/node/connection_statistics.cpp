#include "node/connection_statistics.h"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <utility>

#include "node/net.h"

namespace shorelead::node {
namespace {

constexpr double kMedianMultiple = 10;  // of the median connect time, after which a connect is given up,
constexpr Millis kMinTimeout = 20;      // but not before a busy machine could answer
constexpr double kMedianStep = 1.1;     // factor by which one connect moves the median
constexpr Millis kMinMedian = 0.1;      // lower bound of the median
// Largest accepted value in a load report; no machine has more requests in progress.
constexpr double kMaxLoadValue = 1e5;
constexpr Millis kRecentlyUsed = 25;    // a connection idle for less counts as in use
constexpr double kFailureGain = 0.1;    // weight of one request in the failure rate
constexpr double kFailureMargin = 0.2;  // failure rate that makes an idle time unusable, in addition to
constexpr double kFailureRatio = 2;     // this multiple of the rate on recently used connections
constexpr Millis kUnusableFor = 10000;  // how long an idle time stays unusable

}  // namespace

std::optional<LoadReport> parse_load(std::string_view text) {
  static constexpr std::array<std::pair<std::string_view, double LoadReport::*>, 6> kNames = {
      {{"inflight", &LoadReport::in_hand},
       {"queue", &LoadReport::waiting},
       {"util", &LoadReport::busy},
       {"qps", &LoadReport::rate},
       {"latency_ms", &LoadReport::latency},
       {"eps", &LoadReport::error_rate}}};
  LoadReport report;
  bool any = false;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    const std::string_view pair = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const auto named =
        std::find_if(kNames.begin(), kNames.end(),
                     [name = trim(pair.substr(0, equals))](const auto& n) { return n.first == name; });
    if (named == kNames.end() || equals == pair.size()) continue;
    // A report with one invalid value is rejected as a whole. One huge value would outweigh everything known
    // of the fleet for hours.
    const std::optional<double> value = parse_decimal(trim(pair.substr(equals + 1)));
    if (!value || *value < 0 || *value > kMaxLoadValue) return std::nullopt;
    report.*(named->second) = *value;
    any = true;
  }
  return any ? std::optional(report) : std::nullopt;
}

std::size_t IdleConnectionRecord::slot(Millis age) {
  std::size_t n = 0;
  for (Millis most = kRecentlyUsed; age >= most && n + 1 < std::tuple_size_v<decltype(slots_)>; most *= 2)
    ++n;
  return n;
}

void IdleConnectionRecord::record_outcome(Millis age, bool failed, Millis now) {
  const std::size_t n = slot(age);
  Slot& at = slots_[n];
  at.failure_rate += kFailureGain * ((failed ? 1 : 0) - at.failure_rate);
  // Compared with recently used connections: if those fail as often, idle time is not the cause.
  if (n == 0 || at.failure_rate <= kFailureMargin + kFailureRatio * slots_[0].failure_rate) return;
  at.unusable_until = now + kUnusableFor;
  at.failure_rate = 0;
}

bool IdleConnectionRecord::usable(Millis age, Millis now) const {
  const auto last = slots_.begin() + static_cast<std::ptrdiff_t>(slot(age)) + 1;
  return std::none_of(slots_.begin(), last, [now](const Slot& one) { return now < one.unusable_until; });
}

Millis ConnectTimeout::typical() const {
  if (median_ <= 0) return max_;
  return std::min(max_, std::max(kMinTimeout, kMedianMultiple * median_));
}

Millis ConnectTimeout::limit(BackendId backend, bool probe) const {
  return probe || distant_.count(backend) != 0 ? max_ : typical();
}

void ConnectTimeout::connected(BackendId backend, Millis took) {
  took > typical() ? void(distant_.insert(backend)) : forget(backend);
  if (median_ <= 0) {
    median_ = std::max(took, kMinMedian);
  } else {
    median_ = std::max(kMinMedian, took > median_ ? median_ * kMedianStep : median_ / kMedianStep);
  }
}

// If more than half of the connects time out, the network path has become slow, and the median rises with it.
void ConnectTimeout::timed_out() { median_ = std::min(max_, median_ * kMedianStep); }

}  // namespace shorelead::node
