// The requests that the module has, until nothing of them is out: their attempts, and when the host gives
// each up. Owns these and what they name (backends' numbers, places of affinity); it must never decide about
// one.
#pragma once

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "node/hold.h"
#include "node/roster.h"

namespace shorelead::node {

class OpenRequests {
 public:
  struct Open {
    Millis due = 0;
    std::vector<BackendId> attempts{};
    int out = 0;
    int most_attempts = 1;  // as the settings said when it came
    Unit home{};
    Hold hold{};
    bool over = false;
  };

  explicit OpenRequests(Roster& roster) : roster_(roster) {}

  void begin(RequestId request, Open open);
  Open* find(RequestId request);
  // It has had its final answer; once nothing of it is out it is forgotten, at the latest with `ended`.
  void answered(RequestId request, Open& open);
  void ended(RequestId request, Open& open);  // an attempt of it has
  void due(RequestId request, Millis due);    // from now on
  std::optional<RequestId> overdue(Millis now);
  bool may_write(RequestId request);
  Millis next() const { return deadlines_.empty() ? 0 : deadlines_.begin()->first; }
  std::size_t size() const { return requests_.size(); }

 private:
  void forget(RequestId request, Open& open);

  Roster& roster_;
  std::unordered_map<RequestId, Open> requests_;
  std::set<std::pair<Millis, RequestId>> deadlines_;
  bool any_held_ = false;  // ever
};

}  // namespace shorelead::node
