// How a registry is followed: when to ask for what at which endpoint, and what its answers mean to the view.
// Pure: answers and ends in with the time, what to ask next out. Owns the revision reached, paging, resuming,
// compaction, back-off, endpoints that lag, and watches that went deaf. It must never go back behind what was
// seen, believe half a snapshot's silence, or ask in step with other clients.
//
//     kRange (pages at one revision) -> kWatch from the revision behind it -> cut: kWatch again from there
//                                        -> compacted, another cluster, deaf: kRange
//
// etcd v3: revisions number the whole store; a watch from N tells every change from N on, or that N has been
// compacted away. A stale member answers with an older revision in its header: it is left for another. Where
// all endpoints stay behind for `behind_for`, the registry has lost history: a new epoch of the view.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "membership/registry/messages.h"
#include "membership/view.h"

namespace shorelead::membership::registry {

struct FollowerOptions {
  std::size_t page = 250;  // keys asked for at a time
  Millis backoff = 100;    // the first wait is drawn from up to this, then up to twice as much each time
  Millis backoff_most = 5000;
  Millis spread = 1000;    // after a watch that stood: so many clients of one registry do not come together
  Millis stood = 2000;     // for so long, that is
  Millis silence = 15000;  // a watch that says nothing for longer is left, whatever its connection says
  Millis check_every = 2000;  // how often it is asked whether the watch has gone deaf; 0 = never
  Millis deaf_for = 500;      // that a change may be known to a check and not told by the watch
  Millis behind_for = 5000;   // that all endpoints are behind before they are believed
};

struct FollowerCounters {
  std::uint64_t ranges = 0;
  std::uint64_t watches = 0;
  std::uint64_t resumed = 0;    // watches from where the one before ended
  std::uint64_t compacted = 0;  // gaps: what was asked for was forgotten
  std::uint64_t behind = 0;     // answers of members that had not got so far
  std::uint64_t epochs = 0;     // other clusters, or histories lost
  std::uint64_t deaf = 0;
  std::uint64_t unreadable = 0;  // values of backends; those stay as they were
  std::uint64_t failures = 0;
};

class Follower {
 public:
  Follower(View& view, int source, std::string prefix, int endpoints, std::uint64_t seed,
           const FollowerOptions& options = {});

  struct Ask {
    enum class Kind { kRange, kWatch };
    Kind kind = Kind::kRange;
    int endpoint = 0;
    Millis at = 0;  // not before
    std::string body;
  };
  // What to ask once no call is open.
  Ask next() const;

  Update page(const Page& page, Millis now);       // to a range
  Update line(const WatchLine& line, Millis now);  // of a watch
  // Whether the call that is open is to be left, after page() or line().
  bool leave() const { return leave_; }
  void range_failed(bool compacted, Millis now);  // an error came for an answer
  void ended(Millis now);                         // no call is open any more: a cut, a time-out, a leaving

  // The view wants the whole list again; the call that is open is to be left.
  void ask_whole() { resync(); }

  // The check beside a watch: a range of what changed since; nothing where none is due.
  std::optional<Millis> check_at() const;
  std::string check_body() const;
  void check_begun(Millis now);
  void checked(const Page& page, Millis now);
  void check_failed(Millis now);

  bool synced() const { return synced_; }  // has had a whole snapshot
  bool watching() const { return mode_ == Mode::kWatch; }
  Millis silence() const { return options_.silence; }
  const FollowerCounters& counters() const { return counters_; }
  const std::string& last_unreadable() const { return last_unreadable_; }

 private:
  enum class Mode { kRange, kWatch };

  void resync();
  void begin_anew();
  void turn(Millis now);  // to another endpoint, after a wait
  bool too_old(const Header& header, Millis now);
  Entry entry_of(const KeyValue& item);
  std::string host_of(const std::string& key) const;

  View& view_;
  const int source_;
  const std::string prefix_;
  const std::string end_;
  const int endpoints_;
  const FollowerOptions options_;
  std::mt19937_64 random_;
  Mode mode_ = Mode::kRange;
  int endpoint_ = 0;
  Millis at_ = 0;
  int failures_ = 0;  // in a row
  bool leave_ = false;
  bool synced_ = false;
  // paging
  std::uint64_t page_revision_ = 0;  // 0 = the first page is still to come
  std::string page_from_;
  std::unordered_set<std::string> paged_;
  // the watch
  std::uint64_t reached_ = 0;  // every change up to here is in the view
  Millis began_ = 0;           // when the watch stood
  std::vector<Event> fragment_;
  std::unordered_set<std::string> keys_;  // that there are, to tell a deletion that was not told
  std::uint64_t lines_ = 0;
  // history
  std::uint64_t cluster_ = 0;
  std::uint64_t salt_ = 0;
  std::optional<Millis> behind_since_;
  int behind_in_row_ = 0;
  // the check
  Millis check_at_ = 0;
  std::uint64_t check_lines_ = 0;
  std::optional<Millis> suspect_since_;
  std::uint64_t suspect_lines_ = 0;
  FollowerCounters counters_;
  std::string last_unreadable_;
};

}  // namespace shorelead::membership::registry
