// What is there: boxes and pools, nodes, discovery, the store that nodes share.
#include "lab/experiment_parts.h"

namespace shorelead::lab {

void read_fleet(Reader& in, FleetSpec& fleet) {
  in.whole("boxes", fleet.boxes, 1, 20000);
  if (in.has("zones")) fleet.zones = in.texts("zones");
  in.whole("cells", fleet.cells, 1, 20000);
  in.whole("cores", fleet.spec.cores, 1, 1024);
  in.number("speed", fleet.spec.speed, 0.001, 1000);
  in.whole("queue", fleet.spec.queue, 0, 1000000);
  in.time("connection_work", fleet.spec.connection_work);
  in.share("cold_from", fleet.spec.cold_from);
  if (fleet.spec.cold_from <= 0)
    in.bad("cold_from", "a box that starts with none of its speed never warms up");
  in.time("warm_up", fleet.spec.warm_up);
  in.number("fall_multiple", fleet.spec.fall_multiple, 1, kMost);
  in.time("fall_span", fleet.spec.fall_span);
  if (fleet.spec.fall_span > 0 && fleet.spec.fall_multiple == 0) {
    in.bad("fall_span", "\"fall_span\" says nothing without \"fall_multiple\"");
  }
  in.flag("reports", fleet.reports);
  in.time("report_age", fleet.report_age);
  in.share("error_rate", fleet.error_rate);
  in.time("idle_close", fleet.idle_close, false);
  in.flag("serves_draining", fleet.serves_draining);
  in.time("latency", fleet.latency);
  in.time("jitter", fleet.jitter);
  if (fleet.jitter > fleet.latency)
    in.bad("jitter", "\"jitter\" is over \"latency\": a link would answer early");
  in.whole("port_base", fleet.port_base, 0, 65000);
  in.whole("remembers", fleet.remembers, 0, 1000000);
  in.share("known_work", fleet.known_work);
  if (in.has("known_work") && fleet.remembers == 0)
    in.bad("known_work", "\"known_work\" says nothing without \"remembers\"");
  in.finish();
}

void read_nodes(Reader& in, NodesSpec& nodes, const FleetSpec& fleet, const StoreSpec& store) {
  in.whole("count", nodes.count, 1, 200);
  in.whole("sockets", nodes.sockets, 64, 1000000);
  in.whole("memory_mb", nodes.memory_mb, 8, 1000000);
  in.time("notice", nodes.notice);
  in.text("own", nodes.own);
  if (in.has("shore")) nodes.shore = in.texts("shore");
  nodes.later = in.wholes("later", nodes.count, "node");
  if (static_cast<int>(nodes.later.size()) >= nodes.count) in.bad("later", "no node is left to begin with");
  if (!nodes.shore.empty() && !nodes.own.empty())
    in.bad("own", "\"own\" goes with the platform's JSON, not with \"shore\"");
  if (nodes.shore.empty() && !fleet.pools.empty())
    in.bad_here("several pools need \"shore\": the platform's JSON knows one");
  const auto known = place_names(fleet, store);
  for (const std::string& text : nodes.shore) {
    for (std::size_t at = text.find('@'); at != std::string::npos; at = text.find('@', at + 1)) {
      const std::size_t end = text.find('@', at + 1);
      if (end == std::string::npos) in.bad("shore", "an \"@\" is not closed by another");
      const std::string name = text.substr(at + 1, end - at - 1);
      if (std::find(known.begin(), known.end(), name) == known.end()) {
        in.bad("shore", "nothing is put in for \"@" + name + "@\"" + did_you_mean(name, known));
      }
      at = end;
    }
  }
  in.finish();
}

void read_pools(Reader& in, FleetSpec& fleet) {
  int in_pools = 0;
  for (Reader& item : in.tables("pool")) {
    PoolSpec pool;
    pool.name = item.text("name");
    item.need("boxes");
    item.whole("boxes", pool.boxes, 1, 20000);
    item.finish();
    for (const PoolSpec& other : fleet.pools) {
      if (other.name == pool.name) item.bad("name", "two pools are called \"" + pool.name + "\"");
    }
    in_pools += pool.boxes;
    fleet.pools.push_back(std::move(pool));
  }
  if (in_pools > 0 && in_pools != fleet.boxes) {
    in.bad_here("the pools have " + std::to_string(in_pools) + " boxes together, and the fleet " +
                std::to_string(fleet.boxes));
  }
}

void read_discovery(Reader& in, DiscoverySpec& discovery) {
  in.time("late_min", discovery.late_min);
  discovery.late_max = std::max(discovery.late_min, discovery.late_max);
  in.time("late_max", discovery.late_max);
  if (discovery.late_max < discovery.late_min) {
    in.bad("late_max", "\"late_max\" is less than \"late_min\"");
  }
  static const std::array<std::string, 2> kKinds{"discovery", "registry"};
  static const std::array<std::string, 3> kKnown{"now", "old", "empty"};
  if (in.has("known")) discovery.known = static_cast<KnownList>(in.word("known", kKnown));
  in.flag("asked", discovery.asked);
  in.flag("whole", discovery.whole);
  in.flag("leaves_out", discovery.leaves_out);
  in.time("ask_every", discovery.ask_every, false);
  if (in.has("kind")) discovery.registry = in.word("kind", kKinds) == 1;
  in.whole("members", discovery.members, 1, 9);
  in.share("cuts", discovery.cuts);
  in.time("compact_every", discovery.compact_every);
  in.whole("lag", discovery.lag, 0, 1000);
  in.share("deaf", discovery.deaf);
  for (const char* const key : {"members", "cuts", "compact_every", "lag", "deaf"}) {
    if (in.has(key) && !discovery.registry)
      in.bad(key, std::string("\"") + key + "\" is of a registry: kind = \"registry\"");
  }
  in.finish();
}

void read_store(Reader& in, StoreSpec& store) {
  store.there = true;
  in.text("prefix", store.prefix);
  in.whole("members", store.members, 1, 9);
  in.share("cuts", store.cuts);
  in.share("lost", store.lost);
  in.time("compact_every", store.compact_every);
  in.whole("lag", store.lag, 0, 1000);
  in.share("deaf", store.deaf);
  in.finish();
}

std::vector<std::string> place_names(const FleetSpec& fleet, const StoreSpec& store) {
  std::vector<std::string> names{"listen", "seed", "nodes", "index", "zone", "discovery"};
  for (const PoolSpec& pool : fleet.pools) names.push_back("discovery." + pool.name);
  if (store.there) names.emplace_back("store");
  return names;
}

int FleetSpec::pool_of(int box) const {
  int pool = 0;
  for (int end = 0; pool < static_cast<int>(pools.size()); ++pool) {
    end += pools[static_cast<std::size_t>(pool)].boxes;
    if (box < end) return pool;
  }
  return 0;
}

}  // namespace shorelead::lab
