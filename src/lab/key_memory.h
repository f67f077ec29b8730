// The keys that a box met lately, the last so many of them. Pure. Owns which are forgotten (the one met
// longest ago); it must never know what a key costs.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

namespace shorelead::lab {

class KeyMemory {
 public:
  explicit KeyMemory(std::size_t most) : most_(most) {}

  bool knows(const std::string& key) const { return places_.count(key) > 0; }

  void meet(const std::string& key) {
    if (most_ == 0) return;
    if (const auto found = places_.find(key); found != places_.end()) {
      keys_.splice(keys_.begin(), keys_, found->second);
      return;
    }
    if (keys_.size() == most_) {
      places_.erase(keys_.back());
      keys_.pop_back();
    }
    keys_.push_front(key);
    places_[key] = keys_.begin();
  }

 private:
  const std::size_t most_;
  std::list<std::string> keys_;  // the one met last in front
  std::unordered_map<std::string, std::list<std::string>::iterator> places_;
};

}  // namespace shorelead::lab
