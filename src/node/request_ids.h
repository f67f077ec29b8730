// The X-Request-IDs of open requests, and of the latest ones that may have had an effect: a request that
// comes again under one of these, as from a client that left and returned, is not run again. Clients give
// each request, also a retry, an id of its own. Bounded; does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

namespace shorelead::node {

// The latest ids that were added, by their hashes.
class RecentIds {
 public:
  explicit RecentIds(std::size_t capacity) : capacity_(capacity) {}
  void add(std::string_view id);
  bool contains(std::string_view id) const;

 private:
  const std::size_t capacity_;
  std::deque<std::uint64_t> order_;  // oldest first
  std::unordered_set<std::uint64_t> hashes_;
};

class RequestIds {
 public:
  enum class Verdict { kNew, kOpen, kMayHaveRun };

  // A request with this id is open from now on, if the verdict is kNew.
  Verdict open(std::string_view id);
  enum class End { kNothingRan, kMayHaveRun, kServed };
  // `end`: how an open request ended; kNothingRan also for one that has no effect.
  void close(std::string_view id, End end);

 private:
  static constexpr std::size_t kRemembered = 8192;  // of each kind

  std::unordered_set<std::string> open_;
  // Apart, so that requests that are served do not displace those whose clients know nothing of their
  // outcome.
  RecentIds served_{kRemembered};
  RecentIds unserved_{kRemembered};
};

}  // namespace shorelead::node
