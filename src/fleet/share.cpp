#include "fleet/share.h"

namespace shorelead::fleet {

void RateShare::fill(Millis now, Millis valid_until) {
  if (at_ < 0) at_ = now;
  const double seconds = std::max(0.0, now - at_) / 1000;
  kept_ =
      std::min(reserve_.burst, kept_ + reserve_.amount * std::max(0.0, now - std::max(at_, from_)) / 1000);
  at_ = std::max(at_, now);
  // Somebody else may have it by now: neither what was saved nor the time since counts.
  tokens_ = now < valid_until ? std::min(part_.burst, tokens_ + part_.amount * seconds) : 0;
}

void RateShare::set(const Part& part, Millis now, Millis valid_until) {
  fill(now, valid_until);
  part_ = part;
  tokens_ = std::min(tokens_, part.burst);
}

Spent RateShare::spend(Millis now, Millis valid_until) {
  fill(now, valid_until);
  for (double* tokens : {&tokens_, &kept_}) {
    if (*tokens < 1) continue;
    *tokens -= 1;
    return Spent::kYes;
  }
  return now < valid_until ? Spent::kShare : Spent::kReserve;
}

Spent AtOnceShare::spend(Millis now, Millis valid_until) {
  if (began_ < 0) began_ = now;
  const bool valid = now < valid_until;
  const double most = (valid ? most_ : 0) + usable_reserve(now);
  if (in_use_ + 1 > most) return valid ? Spent::kShare : Spent::kReserve;
  ++in_use_;
  return Spent::kYes;
}

}  // namespace shorelead::fleet
