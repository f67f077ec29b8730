// Whose record is gone so lately that what it sent may still be under way at the backends. Pure: what each
// read of the store shows, with the time in. It must never count a process as out before that time has passed
// since a read missed it, nor suppose that it saw everybody who was there before its first read.
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

class Leavers {
 public:
  Leavers(const Sharing& sharing, const std::vector<Budget>& budgets);

  void read(const std::vector<Record>& records, const std::optional<Plan>& plan, Millis now);
  void begin_anew();  // what happened meanwhile is not known

  // Still counted, by MemberId::text(): for what they had at once, or for a slot.
  std::map<std::string, Parts> gone() const;  // with what each had at most when it was last seen
  // Records as they would say: with the last epoch that each was seen to have, and never 0: it may have put
  // a plan in force after that.
  std::vector<Record> ghosts() const;
  // Anybody who was there before the first read is out, seen or not.
  Millis wait() const { return wait_; }
  bool knows_all(Millis now) const { return first_read_ >= 0 && now - first_read_ >= wait_; }

 private:
  friend struct ModelEye;

  struct Seen {
    Millis gone = -1;  // since when; -1 = it is there
    std::uint64_t epoch = 0;
    Parts had{};       // the most of its record and the plan
    bool out = false;  // for so long that it no longer counts, though a plan names it still
  };
  Millis wait_ = 0;
  Millis first_read_ = -1;
  std::map<std::string, Seen> seen_;
};

}  // namespace shorelead::fleet
