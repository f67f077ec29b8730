// A process's lease at the store: asked for, renewed in time, given back. Pure. Owns from when it surely
// holds; it must never count from the end of a call, nor from a call whose answer is not known.
#pragma once

#include <cstdint>
#include <vector>

#include "base/millis.h"
#include "fleet/member_events.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

// A call that awaits its answer, or none.
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

  // The call that is due, if one is: a lease is asked for, renewed, or given back where `wanted` is false.
  void call(bool wanted, std::uint64_t& calls, Millis now, std::vector<MemberCall>& out);

  bool answers(std::uint64_t call) { return underway_.ended_by(call); }  // then `begun` is that call's
  Millis begun() const { return underway_.begun; }
  void granted(std::int64_t lease);
  void renewed() { held_since_ = underway_.begun; }
  void lost(Millis now);  // the call's answer; a lease given back, or not, runs out
  void forget_call();
  void gone();

  std::int64_t lease() const { return lease_; }  // 0 = none
  Millis held_since() const { return held_since_; }
  Millis due() const { return due_; }
  bool waits() const { return underway_.call != 0; }

 private:
  friend struct ModelEye;

  const Sharing sharing_;
  std::int64_t lease_ = 0;
  Millis held_since_ = 0;  // when the last call was begun that surely granted or renewed it
  Millis due_ = 0;
  Underway underway_;
  bool gives_back_ = false;  // by the call under way
};

}  // namespace shorelead::fleet
