// Who is there, as far as sources tell: snapshots and changes with their revisions in, changes of the list
// out. Pure. Owns the order of revisions, the difference that a gap makes, tombstones, addresses that pass to
// another, flapping backends, and the floor against bad answers. It must never let older news overwrite
// newer, bring a backend back that was told draining or gone, believe at once that much of a fleet vanished,
// or do work that grows with the fleet for one change.
//
// What a source can say of a backend, and what is believed:
//   draining, gone by its own word   at once, always (rule 3)
//   ready                            at once, unless it flaps, or an older record of it was told otherwise
//   vanished (not in a snapshot, deleted or expired without a drain)
//                                    at once while enough are left; beyond the floor it is held: the source
//                                    is asked again, and it counts once a snapshot after `hold` still says so
// A source's history has epochs: one that lost its memory (another cluster, or numbers that fell and stay
// low) begins a new one. Within an epoch revisions decide; across epochs a backend that was told draining or
// gone comes back only where it was born later or is changed in the new epoch.
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
  double floor = 0.5;          // of those ready, that stays ready whatever vanishes; 0 = no floor
  int floor_from = 4;          // fewer ready ones have no floor
  Millis window = 10000;       // what vanishes within it counts together
  Millis hold = 10000;         // a loss beyond the floor is held for so long at least
  Millis ask_every = 1000;     // and asked for again so often
  Millis stale_after = 30000;  // without a word from any source
  Millis remember = 600000;    // those gone
  int flaps = 4;               // times that a backend may come back within flap_window at once; 0 = any
  Millis flap_window = 60000;
  Millis flap_wait = 5000;  // then it waits, twice as long each time
  Millis flap_most = 60000;

  bool operator==(const Options&) const = default;
};

// One backend in a source's words, at the revision at which it last changed there.
struct Entry {
  Member member;
  std::uint64_t revision = 0;
  bool unreadable = false;  // only the host could be read: the backend stays as it was
};

struct Update {
  std::vector<Member> changes;  // in the form of the list that nodes take: only those that are not as before
  bool behind = false;          // the source has gone back: it is not to be believed; ask another
  bool ask_again = false;       // much of the list has vanished: ask the source for all of it again
};

struct ViewCounters {
  std::uint64_t snapshots = 0;
  std::uint64_t changes = 0;
  std::uint64_t older = 0;     // news that older revisions brought, not taken
  std::uint64_t behind = 0;    // snapshots of a source that had gone back
  std::uint64_t held = 0;      // times that a loss began to be held
  std::uint64_t believed = 0;  // members whose loss was believed after it was held
  std::uint64_t restored = 0;  // and those that were there again
  std::uint64_t kept_out = 0;  // members that a new epoch wanted to bring back
  std::uint64_t flaps = 0;     // times that a backend had to wait
  std::uint64_t moved = 0;     // addresses that passed to another
};

class View {
 public:
  // `sources` are numbered by precedence: the first that names a backend says what it is, but whoever says
  // that it drains is believed.
  explicit View(const Options& options = {}, int sources = 1);

  // The whole list as it was at `revision` in `epoch`. An epoch is any number that the source tells its
  // histories apart by.
  Update snapshot(int source, std::uint64_t epoch, std::uint64_t revision, const std::vector<Entry>& entries,
                  Millis now);
  // The same in pages, so that no call takes long: all at one revision, the first and the last told. What a
  // page says counts at once; what no page named is missing once the last is there.
  struct Part {
    bool first = true;
    bool last = true;
    std::size_t expected = 0;  // entries in all pages, as far as is known: room is made for them at once
  };
  Update page(int source, std::uint64_t epoch, std::uint64_t revision, const std::vector<Entry>& entries,
              const Part& part, Millis now);
  // What changed, each with its revision; for one deleted only the host counts and the health "gone", and
  // `vanished` says that it went without its own word.
  struct Change {
    Entry entry;
    bool vanished = false;
  };
  Update change(int source, const std::vector<Change>& changes, Millis now);
  void heard(int source, Millis now);  // a sign of life, or that all is as it was
  Update tick(Millis now);             // call when next() is due
  std::optional<Millis> next() const;

  // An operator's word: what is held is believed now.
  Update believe(Millis now);

  std::uint64_t epoch(int source) const { return sources_[static_cast<std::size_t>(source)].epoch; }
  std::uint64_t revision(int source) const { return sources_[static_cast<std::size_t>(source)].revision; }
  bool known(int source) const { return sources_[static_cast<std::size_t>(source)].known; }
  std::size_t size() const { return shown_.size(); }
  std::size_t ready() const { return ready_; }
  std::size_t held() const { return held_.size(); }
  bool stale(Millis now) const;
  Millis last_heard() const;
  const ViewCounters& counters() const { return counters_; }
  std::vector<Member> members() const;  // as shown, by host

 private:
  struct Record {  // what one source says of one backend
    Member member;
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    bool there = false;
    bool vanished = false;  // not there, without its own word
    Millis gone_at = 0;
    std::uint64_t round = 0;  // the last snapshot that named it
  };
  struct Source {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    bool known = false;
    std::uint64_t round = 0;  // of snapshots
    Millis heard = 0;
    std::unordered_map<std::string, Record> records;
    std::deque<std::pair<Millis, std::string>> tombstones;
  };
  struct Shown {
    Member member;
    Millis ready_at = 0;         // a flapping backend is shown draining until then
    std::deque<Millis> returns;  // when it came back, of late
  };
  bool put(Source& source, const Entry& entry, bool in_snapshot, Millis now);
  void remove(Source& source, Record& record, std::uint64_t revision, bool vanished, Millis now);
  void bury(Source& source, const std::string& host, Millis now);
  std::optional<Member> told(const std::string& host, bool& vanished) const;
  void settle(const std::vector<std::string>& hosts, Millis now, Update& update);
  void show(const std::string& host, std::optional<Member> member, Millis now, Update& update);
  void hide(const std::string& host, Update& update);
  void pass_on(const std::string& host, const Member& member, Millis now, Update& update);
  bool below_floor(std::size_t losing, Millis now);
  void confirm(Millis now, Update& update);

  const Options options_;
  std::vector<Source> sources_;
  std::unordered_map<std::string, Shown> shown_;
  std::unordered_map<std::string, std::string> by_dial_;         // who is ready at an address
  std::unordered_map<std::string, std::deque<Millis>> returns_;  // of those not shown now
  std::map<std::string, Millis> held_;                           // vanished beyond the floor, since when
  std::deque<Millis> losses_;                                    // when those were lost that vanished
  std::multimap<Millis, std::string> waiting_;                   // flapping backends, by when they come back
  std::size_t ready_ = 0;
  Millis ask_at_ = 0;
  ViewCounters counters_;
};

}  // namespace shorelead::membership
