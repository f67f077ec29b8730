// This node's attempts in flight at one backend: the part of its load that needs no report.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "base/millis.h"

namespace shorelead::estimate {

class OwnAttempts {
 public:
  // An attempt of `work` mean requests was sent. Unless `count_lost`, attempts that are taken to be lost
  // don't count: those that are overdue, and those sent before another one that was answered.
  void add(Millis sent, double work, bool count_lost) {
    attempts_.push_back({sent, work, false});
    count(count_lost);
  }
  void overdue(Millis sent, bool count_lost) {
    for (Attempt& attempt : attempts_) attempt.overdue = attempt.overdue || attempt.sent == sent;
    count(count_lost);
  }
  // The attempt whose time of sending is nearest to `sent` ended.
  void end(Millis sent, bool served, bool count_lost) {
    if (served) answered_ = std::max(answered_, sent);
    if (attempts_.empty()) return;
    attempts_.erase(
        std::min_element(attempts_.begin(), attempts_.end(), [sent](const Attempt& x, const Attempt& y) {
          return std::abs(x.sent - sent) < std::abs(y.sent - sent);
        }));
    count(count_lost);
  }
  bool none() const { return attempts_.empty(); }
  double held() const { return held_; }  // requests
  double work() const { return work_; }  // mean requests
  // Whether an attempt sent later than `sent` has been answered.
  bool overtaken(Millis sent) const { return sent < answered_; }
  // Number of attempts sent by `then` and not overtaken.
  double settled(Millis then) const {
    return static_cast<double>(std::count_if(attempts_.begin(), attempts_.end(), [&](const Attempt& attempt) {
      return attempt.sent <= then && attempt.sent > answered_;
    }));
  }

 private:
  struct Attempt {
    Millis sent = 0;
    double work = 1;
    bool overdue = false;
  };
  void count(bool count_lost) {
    held_ = work_ = 0;
    for (const Attempt& attempt : attempts_) {
      if (!count_lost && (attempt.overdue || overtaken(attempt.sent))) continue;
      held_ += 1;
      work_ += attempt.work;
    }
  }

  std::vector<Attempt> attempts_;
  Millis answered_ = 0;  // latest time of sending among served attempts
  double held_ = 0;
  double work_ = 0;
};

}  // namespace shorelead::estimate
