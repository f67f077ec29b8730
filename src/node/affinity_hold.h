// What a request has that a rule of affinity keeps at a unit: a place among those whose end is counted. Owns
// no code; whoever has a place tells its end exactly once.
#pragma once

#include <memory>

namespace shorelead::node {

class Holder {
 public:
  virtual ~Holder() = default;
  virtual bool may_send(int place) = 0;  // looked at just before bytes go out
  virtual void over(int place) = 0;      // nothing of it is under way any more
};

struct AffinityHold {
  std::shared_ptr<Holder> by;  // none: nobody counts
  int place = -1;

  bool may_send() const { return !by || by->may_send(place); }
  void over() const {
    if (by) by->over(place);
  }
};

}  // namespace shorelead::node
