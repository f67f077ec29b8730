// A backend as described by any source of backends. Holds only what is common to all kinds of sources.
#pragma once

#include <string>

#include "base/millis.h"

namespace shorelead::membership {

struct Member {
  std::string host;  // the same at every node and after a restart
  std::string dial;
  std::string health;  // "ready", "draining" or "gone"; any other value counts as gone
  std::string site;
  int cell = 0;
  double size = 1;
  // When it last started: by the wall clock as labelled by its source, by the loop's clock once a
  // BackendSource has passed it on; 0 = long ago.
  Millis started = 0;

  bool operator==(const Member&) const = default;
};

}  // namespace shorelead::membership
