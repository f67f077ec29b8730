// What a deployment states and decisions go by: classes of requests, tenants, limits and the figures of the
// rules. Times are milliseconds. Plain values; how they are read is the host's.
#pragma once

#include <optional>
#include <vector>

#include "base/millis.h"

namespace shorelead {

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class DedupGroup { kAll, kZone, kCell };

struct RequestClass {
  Effect effect = Effect::kUnsafe;
  DedupGroup group = DedupGroup::kAll;  // keyed only: which backends drop repeats
  Millis dedup_window = 0;              // keyed only: for how long after the first send that may have run
  Millis aim = 0;                       // answers within this earn full worth
  Millis deadline = 0;                  // the client's whole wait, over all its tries
  double aim_stretch = 0;               // the aim grows by this multiple of the request's own work
  double worth = 1;
  double late_value = 0;  // share of the worth an answer between aim and deadline still earns
  bool streamed = false;
  bool in_force = true;  // else only requests that are open are of it

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
  bool list_on_request = false;  // the list must be asked for
  bool probing = true;
  bool cancelling = true;
  bool parallel_attempts = false;
  bool advise_wait = false;  // refusals may say when to come back
  Millis max_wait_advice = 0;
  int max_attempts = 1;
  Millis ask_every = 0;  // without a subscription, a list older than this counts as told anew
  // For so long a backend that drains or is gone may get something new; none: not stated, lists never expire.
  std::optional<Millis> drain_grace;
  Millis connect_timeout = 0;
  Millis idle_timeout = 0;           // an idle connection closes by itself after this
  int streams_per_connection = 100;  // requests that one carries at once
  bool reports_full_table =
      false;           // a backend whose table of connections is full says so; else it turns down
  Millis warm_up = 0;  // a started backend is warm no later than this
  double cold_share = 1;
  double fall_multiple = 1;           // a cold backend sent more than this multiple of its present capacity
  Millis fall_span = 0;               // for this long falls over
  bool sizes_listed = false;          // list entries carry comparable sizes
  double probe_price = 0;             // taken off the result for each probe per request
  double max_probes_per_second = 0;   // a second, of this node; 0 = no ceiling
  double max_probes_per_backend = 0;  // a second, to one backend from all nodes; 0 = no ceiling
  bool reports_with_answers = true;   // else only probes bring load reports
  bool warm_keys = false;             // a backend does less work for a key that it has lately met
  bool peer_messages = false;         // nodes may send one another short messages, which may be lost
  double peer_price = 0;              // taken off the result for each 256 bytes delivered per request
  double kept_promises = 0;  // weight of worth by class and 5 s that counts in full while few miss the aim
  double borne_misses = 0;   // that many, as a share; at five times of it that worth counts nothing

  bool operator==(const Settings&) const = default;
};

}  // namespace shorelead
