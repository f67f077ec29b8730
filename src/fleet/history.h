// Which history of the store a process hears, and whether it is still the same one: a store that comes back
// from a copy answers with another cluster's number, or with revisions under those heard before. Pure. It
// must never take an answer that is merely late for a lost history, nor a new history for the old one.
//
// What it cannot see: a store that lost its tail under the same cluster's number and grew past everything
// that this process had heard before it heard again. etcd gives a restored copy another number.
#pragma once

#include <cstdint>
#include <vector>

#include "base/millis.h"

namespace shorelead::fleet {

// Of every answer.
struct Header {
  std::uint64_t cluster = 0;
  std::uint64_t revision = 0;

  bool operator==(const Header&) const = default;
};

class History {
 public:
  enum class Told {
    kSame,
    kFirst,  // nothing was heard before
    kLate,   // of a history that was left: nothing in this answer counts
    kLost,   // another history stands from now on
  };
  // `begun`: when the call was begun that this answers; of a watch, when the message before it was heard.
  Told heard(const Header& header, Millis begun, Millis now);

  std::uint64_t cluster() const { return cluster_; }  // 0 = none yet
  Millis since() const { return since_; }             // when the first answer of this history was heard

 private:
  struct Mark {
    std::uint64_t revision;
    Millis at;
  };
  std::uint64_t floor(Millis begun) const;  // an answer to a call begun then has at least this revision

  std::uint64_t cluster_ = 0;
  Millis since_ = 0;
  std::vector<Mark> marks_;  // the highest revisions of late, in rising order of both
};

}  // namespace shorelead::fleet
