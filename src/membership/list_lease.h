// A lease on the list in force: for how long a process may act on it though nothing newer has come. A change
// of the list binds a process at some time after discovery had it, whether or not it arrived; a process that
// cannot rule out such a change must not act as if there were none. The lease counts from a moment up to
// which the list is known to be all that discovery had, which lies before the call that brought it (as with
// leases in general: validity is counted from before the request). Pure: calls, signs of life and ends come
// with the time. Owns those times; it must never hold a list, nor ask for one. Times in milliseconds of one
// steady clock.
#pragma once

#include <limits>
#include <optional>

#include "base/list_validity.h"

namespace shorelead::membership {

class ListLease {
 public:
  // A change binds so long after discovery had it and could be reached, whatever was refused or lost.
  static constexpr Millis kMostAge = 6000;
  // A process with no watch is held to its list for so long, unless its last call failed: then for four times
  // as long, which is kMostAge (or a quarter of, and the whole of, what the settings say, where that is
  // less).
  static constexpr Millis kUnasked = kMostAge / 4;
  // A watch shows so often that it lives. What it has to tell may be as old as that.
  static constexpr Millis kSignInterval = 2000;
  // After a new configuration named another discovery, what that one had before binds at the latest.
  static constexpr Millis kMoved = 4000;
  // A process may be held up for so long between its last look at the clock and its write.
  static constexpr Millis kHeldUp = 150;

  struct Terms {
    // For so long after a change binds a backend may still get something new; none: changes bind only once
    // they have arrived, and a list is good until another comes.
    std::optional<Millis> grace;
    bool pushed = false;   // changes bind once discovery has them, but for an open watch that is silent
    Millis ask_every = 0;  // how often the settings want a list asked for; 0 = not said
  };
  enum class CallEnd {
    kNotMade,    // nobody was asked
    kFailed,     // it brought nothing whole
    kWatchOver,  // it had been answered, and its watch is over
  };

  void adopt(const Terms& terms) { terms_ = terms; }

  void asked(Millis now);
  // The call that is open has brought the list as it is, or that it has not changed.
  void answered();
  // Its watch has brought something whole: a change or a sign of life.
  void heard(Millis now);
  // A list has begun to come, and is not whole yet: what it says may bind already.
  void unfinished(Millis now);
  void ended(CallEnd how, Millis now);
  // Discovery is another one from now on, and no call to it is open.
  void moved(Millis now);

  ListValidity validity() const;

 private:
  static constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

  Millis unasked() const;
  Millis held_for() const;
  Millis holds_until() const;

  Terms terms_;
  bool watching_ = false;
  Millis current_at_ = -kNever;     // up to then the list is all that discovery had
  Millis asked_at_ = -kNever;       // the last call
  Millis over_at_ = -kNever;        // the last watch that was over
  Millis unheard_since_ = -kNever;  // since then no call has ended; kNever: one has, or a watch is open
  // A list began to come that is not whole, or never was, and none came since.
  Millis unfinished_at_ = kNever;
  Millis lapsed_at_ = kNever;  // no call had ended in time, and no list came since
  Millis moved_at_ = kNever;   // and no list came since
};

}  // namespace shorelead::membership
