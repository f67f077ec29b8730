#include "forwarder_sharing.h"

#include <time.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <thread>

namespace forwarder {
namespace {

constexpr double kRate = 0.04;  // units a millisecond: "whole" of the experiment, and its burst
constexpr double kBurst = 4;
constexpr double kTurn = 600;
constexpr double kTurnPause = 100;  // a unit spent is at a box by then
constexpr double kEarly = 400;      // raises before the other has lowered (a flaw)

constexpr double kCycle = 10000;

constexpr double kMapEvery = 1500;
constexpr double kMapPause = 500;  // longer than any request's time

constexpr double kBeat = 5;
constexpr double kStood = 50;     // so long without a beat: it stood still
constexpr double kReadAll = 300;  // by then all that had come meanwhile has been read

}  // namespace

double machine_ms() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<double>(now.tv_sec) * 1000 + static_cast<double>(now.tv_nsec) / 1e6;
}

Turns::Turns(int me, int count, std::string_view flaw) : me_(me), count_(count), flaw_(flaw) {
  if (flaw_ != "spends_after_a_pause") return;
  // Counts what is left of its turn by own steps: they stand still with it.
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      const std::lock_guard<std::mutex> lock(mutex_);
      left_ = std::max(0.0, left_ - 10);
    }
  }).detach();
}

bool Turns::mine(double now) {
  const double begin = flaw_ == "raises_early" ? now + kEarly : now;
  const auto turn = static_cast<std::int64_t>(std::floor(begin / kTurn));
  if (turn != turn_ && turn % count_ == me_ && now < static_cast<double>(turn + 1) * kTurn - kTurnPause) {
    turn_ = turn;
    until_ = static_cast<double>(turn + 1) * kTurn - kTurnPause;
    left_ = until_ - now;
    tokens_ = 0;
    at_ = now;
  }
  if (turn_ < 0) return false;
  if (flaw_ == "ignores_expiry") return true;
  return flaw_ == "spends_after_a_pause" ? left_ > 0 : now < until_;
}

bool Turns::spend() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const double now = machine_ms();
  if (!mine(now)) return false;
  tokens_ = std::min(kBurst, tokens_ + (now - at_) * kRate);
  at_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

bool shed(std::string_view tenant, std::string_view id, std::string_view flaw) {
  const double at = std::fmod(machine_ms(), kCycle);
  const int rank = tenant == "gold" ? 1 : tenant == "silver" ? 2 : 3;
  const double coin = static_cast<double>(std::hash<std::string_view>()(id) % 1000) / 1000;
  double lowest = 0;  // shares that are shed
  double middle = 0;
  if (at >= 2000) lowest = at < 3000 || at >= 9500 ? 0.5 : 1;
  if (at >= 5400 && at < 7000) middle = 0.5;
  const int low = flaw == "sheds_upside_down" || flaw == "blames_boxes" ? 1 : 3;
  return rank == low ? coin < lowest : rank == 2 && coin < middle;
}

std::optional<std::size_t> box_of(std::string_view key, std::size_t boxes, double now, int me,
                                  std::string_view flaw) {
  if (boxes == 0) return std::nullopt;
  auto map = static_cast<std::uint64_t>(std::floor(now / kMapEvery));
  const bool moves = std::fmod(now, kMapEvery) < kMapPause;
  if (flaw == "stale_slot" && me == 0) {
    map -= 1;
  } else if (flaw == "both_open" && moves) {
    map -= static_cast<std::uint64_t>(me % 2);
  } else if (moves) {
    return std::nullopt;
  }
  return (std::hash<std::string_view>()(key) + map) % boxes;
}

void Heart::beat() {
  while (true) {
    std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<int>(kBeat)));
    const std::lock_guard<std::mutex> lock(mutex_);
    const double now = machine_ms();
    if (now - last_ > kStood) {
      stood_from_ = last_;
      stood_to_ = now;
      stood_ += now - last_;
    }
    last_ = now;
  }
}

double Heart::unread_since() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const double now = machine_ms();
  if (now - last_ > kStood) return last_;
  return now - stood_to_ < kReadAll ? stood_from_ : now;
}

double Heart::steps_ms() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const double now = machine_ms();
  return now - stood_ - (now - last_ > kStood ? now - last_ : 0);
}

}  // namespace forwarder
