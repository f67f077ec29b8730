// The place that a request holds while an affinity rule keeps it at a unit (a backend, cell or zone): a
// closed slot moves only once all places in it are released. The holder of a place releases it exactly once.
#pragma once

#include <memory>

namespace shorelead::node {

// Who counts the places.
class AffinityPlaces {
 public:
  virtual ~AffinityPlaces() = default;
  virtual bool may_send(int place) = 0;  // checked just before bytes are written
  virtual void release(int place) = 0;   // no attempt of its request is in flight any more
};

struct AffinityHold {
  std::shared_ptr<AffinityPlaces> places;  // null: the request holds no place
  int place = -1;

  bool may_send() const { return !places || places->may_send(place); }
  void release() const {
    if (places) places->release(place);
  }
};

}  // namespace shorelead::node
