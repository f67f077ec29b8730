#include "node/connection_statistics.h"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <utility>

#include "node/net.h"

namespace shorelead::node {
namespace {

constexpr double kConnectTimes = 10;     // the median that connections took, after which one is given up,
constexpr Millis kConnectLeast = 20;     // but not sooner than a busy machine may take
constexpr double kMedianStep = 1.1;      // by which one of them moves the median
constexpr Millis kConnectTiniest = 0.1;  // and how low
constexpr double kMostLoad = 1e5;        // in any figure of a load report: no machine has so many in hand
constexpr Millis kYoung = 25;            // unused for less, a connection is as good as in use
constexpr double kBrokeGain = 0.1;       // weight of one request
constexpr double kBrokeMore = 0.2;       // share broken, on top of
constexpr double kBrokeTimes = 2;    // this multiple of the share on young ones, from which an age is unfit
constexpr Millis kUnfitFor = 10000;  // after which it is tried again

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
    // A report that is wrong in one figure is not to be believed in the others; and one huge figure would
    // outweigh all that is known of a fleet for hours.
    const std::optional<double> value = parse_decimal(trim(pair.substr(equals + 1)));
    if (!value || *value < 0 || *value > kMostLoad) return std::nullopt;
    report.*(named->second) = *value;
    any = true;
  }
  return any ? std::optional(report) : std::nullopt;
}

std::size_t KeptRecord::slot(Millis age) {
  std::size_t n = 0;
  for (Millis most = kYoung; age >= most && n + 1 < std::tuple_size_v<decltype(slots_)>; most *= 2) ++n;
  return n;
}

void KeptRecord::note(Millis age, bool broke, Millis now) {
  const std::size_t n = slot(age);
  Slot& at = slots_[n];
  at.broke += kBrokeGain * ((broke ? 1 : 0) - at.broke);
  // Compared with connections just used: where those break as well, age is not the cause.
  if (n == 0 || at.broke <= kBrokeMore + kBrokeTimes * slots_[0].broke) return;
  at.unfit_until = now + kUnfitFor;
  at.broke = 0;
}

bool KeptRecord::fit(Millis age, Millis now) const {
  const auto last = slots_.begin() + static_cast<std::ptrdiff_t>(slot(age)) + 1;
  return std::none_of(slots_.begin(), last, [now](const Slot& one) { return now < one.unfit_until; });
}

Millis ConnectWait::common() const {
  if (median_ <= 0) return most_;
  return std::min(most_, std::max(kConnectLeast, kConnectTimes * median_));
}

Millis ConnectWait::limit(BackendId backend, bool probe) const {
  return probe || far_.count(backend) != 0 ? most_ : common();
}

void ConnectWait::came_up(BackendId backend, Millis took) {
  took > common() ? void(far_.insert(backend)) : forget(backend);
  if (median_ <= 0) {
    median_ = std::max(took, kConnectTiniest);
  } else {
    median_ = std::max(kConnectTiniest, took > median_ ? median_ * kMedianStep : median_ / kMedianStep);
  }
}

// Where more than half are given up it is the path that has become slow, and the median follows.
void ConnectWait::gave_up() { median_ = std::min(most_, median_ * kMedianStep); }

// One attempt or probe under way.

}  // namespace shorelead::node
