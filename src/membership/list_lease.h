// A lease on the list in force: for how long the process may act on it although nothing newer has arrived. A
// change of the list binds a process at a known time after discovery had it, whether or not it arrived; a
// process that cannot rule out such a change must not act as if there were none. The lease is counted from a
// moment at which the list is known to be all that discovery had, which lies before the call that brought it
// (as with leases in general, validity is counted from before the request). Pure: events are passed in with
// their time. It neither holds a list nor asks for one. Times are in milliseconds of one steady clock.
#pragma once

#include <limits>
#include <optional>

#include "base/list_validity.h"

namespace shorelead::membership {

class ListLease {
 public:
  // A change binds this long after discovery had it and could be reached, whatever was rejected or lost.
  static constexpr Millis kMaxAge = 6000;
  // Without an open watch a process may act on its list for the interval in which the settings ask for lists,
  // or for this many times as long if its last call failed; never for longer than kMaxAge.
  static constexpr double kFailedCallFactor = 4;
  // Interval of a watch's keep-alives. What the watch has not delivered yet may be this old.
  static constexpr Millis kSignInterval = 2000;
  // A watch may end in order instead of bringing a change. What discovery has then binds this much later, as
  // after a long poll whose wait is over, until a call is answered.
  static constexpr Millis kEndedWatchDelay = 2000;
  // After a new configuration names another discovery, that one's earlier changes bind after this time at the
  // latest.
  static constexpr Millis kDiscoveryChangeDelay = 4000;
  // Between the end of the watch and the first proof that discovery cannot be reached. Also between the last
  // message and that proof, for the list to be current when discovery went away.
  static constexpr Millis kMaxTimeToProof = 100;
  // Between two such proofs, for discovery to count as out of reach throughout: it does not come back and go
  // away again in less time.
  static constexpr Millis kMaxTimeBetweenProofs = 1000;
  // The longest pause of the process between its last reading of the clock and its write.
  static constexpr Millis kMaxPause = 150;

  struct Terms {
    // For how long a backend may still get new requests after a change binds. Without it changes bind only on
    // arrival, and a list is valid until the next arrives.
    std::optional<Millis> grace;
    bool pushed = false;   // changes bind as soon as discovery has them, unless an open watch is silent
    Millis ask_every = 0;  // interval in which the settings ask for a list; 0 = not set
  };
  // What ends the validity of the list, for the log.
  enum class Limit {
    kNone,              // the list is valid until the next arrives
    kNoList,            // no list has arrived since the start
    kAge,               // changes bind after kMaxAge
    kIncomplete,        // a list has begun to arrive and is not whole
    kNoCall,            // no watch is open, and no call has ended within the hold time
    kWatchEnded,        // lists are pushed and no watch is open
    kWatchReset,        // the watch was reset, and what was written into it may be lost
    kWatchEndedUntold,  // lists are requested, and the watch may have ended instead of bringing a change
    kDiscoveryChanged,  // a new configuration names another discovery
  };
  enum class CallEnd {
    kNotAttempted,  // no connection was attempted
    kFailed,        // the call brought nothing whole
    kWatchEnded,    // the call was answered, and its watch has ended in order
    // The call was answered, and its watch was reset. A change counts from the moment in which discovery
    // writes it, and the reset may have discarded it on the way.
    kWatchReset,
    // Discovery may have sent what was not received or could not be read: the connection was left although it
    // was open, or what came was malformed.
    kInterrupted,
  };

  void adopt(const Terms& terms) { terms_ = terms; }

  void call_begun(Millis now);
  // The open call has brought the current list, or the message that it is unchanged, at `now`. `late`: its
  // arrival took long, so that what follows may be as late. Where lists are pushed it then proves nothing
  // before the watch has brought something more.
  void call_answered(Millis now, bool late = false);
  // The open watch has brought a whole change or a keep-alive.
  void sign_of_life(Millis now);
  // A response or a list has arrived in part; the changes in it may bind already.
  void list_incomplete(Millis now);
  // What had arrived in part turned out to hold no list.
  void nothing_told() { unfinished_at_ = unfinished_before_; }
  // The end is seen at `now` and may have occurred as early as `occurred_at`, from which on it binds.
  void call_ended(CallEnd how, Millis now, Millis occurred_at);
  void call_ended(CallEnd how, Millis now) { call_ended(how, now, now); }
  // A connection to discovery was refused: nobody listens there, so that no new change binds before it
  // returns. From the end of a watch on, and while such proofs follow each other closely, a list that was
  // current when discovery went away does not age, however the watch ended. One whose watch had been quiet
  // before ages on: a change that a silent watch missed binds kMaxAge after its last message, also while
  // nobody listens. Where lists are pushed such a change binds at the end of the watch, and new ones as soon
  // as discovery is back, so that a list that was current is valid up to the latest proof.
  void unreachable(Millis now);
  // Whether the list stands still in age, as nobody has listened at discovery since it was current.
  bool stands_still() const { return last_proof_at_ > -kNever && current_before_outage_; }
  // Time from the last message of the watch to the sight of its end.
  Millis quiet_before_end() const { return watch_end_seen_at_ - last_message_at_; }
  // Discovery is at another address from now on, and no call to it is open. The configuration that says so
  // was requested at `requested_at`. Of several in a row the first one binds, until a call is answered.
  void discovery_changed(Millis now, Millis requested_at);
  void discovery_changed(Millis now) { discovery_changed(now, now); }

  ListValidity validity() const;
  Limit limit() const;

 private:
  static constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

  bool follows_proof(Millis now) const;
  void note_lapse(Millis now);
  Millis hold_without_call() const;
  Millis hold_time() const;
  Millis held_since() const;  // without a watch, for hold_time() from then on
  struct Bound {
    Millis until;
    Limit limit;
  };
  Bound earliest_bound() const;

  Terms terms_;
  bool watching_ = false;
  Millis current_until_ = -kNever;      // up to then the list is all that discovery had
  Millis last_call_at_ = -kNever;       // start of the last call
  Millis last_message_at_ = -kNever;    // last whole list or keep-alive of a watch
  Millis watch_ended_at_ = -kNever;     // end of the last watch, without the time out of reach since
  Millis watch_end_seen_at_ = -kNever;  // when the process saw that end
  // End of a watch that has ended by itself, without the time out of reach since; and no call was answered.
  Millis untold_since_ = kNever;
  Millis last_proof_at_ = -kNever;      // that discovery cannot be reached, in the present series
  bool current_before_outage_ = false;  // the list was, when the present series began
  // No call has ended since then; kNever: one has, or a watch is open.
  Millis no_call_ended_since_ = -kNever;
  Millis no_call_ended_before_ = kNever;  // its value before the latest call began
  // Since then a list is incomplete, or was never completed, and none has arrived whole.
  Millis unfinished_at_ = kNever;
  Millis unfinished_before_ = kNever;     // its value before the latest response or list began
  Millis lapsed_at_ = kNever;             // no call had ended in time, and no list has arrived since
  Millis watch_reset_at_ = kNever;        // and no list has arrived since
  Millis discovery_changed_at_ = kNever;  // and no list has arrived since
};

const char* name_of(ListLease::Limit limit);

}  // namespace shorelead::membership
