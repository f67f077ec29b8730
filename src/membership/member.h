// One backend as a source of backends names it. Owns no code; it must never hold what only one kind of source
// knows.
#pragma once

#include <string>

#include "base/millis.h"

namespace shorelead::membership {

struct Member {
  std::string host;  // the same at every node and after a restart
  std::string dial;
  std::string health;  // "ready", "draining", "gone"; another word counts as gone
  std::string site;
  int cell = 0;
  double size = 1;
  Millis born = 0;  // when it last started: by the wall clock as its source labels it, by the loop's clock
                    // once a BackendSource has handed it on; 0 = long past

  bool operator==(const Member&) const = default;
};

}  // namespace shorelead::membership
