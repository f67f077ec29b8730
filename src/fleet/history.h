// Detects whether the store still has the history that this process has seen. A store restored from a backup
// answers with another cluster id, or with revisions below those seen before. No I/O. A late answer is not
// taken for a lost history, nor a new history for the old one.
//
// Limit: it cannot detect a store that lost its latest writes under the same cluster id and grew past every
// revision seen by this process before the next answer. etcd gives a restored backup another cluster id.
#pragma once

#include <cstdint>
#include <vector>

#include "base/millis.h"

namespace shorelead::fleet {

// The header of every answer of the store.
struct Header {
  std::uint64_t cluster = 0;
  std::uint64_t revision = 0;

  bool operator==(const Header&) const = default;
};

class History {
 public:
  enum class Observation {
    kSame,
    kFirst,  // the first answer
    kLate,   // from an earlier history: the answer is to be ignored
    kLost,   // another history is current from now on
  };
  // `begun`: when the answered call was started; for a watch, when the previous message arrived.
  Observation observe(const Header& header, Millis begun, Millis now);

  std::uint64_t cluster() const { return cluster_; }  // 0 = none yet
  Millis since() const { return since_; }             // when the first answer of this history arrived

 private:
  struct Mark {
    std::uint64_t revision;
    Millis at;
  };
  std::uint64_t floor(Millis begun) const;  // lowest revision of an answer to a call started then

  std::uint64_t cluster_ = 0;
  Millis since_ = 0;
  std::vector<Mark> marks_;  // the latest highest revisions, ascending in revision and time
};

}  // namespace shorelead::fleet
