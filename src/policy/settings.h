// The settings of the decision module: classes of requests, tenants, limits, and the parameters of the rules.
// Times are milliseconds. Plain values; the host reads them.
#pragma once

#include <optional>
#include <vector>

#include "base/millis.h"

namespace shorelead {

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class DedupGroup { kAll, kZone, kCell };

struct RequestClass {
  Effect effect = Effect::kUnsafe;
  // Keyed only: the backends that share a record of keys and drop repeats.
  DedupGroup group = DedupGroup::kAll;
  Millis dedup_window = 0;  // keyed only: how long repeats are dropped after the first send that may have run
  Millis aim = 0;           // answers within this time earn the full worth
  Millis deadline = 0;      // how long the client waits altogether, over all its attempts
  double aim_stretch = 0;   // the aim grows by this multiple of the request's own work
  double worth = 1;
  double late_value = 0;  // share of the worth that an answer between aim and deadline still earns
  bool streamed = false;
  bool in_force = true;  // false: only open requests are of this class

  bool operator==(const RequestClass&) const = default;
};

struct Tenant {
  double quota_rps = 0;  // over all nodes; 0 = no quota

  bool operator==(const Tenant&) const = default;
};

struct Settings {
  int instances = 1;
  int instance = 0;
  int zone = 0;
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  double over_share_worth = 1;
  bool list_on_request = false;  // the node has to subscribe to the list
  bool probing = true;
  bool cancelling = true;
  bool parallel_attempts = false;
  bool advise_wait = false;  // refusals may say when to try again
  Millis max_wait_advice = 0;
  int max_attempts = 1;
  // Without a subscription, a node with a list older than this counts as informed of all changes.
  Millis ask_every = 0;
  // How long new requests may still go to a backend that drains or is gone. None: not stated, lists never
  // become outdated.
  std::optional<Millis> drain_grace;
  Millis connect_timeout = 0;
  Millis idle_timeout = 0;           // an idle connection is closed after this
  int streams_per_connection = 100;  // concurrent requests on one connection
  // A backend whose connection table is full answers with an error; otherwise it refuses the connection.
  bool reports_full_table = false;
  Millis warm_up = 0;  // a started backend is warm no later than this
  double cold_share = 1;
  // A cold backend that is sent more than this multiple of its current capacity becomes overloaded,
  double fall_multiple = 1;
  Millis fall_span = 0;               // and stays so for this long
  bool sizes_listed = false;          // sizes of list entries are comparable
  double probe_price = 0;             // deducted from the result for each probe per request
  double max_probes_per_second = 0;   // sent by this node; 0 = no ceiling
  double max_probes_per_backend = 0;  // a second, from all nodes; 0 = no ceiling
  bool reports_with_answers = true;   // otherwise only probes carry load reports
  bool warm_keys = false;             // a backend does less work for a key that it has handled recently
  bool peer_messages = false;         // nodes may send short messages to each other; they may be lost
  double peer_price = 0;              // deducted from the result for each 256 bytes delivered per request
  // Weight of the worth, by class and 5 s, that counts in full while few requests miss the aim.
  double kept_promises = 0;
  // This share of misses is tolerated; at five times of it that worth counts nothing.
  double borne_misses = 0;

  bool operator==(const Settings&) const = default;
};

}  // namespace shorelead
