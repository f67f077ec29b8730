#include "fleet/lease_keeper.h"

namespace shorelead::fleet {

namespace {
constexpr double kRenewalsPerLease = 3;  // renewals per lease length
constexpr double kRetriesPerLease = 20;  // retries of a lost call per lease length
}  // namespace

void LeaseKeeper::call(bool wanted, std::uint64_t& calls, Millis now, std::vector<MemberCall>& out) {
  if (in_flight()) return;
  if (!wanted && lease_ == 0) return;
  if (wanted && now < due_) return;
  underway_ = {++calls, now};
  revoking_ = !wanted;
  due_ = now + sharing_.lease / kRenewalsPerLease;
  if (!wanted) {
    out.push_back(RevokeLease{calls, lease_});
  } else if (lease_ == 0) {
    out.push_back(GrantLease{calls, sharing_.lease});
  } else {
    out.push_back(RenewLease{calls, lease_});
  }
}

void LeaseKeeper::granted(std::int64_t lease) {
  lease_ = lease;
  held_since_ = underway_.begun;
}

void LeaseKeeper::lost(Millis now) {
  due_ = now + sharing_.lease / kRetriesPerLease;
  if (revoking_) lease_ = 0;
}

void LeaseKeeper::forget_call() {
  underway_ = {};
  due_ = 0;
}

void LeaseKeeper::gone() {
  lease_ = 0;
  due_ = 0;
}

}  // namespace shorelead::fleet
