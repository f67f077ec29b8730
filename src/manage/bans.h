// The set of backends that an operator has taken out (banned), independent of the list of backends, and its
// text format for the file that the processes of one node share. Pure. A ban ends only with enable(), and
// truncated or changed text is rejected by a checksum.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/millis.h"

namespace shorelead::manage {

// The latest ban of a backend. The backend may have been restarted meanwhile without notice in the list, so
// it counts as started at the end of the ban until the list gives a later start time.
struct Ban {
  bool out = true;
  Millis since = 0;  // Unix time of the first disable()
  Millis until = 0;  // Unix time of enable()

  bool operator==(const Ban&) const = default;
};

class BanSet {
 public:
  // Return whether the set changed.
  bool disable(const std::string& id, Millis now);
  bool enable(const std::string& id, Millis now);

  bool out(const std::string& id) const;
  bool knows(const std::string& id) const { return bans_.count(id) > 0; }
  std::size_t count_out() const;
  // Start time of a backend for which the list gives `born`, corrected by its ban.
  Millis started(const std::string& id, Millis born) const;
  const std::map<std::string, Ban>& all() const { return bans_; }

  // A copy with all times converted to another clock.
  BanSet with_times(const std::function<Millis(Millis)>& convert) const;
  std::string text() const;  // ends with a line that holds the checksum
  static std::optional<BanSet> parse(std::string_view text, std::string& cause);

  bool operator==(const BanSet&) const = default;

 private:
  std::map<std::string, Ban> bans_;
};

}  // namespace shorelead::manage
