// The node's view of which backends exist, merged from its sources: snapshots and changes with their
// revisions in, changes of the list out. Pure. Orders revisions, computes the difference after a gap, and
// keeps tombstones; handles an address that passes to another backend, flapping backends, and sources that
// suddenly lose much of a fleet. An older change never overwrites a newer one, and no single change costs
// work that grows with the fleet.
//
// What a source can say of a backend, and when it takes effect:
//   draining, or gone on its own account
//                                    at once, always (rule 3)
//   ready                            at once, unless it flaps or an older record of it says otherwise
//   vanished (missing in a snapshot, deleted or expired without a drain)
//                                    at once while enough backends are left; beyond the floor it is held: the
//                                    source is asked again, and it counts once a snapshot after `hold` still
//                                    lacks it
// A source's history has epochs: a source that lost its state (another cluster, or revisions that fell and
// stay low) begins a new one. Within an epoch revisions decide; in a new epoch a backend that was draining or
// gone comes back only if it started later or is changed in that epoch.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "membership/member.h"

namespace shorelead::membership {

struct Options {
  double floor = 0.5;          // share of the ready backends that stays ready whatever vanishes; 0 = no floor
  int floor_from = 4;          // with fewer ready backends there is no floor
  Millis window = 10000;       // losses within this time count together
  Millis hold = 10000;         // how long a loss beyond the floor is held at least
  Millis ask_every = 1000;     // interval in which the source is then asked again
  Millis stale_after = 30000;  // without a message from any source
  Millis remember = 600000;    // how long tombstones are kept
  int flaps = 4;               // returns within flap_window that take effect at once; 0 = any number
  Millis flap_window = 60000;
  Millis flap_wait = 5000;  // delay of the next return; doubles each time
  Millis flap_most = 60000;

  bool operator==(const Options&) const = default;
};

// One backend as a source describes it, and the revision at which it last changed there.
struct Entry {
  Member member;
  std::uint64_t revision = 0;
  bool unreadable = false;  // only the host was readable: the backend stays as it was
};

struct Update {
  std::vector<Member> changes;  // only members that differ from before
  bool behind = false;          // the source went back in history and is not believed; ask another
  bool refetch = false;         // much of the list has vanished: fetch the whole list again
};

struct ViewCounters {
  std::uint64_t snapshots = 0;
  std::uint64_t changes = 0;
  std::uint64_t older = 0;     // changes of older revisions, dropped
  std::uint64_t behind = 0;    // snapshots of a source that went back in history
  std::uint64_t held = 0;      // times that losses began to be held
  std::uint64_t believed = 0;  // members whose loss took effect after being held
  std::uint64_t restored = 0;  // held members that came back
  std::uint64_t kept_out = 0;  // members that a new epoch would have brought back
  std::uint64_t flaps = 0;     // returns that were delayed
  std::uint64_t moved = 0;     // addresses that passed to another backend
};

class View {
 public:
  // `sources` are numbered by precedence: the first that names a backend describes it, but any may say that
  // it drains.
  explicit View(const Options& options = {}, int sources = 1);

  // The whole list as of `revision` in `epoch`. An epoch is any number by which the source tells its
  // histories apart.
  Update snapshot(int source, std::uint64_t epoch, std::uint64_t revision, const std::vector<Entry>& entries,
                  Millis now);
  // A snapshot in pages, so that no call takes long; all pages have one revision. The content of a page takes
  // effect at once; members that no page named are missing once the last page has arrived.
  struct Part {
    bool first = true;
    bool last = true;
    std::size_t expected = 0;  // entries in all pages, as far as known; memory is reserved for them
  };
  Update page(int source, std::uint64_t epoch, std::uint64_t revision, const std::vector<Entry>& entries,
              const Part& part, Millis now);
  // Changes with their revisions. For a deletion only the host and the health "gone" count, and `vanished`
  // says that the backend did not announce it.
  struct Change {
    Entry entry;
    bool vanished = false;
  };
  Update change(int source, const std::vector<Change>& changes, Millis now);
  void heard(int source, Millis now);  // a keep-alive, or a message that nothing has changed
  Update tick(Millis now);             // call when next() is due
  std::optional<Millis> next() const;

  // An operator's decision: held losses take effect now.
  Update believe(Millis now);

  std::uint64_t epoch(int source) const { return sources_[static_cast<std::size_t>(source)].epoch; }
  std::uint64_t revision(int source) const { return sources_[static_cast<std::size_t>(source)].revision; }
  bool known(int source) const { return sources_[static_cast<std::size_t>(source)].known; }
  std::size_t size() const { return published_.size(); }
  std::size_t ready() const { return ready_; }
  std::size_t held() const { return held_.size(); }
  bool stale(Millis now) const;
  Millis last_heard() const;
  const ViewCounters& counters() const { return counters_; }
  std::vector<Member> members() const;  // as published, sorted by host

 private:
  struct Record {  // one source's record of one backend
    Member member;
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    bool present = false;
    bool vanished = false;  // not present, and the backend did not announce it
    Millis gone_at = 0;
    std::uint64_t snapshot_number = 0;  // the last snapshot that named it
  };
  struct Source {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    bool known = false;
    std::uint64_t snapshot_number = 0;  // number of snapshots
    Millis last_heard = 0;
    std::unordered_map<std::string, Record> records;
    std::deque<std::pair<Millis, std::string>> tombstones;
  };
  struct Published {
    Member member;
    Millis ready_at = 0;         // a flapping backend is published as draining until then
    std::deque<Millis> returns;  // recent times at which it came back
  };
  bool put(Source& source, const Entry& entry, bool in_snapshot, Millis now);
  void remove(Source& source, Record& record, std::uint64_t revision, bool vanished, Millis now);
  void add_tombstone(Source& source, const std::string& host, Millis now);
  std::optional<Member> merged(const std::string& host, bool& vanished) const;
  void reconcile(const std::vector<std::string>& hosts, Millis now, Update& update);
  void publish(const std::string& host, std::optional<Member> member, Millis now, Update& update);
  void unpublish(const std::string& host, Update& update);
  void publish_damped(const std::string& host, const Member& member, Millis now, Update& update);
  bool below_floor(std::size_t losing, Millis now);
  void expire_holds(Millis now, Update& update);

  const Options options_;
  std::vector<Source> sources_;
  std::unordered_map<std::string, Published> published_;
  std::unordered_map<std::string, std::string> by_dial_;         // the ready backend at each address
  std::unordered_map<std::string, std::deque<Millis>> returns_;  // of members not published now
  std::map<std::string, Millis> held_;           // losses beyond the floor, by when they began
  std::deque<Millis> losses_;                    // times of recent losses
  std::multimap<Millis, std::string> flapping_;  // flapping backends, by when they become ready
  std::size_t ready_ = 0;
  Millis refetch_at_ = 0;
  ViewCounters counters_;
};

}  // namespace shorelead::membership
