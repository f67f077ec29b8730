#include "limits/attempt_share.h"

#include <algorithm>

namespace shorelead::limits {

void AttemptShare::expire(Millis now) {
  if (began_at_ < 0) began_at_ = now;
  while (!requests_.empty() && requests_.front() <= now - window_) requests_.pop_front();
  while (!attempts_.empty() && attempts_.front() <= now - window_) attempts_.pop_front();
  while (!earlier_amounts_.empty() && earlier_amounts_.front().until < now - window_)
    earlier_amounts_.pop_front();
}

void AttemptShare::set(double amount, Millis now) {
  expire(now);
  if (amount == amount_) return;
  // Keeps only amounts that are below all later ones; no other one can become the minimum.
  while (!earlier_amounts_.empty() && earlier_amounts_.back().amount >= std::min(amount, amount_))
    earlier_amounts_.pop_back();
  if (amount > amount_) earlier_amounts_.push_back({now, amount_});
  amount_ = amount;
}

void AttemptShare::taken(Millis now) {
  expire(now);
  if (ratio_ > 0) requests_.push_back(now);
}

double AttemptShare::left(Millis now, Millis valid_until) {
  expire(now);
  double allowed = ratio_ * static_cast<double>(requests_.size());
  if (now - began_at_ >= window_) allowed += reserve_;
  if (now < valid_until) allowed += earlier_amounts_.empty() ? amount_ : earlier_amounts_.front().amount;
  return std::max(0.0, allowed - static_cast<double>(attempts_.size()));
}

Spent AttemptShare::spend(Millis now, Millis valid_until) {
  if (left(now, valid_until) < 1) return now < valid_until ? Spent::kShare : Spent::kReserve;
  attempts_.push_back(now);
  return Spent::kYes;
}

}  // namespace shorelead::limits
