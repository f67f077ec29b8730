// This node's attempts out at one backend: what the node knows of its load without being told. It keeps
// count; it chooses nothing.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "base/millis.h"

namespace shorelead::estimate {

class OwnAttempts {
 public:
  // One was sent, of so many mean requests' work. With `lost_are_out` false, one sent before another that was
  // answered, or said to be overdue, is lost, as it seems, and counts no longer.
  void add(Millis sent, double work, bool lost_are_out) {
    out_.push_back({sent, work, false});
    count(lost_are_out);
  }
  void overdue(Millis sent, bool lost_are_out) {
    for (Out& out : out_) out.overdue = out.overdue || out.sent == sent;
    count(lost_are_out);
  }
  // One is over: the one on record that was sent nearest to then.
  void end(Millis sent, bool served, bool lost_are_out) {
    if (served) answered_ = std::max(answered_, sent);
    if (out_.empty()) return;
    out_.erase(std::min_element(out_.begin(), out_.end(), [sent](const Out& x, const Out& y) {
      return std::abs(x.sent - sent) < std::abs(y.sent - sent);
    }));
    count(lost_are_out);
  }
  bool none() const { return out_.empty(); }
  double held() const { return held_; }  // requests
  double work() const { return work_; }  // mean requests
  // Whether one sent then was overtaken by a later one's answer.
  bool overtaken(Millis sent) const { return sent < answered_; }
  // How many were sent by then and are not overtaken.
  double settled(Millis then) const {
    return static_cast<double>(std::count_if(
        out_.begin(), out_.end(), [&](const Out& out) { return out.sent <= then && out.sent > answered_; }));
  }

 private:
  struct Out {
    Millis sent = 0;
    double work = 1;
    bool overdue = false;
  };
  void count(bool lost_are_out) {
    held_ = work_ = 0;
    for (const Out& out : out_) {
      if (!lost_are_out && (out.overdue || overtaken(out.sent))) continue;
      held_ += 1;
      work_ += out.work;
    }
  }

  std::vector<Out> out_;
  Millis answered_ = 0;  // when the last that was served was sent
  double held_ = 0;
  double work_ = 0;
};

}  // namespace shorelead::estimate
