#include "limits/attempt_share.h"

#include <algorithm>

namespace shorelead::limits {

void AttemptShare::forget(Millis now) {
  if (began_ < 0) began_ = now;
  while (!taken_.empty() && taken_.front() <= now - window_) taken_.pop_front();
  while (!spent_.empty() && spent_.front() <= now - window_) spent_.pop_front();
  while (!had_.empty() && had_.front().until < now - window_) had_.pop_front();
}

void AttemptShare::set(double amount, Millis now) {
  forget(now);
  if (amount == amount_) return;
  // Only amounts under all later ones can still be the least.
  while (!had_.empty() && had_.back().amount >= std::min(amount, amount_)) had_.pop_back();
  if (amount > amount_) had_.push_back({now, amount_});
  amount_ = amount;
}

void AttemptShare::taken(Millis now) {
  forget(now);
  if (ratio_ > 0) taken_.push_back(now);
}

double AttemptShare::left(Millis now, Millis valid_until) {
  forget(now);
  double may = ratio_ * static_cast<double>(taken_.size());
  if (now - began_ >= window_) may += reserve_;
  if (now < valid_until) may += had_.empty() ? amount_ : had_.front().amount;
  return std::max(0.0, may - static_cast<double>(spent_.size()));
}

Spent AttemptShare::spend(Millis now, Millis valid_until) {
  if (left(now, valid_until) < 1) return now < valid_until ? Spent::kShare : Spent::kReserve;
  spent_.push_back(now);
  return Spent::kYes;
}

}  // namespace shorelead::limits
