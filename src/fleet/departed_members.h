// Members whose record disappeared so recently that their requests may still be in flight at the backends. No
// I/O; fed with each read of the store and its time. A member counts until the waiting time has passed since
// the first read without it. Members from before the first read may not be known.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/millis.h"
#include "fleet/plan.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

class DepartedMembers {
 public:
  DepartedMembers(const Sharing& sharing, const std::vector<Budget>& budgets);

  void read(const std::vector<Record>& records, const std::optional<Plan>& plan, Millis now);
  void reset();  // forgets everything, since changes may have been missed

  // Members still counted, by MemberId::text(), for the concurrency budgets they held.
  std::map<std::string, Parts> gone() const;  // each with the most it may have held when last seen
  // Substitute records for them, with the last epoch seen of each, but at least 1: it may have put a plan in
  // force after that.
  std::vector<Record> substitute_records() const;
  // Whether every member from before the first read, seen or not, no longer counts.
  Millis wait() const { return wait_; }
  bool knows_all(Millis now) const { return first_read_ >= 0 && now - first_read_ >= wait_; }

 private:
  friend struct ModelEye;

  struct Seen {
    Millis gone = -1;  // first read without its record; -1 = it is present
    std::uint64_t epoch = 0;
    Parts had{};       // per budget, the maximum of its record and the plan
    bool out = false;  // no longer counts, though a plan may still name it
  };
  Millis wait_ = 0;
  Millis first_read_ = -1;
  std::map<std::string, Seen> seen_;
};

}  // namespace shorelead::fleet
