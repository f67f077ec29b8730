#include "fleet/share.h"

namespace shorelead::fleet {

void RateShare::fill(Millis now, Millis valid_until) {
  if (at_ < 0) at_ = now;
  const double seconds = std::max(0.0, now - at_) / 1000;
  at_ = std::max(at_, now);
  // Past its validity somebody else may have the part: neither what was saved beyond the reserve nor the
  // time since counts.
  const bool valid = now < valid_until;
  const double amount = reserve_.amount + (valid ? part_.amount : 0);
  tokens_ = std::min(reserve_.burst + (valid ? part_.burst : 0), tokens_ + amount * seconds);
}

void RateShare::set(const Part& part, Millis now, Millis valid_until) {
  fill(now, valid_until);
  part_ = part;
  tokens_ = std::min(tokens_, reserve_.burst + part_.burst);
}

Spent RateShare::spend(Millis now, Millis valid_until) {
  fill(now, valid_until);
  if (tokens_ >= 1) {
    tokens_ -= 1;
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
