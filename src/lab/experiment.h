// An experiment: what fleet, classes, nodes and load a run has, what happens when, and what must hold. Read
// from TOML (toml++). Owns that file's form and its checks; it must never let an unknown key, a number
// without its unit or an impossible value pass: each is an error with file, line, column and cause.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/box_model.h"
#include "lab/draw.h"
#include "lab/records.h"
#include "lab/schedule.h"

namespace shorelead::lab {

// "file:line:column: cause"
class ExperimentError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct ClassSpec {
  ClassRules rules;
  Work work;
  double share = 1;
  int body = 64;  // bytes of the answer, beside what identifies it
};

// Boxes with a list of their own, and keys that no other pool's boxes know.
struct PoolSpec {
  std::string name;
  int boxes = 0;
};

struct FleetSpec {
  int boxes = 8;
  std::vector<PoolSpec> pools;  // in the order of the boxes, all of them; empty = one
  int pool_of(int box) const;
  std::vector<std::string> zones{"a"};
  int cells = 1;
  BoxSpec spec;
  Millis report_age = 0;  // how old the figures in an answer are
  bool reports = true;
  double error_rate = 0;
  Millis idle_close = 60000;  // boxes close connections that stood unused for so long
  Millis latency = 0;         // one way, on every link
  Millis jitter = 0;
  bool serves_draining = false;  // a box that drains fails its health check, and serves what it is sent
  int port_base = 0;             // 0 = ports that the system gives
  // A box knows the baskets that it met last; what it knows takes this share of its work.
  int remembers = 0;
  double known_work = 1;
};

struct NodesSpec {
  int count = 1;
  int sockets = 1024;
  int memory_mb = 192;
  Millis notice = 200;  // until the front notices that a node has died
  std::string own;      // the node's file of our own, as text; empty = none
  // The node's configuration as .shore texts in place of the platform's JSON; each reload takes the next, and
  // after the last the first. What stands between two "@" is put in: @listen@, @seed@, @nodes@, @index@,
  // @zone@, @discovery@ or @discovery.POOL@, and @store@.
  std::vector<std::string> shore;
  std::vector<int> later;  // not started with the others, but by an event
};

// The store of keys that nodes share, and its troubles: a stand-in of its own, apart from discovery. Each
// process reaches it by addresses of its own ("@store@"), where it can be cut off alone.
struct StoreSpec {
  bool there = false;
  std::string prefix = "/fleet/";  // of the fleet's keys; P/planner and P/plan are looked at by kill_planner
  int members = 1;
  double cuts = 0;           // share of answers cut after some byte; what they answer was done
  double lost = 0;           // share of calls whose connection ends before they are carried out
  Millis compact_every = 0;  // 0 = never
  int lag = 0;               // changes that a member may be behind
  double deaf = 0;           // watches that go deaf, a second each
};

// The list that a node is given at its start: as it is, as it was before the run, or of nobody.
enum class KnownList { kNow, kOld, kEmpty };

struct DiscoverySpec {
  bool asked = false;        // lists come to those who ask; else by themselves
  bool whole = false;        // a call's first list is always whole
  bool leaves_out = false;   // whole lists leave out who drains
  Millis ask_every = 10000;  // interval in which the settings ask for a list
  KnownList known = KnownList::kNow;
  Millis late_min = 100;  // word of a change goes out this much after it came true
  Millis late_max = 300;
  // A registry of keys in place of discovery, and its troubles.
  bool registry = false;
  int members = 3;
  double cuts = 0;           // share of what it writes that is cut after some byte
  Millis compact_every = 0;  // 0 = never
  int lag = 0;               // changes that a member may be behind
  double deaf = 0;           // watches that go deaf, a second each
};

struct ClientsSpec {
  int retries = 0;
  Millis backoff = 100;
  double honour = 1;  // share that waits as Retry-After asks
  double leave = 0;   // share that goes away before the answer
  double drop = 0;    // share that closes its connection after an answer
  // Share that goes on a kept connection of a process that was asked to end, if any is left.
  double until_kill = 0;
  // Share that goes to a process that was started and is not ready yet, if there is one: its client tries to
  // connect until it can, and waits for a short time only.
  double first_moments = 0;
  double bad_per_second = 0;
  std::vector<std::string> bad_kinds;  // empty = all
  std::string tenant_header = "X-Tenant-Id";
  std::string basket_header = "X-Basket";
  int baskets = 0;         // each wish is about one of so many; 0 = none
  double skew = 0;         // the nth of them is asked for in proportion to n to the power of -skew (Zipf)
  int hot = 0;             // the first so many processes are asked ...
  double hot_share = 0;    // ... by so much of all requests, the others by the rest
  bool at_random = false;  // which process is asked, of those that may be: else in turns
};

struct TenantSpec {
  std::string name;
  double share = 1;
};

struct Rules {
  int most_attempts = 5;
  bool parallel = false;
  bool cancel = true;
  bool retry_after = true;
  Millis drain_grace = 250;
  Millis connect_timeout = 200;
};

// Something that is done to the world at a moment.
struct Action {
  enum class Kind {
    kKill,       // boxes die at once; back cold after `back`
    kStall,      // boxes stand still for a while, every so often
    kDrain,      // boxes drain, then go, and come back cold under new ids after `back`
    kDeploy,     // all of `boxes` by drains, `batch` at a time
    kSlow,       // boxes serve at `factor` of their speed
    kUnlist,     // boxes leave the list at once and serve on; back on the list after `back`
    kLink,       // links pass nothing, or are slow, or hurt answers
    kDiscovery,  // discovery is down, restarts with old numbers, or serves an empty list
    kNodeKill,
    kNodeTerm,
    kNodeReload,
    kPause,        // processes stand still (SIGSTOP) and go on
    kNodeStart,    // processes of `later` are started
    kRolling,      // each process in turn is asked to end and started anew, `every` apart
    kCut,          // the way to the store is cut, slow, or cuts bytes
    kStore,        // the store's own troubles
    kKillPlanner,  // whoever holds P/planner is killed, once P/plan holds a text
    kSignals,      // processes get several signals, `every` apart
    kCrowd         // clients of one kind come in numbers and stay
  };
  bool on_boxes() const { return kind <= Kind::kLink; }
  bool on_nodes() const {
    return (kind >= Kind::kNodeKill && kind <= Kind::kRolling) || kind == Kind::kSignals;
  }
  Kind kind = Kind::kKill;
  Millis at = 0;
  int line = 0;
  double part = 0;         // of the boxes, or
  std::vector<int> boxes;  // these, by number
  std::string zone;        // or those of a zone
  std::vector<int> nodes;  // whose links, or which nodes; empty = all
  Millis back = 0;         // 0 = never
  Millis length = 0;       // stalls, links, slowness, discovery
  Millis least = 0;        // a stall's length is drawn between ...
  Millis most = 0;
  Millis every = 0;          // ... and comes each; of reloads, from one to the next
  Millis drain_time = 1000;  // until a draining box goes
  int batch = 1;
  double factor = 1;
  bool same_address = false;  // the successor takes the address of the one that went
  std::string fault;  // link: black_hole, latency, reset, truncate, drip, noise, second, interim, endless
                      // discovery: down, restart, empty, crowded, unavailable, slow, trickle, cut, ends,
                      // partial_*, begun_*, unreadable, silent, reset; cut: hole, latency, bytes; store:
                      // down, restart, slow, deaf, full, cuts
  double share = 1;   // of the answers hurt
  Millis latency = 0;
  int after_bytes = 0;     // reset and truncate: so many bytes of the answer pass
  bool stay_away = false;  // node_kill, node_term, kill_planner: it is not started again
  Millis kill_after = 0;   // node_term, signals: killed so long after SIGTERM if it has not ended; 0 = never
  std::vector<std::string> signals;  // in order: hup, term
  int count = 0;                     // crowd: connections to each node, ...
  std::string clients = "idle";      // ... and what these do: see lab/crowd.h
  std::string file = "same";         // node_reload, signals: the same, another discovery (moved), or broken
  bool unnoticed = false;            // pause: clients go on sending there
  int text = -1;                     // node_reload: this one of the texts; -1 = the next
  std::string way;                   // cut: both, asks, answers
  std::string holds;          // kill_planner: a regular expression to wait for in the plan; empty = at once
  int forgets = 0;            // store, restart: so many changes are lost ...
  bool same_cluster = false;  // ... and its number stays
};

struct Must {
  bool rules = true;
  std::optional<double> served;  // least share of wishes served in their time, no verdict by default
  std::optional<Millis> p99;
};

struct Experiment {
  std::string name;
  std::string file;
  std::uint64_t seed = 1;
  Millis settle = 1500;  // after the last request is due, before the audit
  FleetSpec fleet;
  NodesSpec nodes;
  DiscoverySpec discovery;
  StoreSpec store;
  ClientsSpec clients;
  std::vector<TenantSpec> tenants;  // each wish is one's, by their shares; empty = none
  Rules rules;
  LoadPlan load;
  std::vector<ClassSpec> classes;
  FleetRules together;           // what all processes are to keep
  std::vector<Action> timeline;  // in order of time
  Must must;
};

// What may stand between two "@" in a node's .shore text.
std::vector<std::string> place_names(const FleetSpec& fleet, const StoreSpec& store);

// Throws ExperimentError.
Experiment parse_experiment(std::string_view text, const std::string& file);
Experiment load_experiment(const std::string& path);

// "410 ms", "1.5 s", "2 min" -> milliseconds; nothing where it is none of these.
std::optional<Millis> parse_time(std::string_view text);

}  // namespace shorelead::lab
