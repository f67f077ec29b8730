// Follows a registry: decides when to send which call to which endpoint, and applies the responses to the
// view. Pure: responses and ends of calls come in with their time, the next call goes out. Owns the revision
// reached, paging, resuming, compaction, back-off, lagging endpoints, and watches that stopped delivering. It
// never goes back behind a revision that it has seen, never takes a partial snapshot for a whole one, and
// spreads its calls so that many clients do not call in step.
//
//     kRange (pages at one revision) -> kWatch from the next revision on -> cut: kWatch again from there
//                                        -> compacted, another cluster, deaf: kRange
//
// etcd v3: revisions number the whole store; a watch from N delivers every change from N on, or reports that
// N was compacted. A stale member responds with an older revision in its header, and another endpoint is
// tried. Where all endpoints stay behind for `behind_for`, the registry has lost history: the view gets a new
// epoch.
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
  std::size_t page = 250;  // keys per range request
  Millis backoff = 100;    // the first delay is drawn from up to this; the bound doubles each time
  Millis backoff_most = 5000;
  // Reconnects after an established watch are spread over this time, so that clients do not reconnect at
  // once.
  Millis spread = 1000;
  Millis established = 2000;  // duration after which a watch counts as established
  Millis silence = 15000;     // a watch silent for longer is closed, even if its connection is open
  Millis check_every = 2000;  // interval of checks whether the watch still delivers; 0 = never
  Millis deaf_for = 500;      // how long a check may know of a change that the watch has not delivered
  Millis behind_for = 5000;   // how long all endpoints must be behind before they are believed
};

struct FollowerCounters {
  std::uint64_t ranges = 0;
  std::uint64_t watches = 0;
  std::uint64_t resumed = 0;    // watches that continued where the last one ended
  std::uint64_t compacted = 0;  // gaps: the revision asked for was compacted
  std::uint64_t behind = 0;     // responses of members that lag
  std::uint64_t epochs = 0;     // other clusters, or lost histories
  std::uint64_t deaf = 0;
  std::uint64_t unreadable = 0;  // values of backends; those backends stay as they were
  std::uint64_t failures = 0;
};

class Follower {
 public:
  Follower(View& view, int source, std::string prefix, int endpoints, std::uint64_t seed,
           const FollowerOptions& options = {});

  struct Call {
    enum class Kind { kRange, kWatch };
    Kind kind = Kind::kRange;
    int endpoint = 0;
    Millis at = 0;  // earliest time
    std::string body;
  };
  // The next call to make once none is open.
  Call next() const;

  Update page(const Page& page, Millis now);       // response to a range
  Update line(const WatchLine& line, Millis now);  // message of a watch
  // Whether the open call must be closed; check after page() and line().
  bool must_close() const { return must_close_; }
  void range_failed(bool compacted, Millis now);  // the response was an error
  void ended(Millis now);  // no call is open any more: cut, timed out or closed by this side

  // The view needs the whole list again; the open call must be closed.
  void fetch_whole() { resync(); }

  // The check beside a watch: a range of the changes since; nothing where none is due.
  std::optional<Millis> check_at() const;
  std::string check_body() const;
  void check_begun(Millis now);
  void checked(const Page& page, Millis now);
  void check_failed(Millis now);

  bool synced() const { return synced_; }  // has received a whole snapshot
  bool watching() const { return mode_ == Mode::kWatch; }
  Millis silence() const { return options_.silence; }
  const FollowerCounters& counters() const { return counters_; }
  const std::string& last_unreadable() const { return last_unreadable_; }

 private:
  enum class Mode { kRange, kWatch };

  void resync();
  void restart_history();
  void switch_endpoint(Millis now);  // tries another endpoint after a delay
  bool is_behind(const Header& header, Millis now);
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
  Millis call_at_ = 0;
  int failures_ = 0;  // in a row
  bool must_close_ = false;
  bool synced_ = false;
  // paging
  std::uint64_t page_revision_ = 0;  // 0 = the first page has not arrived
  std::string page_from_;
  std::unordered_set<std::string> paged_keys_;
  // the watch
  std::uint64_t reached_ = 0;  // every change up to here is in the view
  Millis up_since_ = 0;        // when the watch was established
  std::vector<Event> fragment_;
  std::unordered_set<std::string> keys_;  // existing keys, to detect a deletion that was not delivered
  std::uint64_t lines_ = 0;
  // history
  std::uint64_t cluster_ = 0;
  std::uint64_t history_ = 0;
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
