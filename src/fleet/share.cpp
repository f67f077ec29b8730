#include "fleet/share.h"

namespace shorelead::fleet {

void RateShare::fill(Millis now, Millis valid_until) {
  if (at_ < 0) at_ = now;
  // Once it has expired another process may have the part: neither tokens saved beyond the reserve nor the
  // time since then count.
  const bool valid = now < valid_until;
  double filled = reserve_.amount * std::max(0.0, now - std::max(at_, from_));
  if (valid) filled += part_.amount * std::max(0.0, now - at_);
  at_ = std::max(at_, now);
  tokens_ = std::min((now < from_ ? 0 : reserve_.burst) + (valid ? part_.burst : 0), tokens_ + filled * 1e-3);
}

// Saved tokens belong to the share, since the reserve starts empty: the fill before and the one after cap the
// bucket at the size that applies then.
void RateShare::reserve_from(Millis from, Millis now, Millis valid_until) {
  fill(now, valid_until);
  from_ = from;
  fill(now, valid_until);
}

void RateShare::set(const Part& part, Millis now, Millis valid_until) {
  fill(now, valid_until);
  part_ = part;
  fill(now, valid_until);
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
