// Every short history of a process's calls to discovery, in both modes: the lease on the list never lasts
// beyond the moment in which a change that the process does not know may bind it.
#include <gtest/gtest.h>

#include <sstream>
#include <string>
#include <vector>

#include "membership/lease_case.h"
#include "membership/lease_reading.h"

namespace shorelead::membership {
namespace {

enum class Event {
  kKeepAlive,
  kPartialList,
  kEnd,
  kReset,
  kLeft,
  kMoved,
  kCall,
  kAnswer,
  kRejected,
  kFailed,
  kNoConnection,
  kShortOutage,
  kLongOutage,
};

const char* name_of(Event event) {
  constexpr const char* kNames[] = {"keep-alive",    "partial list", "end",        "reset",    "left",
                                    "moved",         "call",         "answer",     "rejected", "failed",
                                    "no connection", "short outage", "long outage"};
  return kNames[static_cast<int>(event)];
}

constexpr Millis kRefusals = 500;  // between two refused connections of an outage
constexpr Millis kShort = 1000;
constexpr Millis kLong = 9000;
constexpr Millis kSteps[] = {20, 700, 2300, 4500};

class History {
 public:
  History(bool pushed, Millis ask_every) : reading_(pushed, ask_every) {
    lease_.adopt({.grace = kGrace, .pushed = pushed, .ask_every = ask_every});
  }

  std::vector<Event> next_events() const {
    switch (connection_) {
      case Connection::kWatch:
        return {Event::kKeepAlive, Event::kPartialList, Event::kEnd,
                Event::kReset,     Event::kLeft,        Event::kMoved};
      case Connection::kCall:
        return {Event::kAnswer, Event::kPartialList, Event::kRejected,
                Event::kFailed, Event::kLeft,        Event::kNoConnection};
      default:
        return {Event::kCall, Event::kShortOutage, Event::kLongOutage, Event::kMoved};
    }
  }

  void play(Event event, Millis wait) {
    now_ += wait;
    text_ += std::string(" +") + std::to_string(static_cast<int>(wait)) + " " + name_of(event);
    switch (event) {
      case Event::kKeepAlive:
        lease_.sign_of_life(now_);
        return reading_.keep_alive(now_);
      case Event::kPartialList:
        lease_.list_incomplete(now_);
        return reading_.partial_list(now_);
      case Event::kEnd:
        end(CallEnd::kWatchEnded);
        return reading_.watch_ended_in_order(now_);
      case Event::kReset:
        end(CallEnd::kWatchReset);
        return reading_.watch_reset(now_);
      case Event::kLeft:
        end(CallEnd::kInterrupted);
        return reading_.left(now_);
      case Event::kMoved:
        connection_ = Connection::kNone;
        lease_.discovery_changed(now_);
        return reading_.moved(now_);
      case Event::kCall:
        connection_ = Connection::kCall;
        lease_.call_begun(now_);
        return reading_.call(now_);
      case Event::kAnswer:
        connection_ = Connection::kWatch;
        lease_.call_answered(now_);
        return reading_.answer(now_);
      case Event::kRejected:
        lease_.nothing_told();
        end(CallEnd::kFailed);
        return reading_.rejected(now_);
      case Event::kFailed:
        end(CallEnd::kFailed);
        return reading_.call_failed(now_);
      case Event::kNoConnection:
        end(CallEnd::kNotAttempted);
        return reading_.not_called();
      case Event::kShortOutage:
        return refuse(kShort);
      case Event::kLongOutage:
        return refuse(kLong);
    }
  }

  // By how much the lease exceeds what the sentences allow.
  Millis excess() const { return lease_.validity().until - (reading_.bound() + kAllowance); }
  std::string text() const {
    std::ostringstream out;
    out << text_ << ": now " << now_ << ", lease until " << lease_.validity().until - kAllowance
        << ", bound at " << reading_.bound() << ", limited by " << membership::name_of(lease_.limit());
    return out.str();
  }

 private:
  enum class Connection { kNone, kCall, kWatch };

  void end(CallEnd how) {
    connection_ = Connection::kNone;
    lease_.call_ended(how, now_);
  }
  void refuse(Millis span) {
    const Millis until = now_ + span;
    for (; now_ < until; now_ += kRefusals) {
      lease_.unreachable(now_);
      reading_.connection_refused(now_);
    }
  }

  ListLease lease_;
  LeaseReading reading_;
  Connection connection_ = Connection::kNone;
  Millis now_ = kStart;
  std::string text_;
};

struct Search {
  std::size_t played = 0;
  std::vector<std::string> broken;

  void extend(const History& before, int depth) {
    if (depth == 0) return;
    for (const Event event : before.next_events()) {
      for (const Millis wait : kSteps) {
        History history = before;
        history.play(event, wait);
        ++played;
        if (history.excess() > 0) {
          broken.push_back(history.text());
          continue;
        }
        extend(history, depth - 1);
      }
    }
  }
};

void expect_no_lease_beyond_the_bound(bool pushed) {
  constexpr int kDepth = 4;
  constexpr std::size_t kShown = 5;
  for (const Millis ask_every : {1000.0, 1500.0, 10000.0}) {
    History start(pushed, ask_every);
    start.play(Event::kCall, 0);
    start.play(Event::kAnswer, 10);
    Search search;
    search.extend(start, kDepth);
    EXPECT_GT(search.played, 50000U);
    EXPECT_EQ(search.broken.size(), 0U) << "of " << search.played << ", lists asked for each " << ask_every;
    for (std::size_t n = 0; n < std::min(search.broken.size(), kShown); ++n)
      ADD_FAILURE() << search.broken[n];
  }
}

TEST(LeaseHistories, NoListIsUsedBeyondTheMomentInWhichAnUnknownChangeMayBind) {
  for (const bool pushed : {false, true}) expect_no_lease_beyond_the_bound(pushed);
}

}  // namespace
}  // namespace shorelead::membership
