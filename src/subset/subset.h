// One node's subset over time: its own lot, and boxes lent by its neighbours' lots while its own has lost
// much of its capacity. Pure: events with the time in, changes of the subset out. Owns who is in the subset;
// it must never drop a box for being slow (that is the module's to judge), nor leave the subset empty while
// anybody is ready.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "subset/lots.h"

namespace shorelead::subset {

struct Listed {
  std::string id;
  int zone = 0;
  double size = 1;
  bool ready = true;  // else it drains; one that has gone is not listed
};

struct Change {
  std::vector<std::string> added;    // now to be worked with
  std::vector<std::string> removed;  // no longer; whatever is under way there goes on
  bool empty() const { return added.empty() && removed.empty(); }
};

class Subset {
 public:
  Subset(const Options& options, const Place& place);

  // The fleet changed: entries that are new or not as they were, and ids that have gone. What changes in the
  // subset is told by settle(), so that many changes at once cost one drawing.
  void put(const Listed& listed);
  void remove(const std::string& id);
  void clear();
  // Whether the node finds it answering. One that does not stays in the subset but counts as no capacity.
  void set_answering(const std::string& id, bool answering);
  void set_nodes(int nodes) { place_.nodes = nodes; }

  // Draws anew if anything changed since, and says what that changes.
  Change settle();

  std::vector<std::string> members() const;
  bool holds(const std::string& id) const;
  int lots() const { return lots_; }
  std::size_t fleet() const { return boxes_.size(); }
  std::size_t borrowed() const { return borrowed_; }

 private:
  struct Known {
    Box box;
    std::string id;
    bool ready = true;
    bool answering = true;
    bool member = false;
  };

  std::vector<std::uint32_t> chosen();

  const Options options_;
  Place place_;
  int lots_ = 0;
  std::vector<Known> boxes_;
  std::unordered_map<std::string, std::uint32_t> places_;
  std::vector<std::string> left_;  // members that have gone since the last settle()
  bool changed_ = false;
  std::size_t borrowed_ = 0;
};

}  // namespace shorelead::subset
