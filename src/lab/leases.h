// Leases of the stand-in's store as published for etcd v3: granted, kept alive, run out. Pure, in simulated
// time. Owns who has which lease until when, and which there were at an older revision; it must never know
// keys.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/millis.h"

namespace shorelead::lab {

class Leases {
 public:
  struct Lease {
    Millis length = 0;
    Millis ends = 0;
    std::uint64_t since = 0;  // the store's revision when it was granted
  };

  // False where there is one of this number.
  bool grant(std::int64_t id, Millis length, Millis now, std::uint64_t revision);
  bool keep_alive(std::int64_t id, Millis now);
  bool there(std::int64_t id) const { return leases_.count(id) > 0; }
  const Lease* find(std::int64_t id) const;
  std::int64_t unused() { return ++last_; }  // a number that no lease had, also in a history that was lost
  // It is over at this revision of the store.
  void end(std::int64_t id, std::uint64_t revision);
  std::optional<std::int64_t> run_out(Millis now) const;  // one that has, the lowest number first

  // Those that stood at `revision` stand again and last for their whole length from now, as after a restart.
  void restore(std::uint64_t revision, Millis now);

 private:
  struct Past {
    std::int64_t id;
    Lease lease;
    std::uint64_t until;
  };
  std::map<std::int64_t, Lease> leases_;
  std::vector<Past> past_;
  std::int64_t last_ = 0x5000;
};

}  // namespace shorelead::lab
