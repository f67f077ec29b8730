#include "language/schema.h"

#include <algorithm>
#include <array>

namespace shorelead::language {
namespace {

constexpr double kHour = 3600000;
constexpr double kDay = 24 * kHour;

constexpr Field kNode[] = {
    {"listen", Type::kAddress, 0, 0, true, "", "where clients connect"},
    {"discovery", Type::kAddress, 0, 0, false, "",
     "where the list of boxes is watched, by pools that do not say where themselves"},
    {"seed", Type::kWord, 0, 0, true, "", "64 bits, hexadecimal: the node's random numbers"},
    {"sockets", Type::kCount, 64, 1000000, false, "",
     "descriptors that the node may hold; 1,024 if not told"},
    {"memory", Type::kSize, 8388608, 1099511627776, false, "", "bytes that the node may hold"},
    {"nodes", Type::kCount, 1, 1000000, false, "", "how many nodes there are; 1 if not told"},
    {"index", Type::kCount, 0, 999999, false, "", "which of them this is, from 0"},
    {"zone", Type::kWord, 0, 0, false, "", "the zone it stands in"},
};

constexpr Field kClass[] = {
    {"effect", Type::kWord, 0, 0, true, "safe|keyed|unsafe",
     "what a second run does: nothing; nothing within its group and window; harm"},
    {"group", Type::kWord, 0, 0, false, "all|zone|cell", "keyed: which boxes drop a repeat; all if not told"},
    {"window", Type::kTime, 1, kDay, false, "", "keyed: how long they do"},
    {"aim", Type::kTime, 1, kHour, true, "", "answers within this earn full worth"},
    {"give_up", Type::kTime, 1, kHour, true, "", "the client's whole wait"},
    {"worth", Type::kNumber, 0, 1e9, false, "", "beside other classes; 1 if not told"},
    {"late_value", Type::kShare, 0, 1, false, "",
     "of the worth, that an answer after the aim still earns; none if not told"},
};

constexpr Field kPool[] = {
    {"discovery", Type::kAddress, 0, 0, false, "",
     "where this pool's list is watched; the node's if not told, unless its boxes stand here"},
    {"floor", Type::kShare, 0, 1, false, "",
     "of the boxes ready, that stay so whatever vanishes from the list at once; 50 % if not told, 0 % is "
     "none"},
    {"hold", Type::kTime, 100, kDay, false, "",
     "a loss beyond the floor is believed once it has lasted so long; 10 s if not told"},
    {"stale_after", Type::kTime, 1000, kDay, false, "",
     "a list of which nothing was heard for so long is called stale; 30 s if not told"},
    {"keep", Type::kWord, 0, 0, false, "", "a file for the last good list, from which the node starts"},
    {"fallback", Type::kWord, 0, 0, false, "", "the pool that takes its requests where it has nobody ready"},
    {"list", Type::kWord, 0, 0, false, "watched|asked",
     "whether lists come by themselves or are asked for; asked if not told"},
    {"ask_every", Type::kTime, 1, kDay, false, "", "a list older than this counts as told anew"},
    {"probing", Type::kFlag, 0, 0, false, "", "whether boxes may be probed; yes if not told"},
    {"reports", Type::kWord, 0, 0, false, "answers|probes",
     "whether boxes tell their load with answers, or only to probes; answers if not told"},
    {"cancelling", Type::kFlag, 0, 0, false, "", "whether attempts may be called off; yes if not told"},
    {"parallel", Type::kFlag, 0, 0, false, "",
     "whether a second copy may go out while the first runs; no if not told"},
    {"attempts", Type::kCount, 1, 5, false, "", "most attempts for one request; 3 if not told"},
    {"connect_within", Type::kTime, 1, 60000, false, "",
     "a connection that is not up by then is given up; 200 ms if not told"},
    {"idle", Type::kTime, 100, kDay, false, "", "boxes close connections that stood unused for so long"},
    {"advise_wait", Type::kTime, 1, kHour, false, "",
     "refusals say to come back after this; they say nothing if not told"},
    {"zones", Type::kWords, 0, 0, false, "", "the zones' names, in an order that all nodes share"},
};

constexpr Field kBackend[] = {
    {"dial", Type::kAddress, 0, 0, true, "", "where it listens"},
    {"zone", Type::kWord, 0, 0, false, "", "the zone it stands in"},
    {"cell", Type::kCount, 0, 1000000, false, "", "the cell it belongs to; 0 if not told"},
    {"size", Type::kNumber, 0.001, 1000000, false, "", "its capacity beside others'; 1 if not told"},
    {"draining", Type::kFlag, 0, 0, false, "", "yes: it gets nothing new; no if not told"},
};

constexpr Field kRegistry[] = {
    {"endpoints", Type::kWords, 0, 0, true, "", "addresses with ports of the registry's members"},
    {"prefix", Type::kWord, 0, 0, true, "", "of the boxes' keys; the rest of a key is the box's name"},
    {"ca", Type::kWord, 0, 0, false, "", "file (PEM): TLS, with registries whose certificates come from it"},
    {"certificate", Type::kWord, 0, 0, false, "", "file (PEM): this node's, where registries ask for it"},
    {"key", Type::kWord, 0, 0, false, "", "file (PEM): its key"},
    {"name", Type::kWord, 0, 0, false, "",
     "that registries' certificates must have; their address if not told"},
};

constexpr Field kCold[] = {
    {"share", Type::kShare, 0.001, 1, true, "", "of its capacity, that a box starts with"},
    {"warm_up", Type::kTime, 1, kHour, true, "", "after which it is warm"},
    {"fall_multiple", Type::kNumber, 1, 1000, true, "", "sent more than this times its present capacity ..."},
    {"fall_span", Type::kTime, 1, kHour, true, "", "... for this long, it falls over"},
};

constexpr Field kSubset[] = {
    {"size", Type::kCount, 2, 100000, false, "", "boxes that a node works with; 50 if not told"},
    {"above", Type::kCount, 0, 10000000, false, "",
     "a fleet of so many at most is worked with whole; twice the size if not told"},
    {"slack", Type::kShare, 0.05, 1, false, "", "that a part may be larger than the mean; 25 % if not told"},
};

constexpr Field kProbes[] = {
    {"per_second", Type::kRate, 0.1, 1e6, false, "", "most probes by this node"},
    {"per_box", Type::kRate, 0.01, 1e4, false, "", "most probes to one box by all nodes, on average"},
};

constexpr Field kRoute[] = {
    {"host", Type::kWord, 0, 0, false, "", "a name, or \"*.\" and a name; any if not told"},
    {"path", Type::kWord, 0, 0, false, "",
     "literals, \"{parameters}\", \"/*\" for the rest; any if not told"},
    {"methods", Type::kWords, 0, 0, false, "", "any if not told"},
    {"header", Type::kPair, 0, 0, false, "", "a field and the value that it must have"},
    {"class", Type::kWord, 0, 0, true, "", "the class of requests that take this route"},
    {"pool", Type::kWord, 0, 0, false, "", "where they go; may be left out where there is one pool"},
    {"split", Type::kShares, 0, 1, false, "",
     "a pool and its share of them; told once for each pool, 100 % together"},
    {"by", Type::kWord, 0, 0, false, "", "with split: the header whose value keeps its pool"},
};

constexpr Field kFleet[] = {
    {"store", Type::kWords, 0, 0, true, "",
     "addresses with ports of the members of the store (etcd v3's JSON gateway)"},
    {"prefix", Type::kWord, 0, 0, true, "", "of the fleet's keys in it"},
    {"processes", Type::kCount, 1, 10000, true, "",
     "most that may ever run at once; each has a reserve by it"},
    {"lease", Type::kTime, 500, 600000, false, "",
     "a process that is not heard of for so long has no share; 5 s if not told"},
    {"client", Type::kWord, 0, 0, false, "",
     "the header that tells a tenant's clients apart, where they are shed by plans; a tenant goes as one if "
     "not told"},
    {"drift", Type::kShare, 0, 0.1, false, "", "that clocks may differ by; 1 % if not told"},
};

constexpr Field kBudget[] = {
    {"kind", Type::kWord, 0, 0, true, "rate|at_once|attempts", "what is counted of the whole fleet"},
    {"rate", Type::kRate, 0.001, 1e9, false, "", "rate: so many requests"},
    {"burst", Type::kCount, 1, 1e9, false, "", "rate: and so many more in any span"},
    {"most", Type::kCount, 1, 1e9, false, "", "at_once: so many requests under way"},
    {"few", Type::kCount, 0, 1e9, false, "", "attempts: so many further attempts in any window"},
    {"ratio", Type::kShare, 0, 4, false, "",
     "attempts: and this share of the requests taken in it; 0 % if not told"},
    {"window", Type::kTime, 100, kHour, false, "", "attempts: the window"},
    {"pool", Type::kWord, 0, 0, false, "", "only what goes to this pool"},
    {"route", Type::kWord, 0, 0, false, "", "only what takes this route"},
    {"class", Type::kWord, 0, 0, false, "", "only requests of this class"},
    {"tenant", Type::kWord, 0, 0, false, "", "only requests of this tenant (X-Tenant-Id)"},
    {"reserve", Type::kShare, 0, 0.5, false, "",
     "that needs no store, in equal parts of the most processes; 5 % if not told"},
    {"least_part", Type::kShare, 0, 0.5, false, "",
     "of the rest, divided equally whatever the demand; 5 % if not told"},
    {"most_part", Type::kShare, 0.01, 1, false, "", "that one process may have; 90 % if not told"},
};

constexpr Field kPlan[] = {
    {"rank", Type::kCount, 1, 1000, true, "",
     "1 is the highest; in a shortage of the fleet the largest go first"},
    {"tenants", Type::kWords, 0, 0, false, "", "whose requests are of this plan (X-Tenant-Id)"},
    {"floor", Type::kShare, 0, 1, false, "",
     "of what the plan offers, that is taken whatever the shortage; none if not told"},
    {"default", Type::kFlag, 0, 0, false, "", "yes: also of tenants that no plan names"},
};

constexpr Field kAffinity[] = {
    {"when", Type::kWord, 0, 0, false, "",
     "which requests, as in: \"class = check and not header X-Test = yes\"; all if not told"},
    {"key", Type::kWords, 0, 0, true, "",
     "what keeps to one place: header NAME, cookie NAME, part N (of the path, from 1), parameter NAME (of "
     "the "
     "route's path) or tenant"},
    {"to", Type::kWord, 0, 0, false, "box|cell|zone", "what a key keeps to; box if not told"},
    {"must", Type::kFlag, 0, 0, false, "", "yes: there or nowhere; no: there if it can be; no if not told"},
    {"hold", Type::kTime, 0, kHour, false, "",
     "with on_loss refuse: how long keys wait for a box that is lost; none if not told"},
    {"on_drain", Type::kWord, 0, 0, false, "finish|move",
     "what is under way at a box that drains may finish, or is called off; finish if not told"},
    {"finish", Type::kTime, 0, kHour, false, "", "for at most so long; 30 s if not told"},
    {"on_loss", Type::kWord, 0, 0, false, "move|refuse",
     "keys of a box that is lost move, or wait for it; move if not told"},
    {"bound", Type::kShare, 1, 10, false, "", "most of a box's part that it gets; 125 % if not told"},
    {"slots", Type::kCount, 16, 65536, false, "", "a power of two, some 20 for each box; 1,024 if not told"},
    {"wait", Type::kTime, 0, 60000, false, "",
     "must: a request waits at most so long for its key's place; 1 s if not told"},
};

constexpr Block kBlocks[] = {
    {"node", "", true, true, kNode, "this node; its name behind the word"},
    {"class", "", true, false, kClass, "a class of requests: the first part of their path"},
    {"route", "", true, false, kRoute,
     "which requests are of which class; without any, the first part of the path is the class"},
    {"pool", "", true, false, kPool, "boxes, and what is allowed before them"},
    {"box", "pool", true, false, kBackend, "one box of a pool whose list stands in the file"},
    {"registry", "pool", false, true, kRegistry, "boxes from a key-value registry (etcd v3's JSON gateway)"},
    {"cold", "pool", false, true, kCold, "the rule on boxes that have just started"},
    {"subset", "pool", false, true, kSubset, "work with a part of a large fleet"},
    {"probes", "pool", false, true, kProbes, "ceilings of probes"},
    {"fleet", "", false, true, kFleet, "what processes of one fleet share, and where"},
    {"budget", "", true, false, kBudget, "a bound on the whole fleet, divided among its processes"},
    {"plan", "", true, false, kPlan, "tenants that go together in a shortage of the fleet"},
    {"affinity", "", true, false, kAffinity,
     "requests of one key go to one place, whichever process has them; of these rules the first that matches "
     "counts"},
};

}  // namespace

std::span<const Block> blocks() { return kBlocks; }

const Block* find_block(std::string_view name, std::string_view parent) {
  const auto it = std::find_if(std::begin(kBlocks), std::end(kBlocks),
                               [&](const Block& b) { return b.name == name && b.parent == parent; });
  return it == std::end(kBlocks) ? nullptr : it;
}

const Field* find_field(const Block& block, std::string_view name) {
  const auto it =
      std::find_if(block.fields.begin(), block.fields.end(), [&](const Field& f) { return f.name == name; });
  return it == block.fields.end() ? nullptr : &*it;
}

}  // namespace shorelead::language
