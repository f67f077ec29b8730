// The fleet as listed and its divisions into lots. Pure: entries in, drawings out. Owns the list of backends
// and the drawings of the rounds that were asked for, each made once for a state of the list; a node has one,
// and many simulated nodes may share one. It must never know of a node's traffic.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "subset/partition.h"

namespace shorelead::subset {

struct Listed {
  std::string id;
  int zone = 0;
  double size = 1;
  bool ready = true;  // else it drains; one that has gone is not listed
};

class Fleet {
 public:
  struct Known {
    Backend backend;
    std::string id;
    bool ready = true;
  };
  // One division of all that are ready.
  struct Drawing {
    std::vector<std::vector<std::uint32_t>> lots;  // places of the backends of each lot
    std::uint64_t version = 0;
  };

  explicit Fleet(const Options& options) : options_(options) {}

  void put(const Listed& listed);
  void remove(const std::string& id);
  void clear();

  std::uint64_t version() const { return version_; }  // changes with the list
  std::size_t size() const { return backends_.size(); }
  std::size_t ready() const { return ready_; }
  double capacity() const;  // of all that are ready
  const Options& options() const { return options_; }
  const Known& at(std::uint32_t place) const { return backends_[place]; }
  const std::vector<Known>& backends() const { return backends_; }

  // The number of lots among so many nodes as `place` tells; it stays while it fits.
  int lots(const Place& place);
  // O(backends log backends) where the list has changed since this round was drawn, else nothing.
  const Drawing& drawing(std::uint64_t round, int lots);

 private:
  const Options options_;
  std::vector<Known> backends_;
  std::unordered_map<std::string, std::uint32_t> places_;
  std::unordered_map<std::uint64_t, Drawing> drawings_;  // by round
  std::size_t ready_ = 0;
  std::uint64_t version_ = 1;
  int lots_ = 0;
};

}  // namespace shorelead::subset
