// What the lab writes down of a run: the clients' records, the boxes' ledgers, what discovery told whom, and
// what was done to boxes and nodes. All times are milliseconds of the lab's one clock (Unix time, steady).
// Owns shapes only; it must never hold a judgement: those are the auditor's.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/millis.h"
#include "lab/fleet_rules.h"

namespace shorelead::lab {

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class Group { kAll, kZone, kCell };  // which boxes drop repeats of a key

struct ClassRules {
  std::string name;
  Effect effect = Effect::kSafe;
  Group group = Group::kAll;
  Millis window = 0;   // keyed: how long after the first attempt that may have run repeats are dropped
  Millis aim = 0;      // answers within this earn the worth
  Millis give_up = 0;  // the client's wait
  double worth = 1;
};

// How a client's request ended, as the client saw it.
enum class ClientEnd {
  kAnswered,      // a whole answer
  kCut,           // part of an answer, then the end of the connection
  kReset,         // the end of the connection, with no byte of an answer
  kSilent,        // nothing until the client stopped reading, past its due time
  kNoConnection,  // no node took the connection: the request was never sent
  kLeft,          // the client went away by itself
};

struct Asked {
  std::string id;
  std::string key;
  std::string tenant;  // empty where the experiment has none
  std::string basket;  // likewise: what rules of affinity keep at one box
  int request_class = 0;
  int node = 0;
  Millis intended = 0;  // when the schedule wanted it sent
  Millis sent = 0;      // its last byte handed to the system; 0 = never
  Millis due = 0;       // the client's wait ends
  Millis ended = 0;     // the answer's last byte, or the end seen
  ClientEnd end = ClientEnd::kNoConnection;
  int status = 0;
  bool fresh = false;       // the first on its connection
  Millis resent = 0;        // sent once more: its kept connection ended with no byte of an answer; 0 = never
  bool right_body = false;  // the body of a box's answer to this very request
  std::uint64_t run = 0;    // which attempt the body says it is from: Arrived::serial
  std::string said;         // why, in the words of an answer that is no box's: a claim, never a judgement
  bool extra = false;       // bytes came behind the whole answer, before anything else was asked
  int tries_before = 0;     // by the client
  std::uint32_t chain = 0;  // the same for all tries of one wish
};

// How an attempt ended, as the box saw it.
enum class BoxEnd {
  kOpen,       // not ended when the record was taken
  kServed,     // 200, the whole answer handed to the system
  kErred,      // 500
  kRejected,   // with X-Not-Processed
  kSpoilt,     // an answer that no client can use, or one cut on purpose
  kDropped,    // the connection ended, or the box died, before the answer was out
  kSwallowed,  // the answer was lost on a link that passes nothing
};

// One attempt at one box: a line of its ledger.
struct Arrived {
  std::uint64_t serial = 0;
  std::string id;
  std::string key;
  int request_class = -1;
  int box = 0;            // Run::boxes
  int node = 0;           // whose link it came by
  Millis first_byte = 0;  // seen by the box's machine
  Millis last_byte = 0;   // 0 = never whole
  Millis began = 0;       // its effect took place then; 0 = it never ran
  Millis answered = 0;    // last byte of the answer handed to the system
  Millis closed = 0;      // the sender had ended the connection by then, before the answer; 0 = it had not
  Millis hidden = 0;      // its link passed nothing from then on: what the sender did is not to be seen
  Millis work = 0;        // on a standard core
  bool warm = false;      // the box had met its basket lately
  bool repeat = false;    // a key seen before in this group and window: answered, not run
  BoxEnd end = BoxEnd::kOpen;
};

enum class BoxState { kReady, kDraining, kGone };

// Discovery wrote this to a node's watch.
struct Told {
  int node = 0;
  int box = 0;
  BoxState state = BoxState::kReady;
  Millis at = 0;
};

// The truth behind it, when it became so.
struct Changed {
  int box = 0;
  BoxState state = BoxState::kReady;
  Millis at = 0;
};

// A node's call to discovery, and the watch that it became. 0 = it did not come to that.
struct ListCall {
  int node = 0;
  Millis begun = 0;         // asked
  Millis answered = 0;      // its first list was written whole
  Millis silent_since = 0;  // nothing more comes on it, though it stands
  Millis ended = 0;         // by either side
  Millis ended_untold = 0;  // by discovery, in order, in place of a change
};

// Idle clients filled a node's descriptors.
struct CrowdSpan {
  int node = 0;
  Millis from = 0;
  Millis to = 0;
};

// Discovery could not be reached.
struct Outage {
  Millis from = 0;
  Millis to = 0;  // 0 = to the end
};

enum class NodeDid {
  kStarted,
  kReady,
  kTerminated,
  kKilled,
  kReloaded,
  kExited,
  kPaused,
  kWentOn,
  kEnded  // killed as it had not ended in the time for it
};

struct NodeEvent {
  int node = 0;
  NodeDid what = NodeDid::kStarted;
  Millis at = 0;
  int code = 0;  // kExited: exit status, or 128 + the signal
};

// A cold box that was pushed over, and by whom: the work that reached it within the span, by node.
struct Fallen {
  int box = 0;
  Millis at = 0;
  Millis span = 0;
  std::map<int, double> work;
};

struct BoxNote {
  std::string host;
  int zone = 0;
  int cell = 0;
  Millis born = 0;  // 0 = long before the run
  int pool = 0;
};

struct NodeSample {
  int node = 0;
  Millis at = 0;
  double memory_kb = 0;
  int descriptors = 0;
  double cpu_ms = 0;  // since its start
};

// A line on the reports' time axis.
struct Mark {
  Millis at = 0;
  std::string text;
};

// Clients that do not ask properly: what each was owed, and whether it got it.
struct BadClient {
  std::string kind;
  Millis began = 0;
  Millis ended = 0;      // an error, or the end of the connection
  int status = 0;        // first status line that came; 0 = none
  bool settled = false;  // it got one of these in time
};

struct Run {
  std::vector<ClassRules> classes;
  std::vector<BoxNote> boxes;
  FleetRules fleet;
  std::vector<Asked> asked;
  std::vector<Arrived> arrived;
  std::vector<Told> told;
  std::vector<Changed> changed;
  std::vector<Changed> had;  // the same, when discovery had it
  std::vector<ListCall> list_calls;
  std::vector<Outage> outages;
  std::vector<CrowdSpan> crowds;
  bool lists_pushed = true;
  Millis ask_every = 10000;     // interval in which the settings ask for a list
  bool lists_recorded = false;  // the four above are there
  std::vector<NodeEvent> nodes;
  std::vector<Fallen> fallen;
  std::vector<NodeSample> samples;
  std::vector<Mark> marks;
  std::vector<BadClient> bad_clients;
  Millis began = 0;  // first request intended
  Millis ended = 0;
  int node_count = 0;
  bool parallel_allowed = false;
  int most_attempts = 5;
  Millis drain_grace = 250;
  Millis load_late = 0;  // worst lateness of the load's own sending
  Millis load_late_p99 = 0;
  Millis fleet_late = 0;  // worst lateness of the stand-ins' own timers
  Millis fleet_late_p99 = 0;
  std::uint64_t bad_requests = 0;  // at boxes: requests that no client sent in this form
};

const char* name_of(ClientEnd end);
const char* name_of(BoxEnd end);
const char* name_of(BoxState state);
const char* name_of(NodeDid what);

}  // namespace shorelead::lab
