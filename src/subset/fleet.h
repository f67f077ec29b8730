// The fleet as listed, and its partitions into shards. Does no I/O and knows nothing of a node's traffic.
// Keeps the list of backends and one partition for each round that was asked for, computed once per state of
// the list. A node has one Fleet; many simulated nodes may share one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "subset/partition.h"

namespace shorelead::subset {

struct ListEntry {
  std::string id;
  int zone = 0;
  double size = 1;
  bool ready = true;  // false while it drains; a backend that is gone is not listed
};

class Fleet {
 public:
  struct Entry {
    Backend backend;
    std::string id;
    bool ready = true;
  };
  // One division of all ready backends into shards.
  struct Partition {
    std::vector<std::vector<std::uint32_t>> shards;  // positions of each shard's backends, for at()
    std::uint64_t version = 0;                       // of the list that it was computed from
  };

  explicit Fleet(const Options& options) : options_(options) {}

  void put(const ListEntry& listed);
  void remove(const std::string& id);
  void clear();

  std::uint64_t version() const { return version_; }  // changes whenever the list does
  std::size_t size() const { return backends_.size(); }
  std::size_t ready() const { return ready_; }
  double capacity() const;  // of all ready backends
  const Options& options() const { return options_; }
  const Entry& at(std::uint32_t position) const { return backends_[position]; }
  const std::vector<Entry>& backends() const { return backends_; }

  // Returns the number of shards for a node at `place`. It stays as it is while it fits; see shard_count().
  int update_shard_count(const Place& place);
  // O(n log n) in the number of backends if the list has changed since this round's partition was computed,
  // else O(1).
  const Partition& partition(std::uint64_t round, int shards);

 private:
  const Options options_;
  std::vector<Entry> backends_;
  std::unordered_map<std::string, std::uint32_t> positions_;
  std::unordered_map<std::uint64_t, Partition> partitions_;  // by round
  std::size_t ready_ = 0;
  std::uint64_t version_ = 1;
  int shards_ = 0;
};

}  // namespace shorelead::subset
