// What a process says that it refused for want of room at boxes, not for the shortage of the fleet: whether
// the boxes' ledgers bear it out, whether it falls on ranks as chance would, and whether it is said in place
// of shedding by plan. Pure. Owns these three judgements; it must never believe a word alone, nor judge what
// was refused for the shortage.
//
//   believed   half of the boxes were crowded within the second before, which is as old as news of them may
//   be; even       at the same moments higher ranks are not refused so more often than lower ones, beyond
//   chance,
//              at a process or at all together: one that sheds upside down is found whatever it says;
//   not lasting  once boxes have been crowded for longer than a fleet may take to shed by plan, no large part
//              of a higher rank meets full boxes while a lower one is taken: else there is no plan in force.
#pragma once

#include <string>
#include <vector>

#include "lab/audit_view.h"
#include "lab/box_press.h"

namespace shorelead::lab {

struct Decided {
  Millis at = 0;
  std::size_t rule = 0;  // FleetRules::ranks
  bool taken = false;
  bool refused = false;  // for the shortage
  bool no_room = false;  // without an attempt too, for want of room as it says;
  bool doubted = false;  // which boxes do not bear out
  const Asked* asked = nullptr;
};

bool says_no_room(const Asked& asked);

class RoomClaims {
 public:
  RoomClaims(const RunView& view, Audit& audit)
      : view_(view), rules_(view.run.fleet), press_(view), findings_(audit) {}

  bool believed(const Asked& asked, int pool) const;
  void judge_evenness(const std::string& who, const std::vector<Decided>& list);
  void judge_lasting(std::vector<Decided> all);

 private:
  bool comparable(std::size_t high, std::size_t low) const;

  const RunView& view_;
  const FleetRules& rules_;
  const BoxPress press_;
  Findings findings_;
};

}  // namespace shorelead::lab
