// Acquires, renews and revokes the process's lease at the store. No I/O. Its validity counts from the start
// of the last call whose success is known.
#pragma once

#include <cstdint>
#include <vector>

#include "base/millis.h"
#include "fleet/member_events.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

// The call waiting for its answer, if any.
struct Underway {
  std::uint64_t call = 0;
  Millis begun = 0;

  bool ended_by(std::uint64_t answered) {
    if (call == 0 || call != answered) return false;
    call = 0;
    return true;
  }
};

class LeaseKeeper {
 public:
  explicit LeaseKeeper(const Sharing& sharing) : sharing_(sharing) {}

  // Appends the call that is due, if any: grants or renews the lease, or revokes it if not `wanted`.
  void call(bool wanted, std::uint64_t& calls, Millis now, std::vector<MemberCall>& out);

  bool answers(std::uint64_t call) {
    return underway_.ended_by(call);
  }  // if so, `begun` is the start of that call
  Millis begun() const { return underway_.begun; }
  void granted(std::int64_t lease);
  void renewed() { held_since_ = underway_.begun; }
  void lost(Millis now);  // the call failed; a lease being revoked expires anyway
  void forget_call();
  void gone();

  std::int64_t lease() const { return lease_; }  // 0 = none
  Millis held_since() const { return held_since_; }
  Millis due() const { return due_; }
  bool in_flight() const { return underway_.call != 0; }

 private:
  friend struct ModelEye;

  const Sharing sharing_;
  std::int64_t lease_ = 0;
  Millis held_since_ = 0;  // start of the last call known to have granted or renewed it
  Millis due_ = 0;
  Underway underway_;
  bool revoking_ = false;  // the call in flight is the revocation
};

}  // namespace shorelead::fleet
