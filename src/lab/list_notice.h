// Since when a node counts as notified that a box drains or is gone, by each sentence of the operators'
// pages, from what discovery and the network saw: never from what the node believed. The earliest that
// applies binds. Pure; owns an index of the record. Times are the lab's, in milliseconds.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "lab/records.h"

namespace shorelead::lab {

class ListNotices {
 public:
  // A change binds so long after discovery had it and could be reached.
  static constexpr Millis kAfterChange = 6000;
  // After a watch has fallen silent.
  static constexpr Millis kAfterSilence = 6000;
  // After a watch has ended in order in place of a change, where lists are requested.
  static constexpr Millis kAfterEnd = 2000;
  // After a new configuration, where lists are pushed.
  static constexpr Millis kAfterReload = 4000;

  enum class By { kWritten, kAge, kUnasked, kSilence, kEnd, kPushed };
  struct Notice {
    Millis at = 0;
    By by = By::kWritten;
  };

  explicit ListNotices(const Run& run);

  // The first of a withdrawal of that box that binds the process of that node that ran at `now`, and has not
  // been taken back by then: the box counts as ready again once that was written to the node, or an answer to
  // a call of the process, or 6 s after discovery had it; where lists are pushed, as soon as discovery has
  // it.
  std::optional<Notice> withdrawn(int node, int box, Millis now) const;

 private:
  struct Span {  // a node without an answer: from the end of its watch to the end of its next call
    Millis from = 0;
    Millis to = 0;
  };

  // From when discovery first had a box withdrawn until it had it ready again.
  struct Withdrawal {
    Millis from = 0;
    Millis to = 0;  // infinity: it never did
  };

  std::optional<Notice> notice_of(int node, int box, const Withdrawal& withdrawal, Millis start) const;
  bool returned(int node, int box, const Withdrawal& withdrawal, Millis start, Millis now) const;
  Millis reachable(Millis from) const;
  Millis started(int node, Millis now) const;
  void index_unasked(int node);
  std::optional<Millis> by_silence(int node, Millis had) const;
  std::optional<Millis> by_end(int node, Millis had, Millis start) const;
  std::optional<Millis> by_push(int node, Millis had) const;
  std::optional<Millis> by_unasked(int node, Millis had, Millis start) const;

  const Run& run_;
  std::map<int, std::vector<Withdrawal>> withdrawals_;             // by box
  std::map<std::pair<int, int>, std::vector<Millis>> told_;        // by node and box: when that was written
  std::map<std::pair<int, int>, std::vector<Millis>> told_ready_;  // and when it was written to be ready
  std::map<int, std::vector<const ListCall*>> calls_;              // by node, in order of their begin
  std::map<int, std::vector<Millis>> starts_;
  std::map<int, std::vector<Millis>> reloads_;
  std::map<int, std::vector<Span>> unasked_;
};

const char* name_of(ListNotices::By by);

}  // namespace shorelead::lab
