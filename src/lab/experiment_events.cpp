// What is done to the world, and when.
#include <regex>

#include "lab/experiment_parts.h"

namespace shorelead::lab {
namespace {

using Kind = Action::Kind;

const std::array<std::string, 19> kKinds{
    "kill",      "stall",     "drain",        "deploy",      "slow",  "unlist",     "link",
    "discovery", "node_kill", "node_term",    "node_reload", "pause", "node_start", "rolling",
    "cut",       "store",     "kill_planner", "signals",     "crowd"};
const std::array<std::string, 9> kLinkFaults{"black_hole", "latency", "reset",   "truncate", "drip",
                                             "noise",      "second",  "interim", "endless"};
const std::array<std::string, 21> kDiscoveryFaults{
    "down",         "restart",       "empty",          "crowded",      "unavailable", "slow",
    "trickle",      "cut",           "ends",           "silent",       "reset",       "unreadable",
    "partial_end",  "partial_reset", "partial_silent", "partial_late", "begun_end",   "begun_reset",
    "begun_silent", "begun_late",    "loses"};
const std::array<std::string, 2> kSignals{"hup", "term"};
const std::array<std::string, 7> kCrowds{"idle",       "unfinished",   "many_fields", "half_body",
                                         "no_reading", "slow_reading", "mixed"};
const std::array<std::string, 3> kFiles{"same", "moved", "broken"};
const std::array<std::string, 3> kCutFaults{"hole", "latency", "bytes"};
const std::array<std::string, 3> kWays{"both", "asks", "answers"};
const std::array<std::string, 6> kStoreFaults{"down", "restart", "slow", "deaf", "full", "cuts"};

void read_boxes(Reader& in, Action& action, const FleetSpec& fleet) {
  in.share("part", action.part);
  action.boxes = in.wholes("boxes", fleet.boxes, "box");
  in.text("zone", action.zone);
  const auto& zones = fleet.zones;
  if (!action.zone.empty() && std::find(zones.begin(), zones.end(), action.zone) == zones.end()) {
    in.bad("zone", "there is no zone \"" + action.zone + "\"" + did_you_mean(action.zone, zones));
  }
  const int ways = (action.part > 0) + !action.boxes.empty() + !action.zone.empty();
  if (ways != 1) in.bad_here("say which boxes by just one of \"part\", \"boxes\" and \"zone\"");
}

void read_stall(Reader& in, Action& action) {
  in.need("least");
  in.time("least", action.least, false);
  action.most = action.least;
  in.time("most", action.most, false);
  if (action.most < action.least) in.bad("most", "\"most\" is less than \"least\"");
  in.time("every", action.every, false);
}

void read_link(Reader& in, Action& action) {
  action.fault = kLinkFaults[in.word("fault", kLinkFaults)];
  in.share("share", action.share);
  in.time("latency", action.latency);
  in.whole("after_bytes", action.after_bytes, 0, 1 << 20);
  if (action.fault == "latency" && action.latency <= 0) in.bad("fault", "\"latency\" needs its \"latency\"");
}

void read_on_nodes(Reader& in, Action& action, const NodesSpec& nodes) {
  if (action.kind == Kind::kNodeStart) {
    in.need("nodes");
    for (const int node : action.nodes) {
      if (std::find(nodes.later.begin(), nodes.later.end(), node) == nodes.later.end())
        in.bad("nodes", "node " + std::to_string(node) + " is not among [nodes] \"later\"");
    }
  }
  if (action.kind == Kind::kNodeReload) {
    in.time("every", action.every, false);
    in.whole("text", action.text, 0, std::max(0, static_cast<int>(nodes.shore.size()) - 1));
    if (in.has("text") && nodes.shore.empty()) in.bad("text", "there is no \"shore\" to take it from");
  }
  const bool reloads = action.kind == Kind::kNodeReload || action.kind == Kind::kSignals;
  if (reloads && in.has("file")) {
    action.file = kFiles[in.word("file", kFiles)];
    if (!nodes.shore.empty()) in.bad("file", "only the platform's JSON is moved or broken");
  }
  if (action.kind == Kind::kSignals) {
    in.need("signals");
    action.signals = in.texts("signals");
    for (const std::string& one : action.signals) in.one_of("signals", one, kSignals);
    action.every = 50;
    in.time("every", action.every, false);
  }
  if (action.kind == Kind::kPause) in.flag("unnoticed", action.unnoticed);
  if (action.kind == Kind::kRolling) {
    action.every = 1000;
    in.time("spread", action.every, false);
  }
}

void read_on_store(Reader& in, Action& action, const Experiment& experiment) {
  if (!experiment.store.there) in.bad("do", "there is no [store]");
  if (action.kind == Kind::kKillPlanner) {
    in.text("holds", action.holds);
    try {
      const std::regex readable(action.holds);
    } catch (const std::regex_error&) {
      in.bad("holds", "\"" + action.holds + "\" is not a regular expression");
    }
    return;
  }
  const bool cut = action.kind == Kind::kCut;
  action.fault = cut ? kCutFaults[0] : kStoreFaults[in.word("fault", kStoreFaults)];
  if (cut && in.has("fault")) action.fault = kCutFaults[in.word("fault", kCutFaults)];
  if (cut) {
    action.way = kWays[0];
    if (in.has("way")) action.way = kWays[in.word("way", kWays)];
    if (in.has("way") && action.fault != "hole") in.bad("way", "only a \"hole\" has a \"way\"");
  }
  if (action.fault == "latency" || action.fault == "slow") {
    in.need("latency");
    in.time("latency", action.latency, false);
  }
  if (action.fault == "bytes" || action.fault == "cuts") {
    in.need("share");
    in.share("share", action.share);
  }
  if (action.fault == "restart") {
    in.whole("forgets", action.forgets, 0, 1000000);
    in.flag("same_cluster", action.same_cluster);
  }
}

bool lasts(const Action& action) {
  switch (action.kind) {
    case Kind::kLink:
    case Kind::kSlow:
    case Kind::kPause:
    case Kind::kCut:
    case Kind::kKillPlanner:
    case Kind::kCrowd:
      return true;
    case Kind::kStall:
    case Kind::kNodeReload:
      return action.every > 0;
    case Kind::kDiscovery:
    case Kind::kStore:
      return action.fault != "restart" && action.fault != "deaf" && action.fault != "silent" &&
             action.fault != "reset";
    default:
      return false;
  }
}

}  // namespace

Action read_action(Reader& in, const Experiment& experiment) {
  Action action;
  action.line = in.line();
  action.kind = static_cast<Kind>(in.word("do", kKinds));
  in.need("at");
  in.time("at", action.at);
  const Kind kind = action.kind;
  if (action.on_boxes()) read_boxes(in, action, experiment.fleet);
  if (kind == Kind::kLink || action.on_nodes() || kind == Kind::kCut || kind == Kind::kCrowd) {
    action.nodes = in.wholes("nodes", experiment.nodes.count, "node");
  }
  const bool box_goes = kind == Kind::kKill || kind == Kind::kDrain || kind == Kind::kDeploy;
  const bool ends = kind == Kind::kNodeTerm || kind == Kind::kSignals;
  const bool node_goes = kind == Kind::kNodeKill || ends || kind == Kind::kKillPlanner;
  if (ends) in.time("kill_after", action.kill_after);
  if (kind == Kind::kCrowd) {
    in.need("nodes");
    in.need("count");
    in.whole("count", action.count, 1, 2000);
    if (in.has("clients")) action.clients = kCrowds[in.word("clients", kCrowds)];
  }
  if (box_goes || node_goes || kind == Kind::kUnlist || kind == Kind::kRolling) {
    in.time("back", action.back);
    const bool stays = kind < Kind::kDeploy || kind == Kind::kUnlist;
    if (!stays && action.back <= 0) action.back = 500;
  }
  if (node_goes) in.flag("stay_away", action.stay_away);
  if (action.stay_away && in.has("back")) in.bad("back", "it is to \"stay_away\"");
  if (box_goes) in.flag("same_address", action.same_address);
  if (kind == Kind::kDrain || kind == Kind::kDeploy) in.time("drain_time", action.drain_time);
  if (kind == Kind::kDeploy) in.whole("batch", action.batch, 1, 20000);
  if (kind == Kind::kStall) read_stall(in, action);
  if (kind == Kind::kSlow) {
    in.need("factor");
    in.number("factor", action.factor, 0.001, 1000);
  }
  if (kind == Kind::kLink) read_link(in, action);
  if (kind == Kind::kDiscovery) {
    action.fault = kDiscoveryFaults[in.word("fault", kDiscoveryFaults)];
    if (action.fault == "slow" || action.fault == "unavailable") {
      in.need("latency");
      in.time("latency", action.latency);
    }
  }
  if (action.on_nodes()) read_on_nodes(in, action, experiment.nodes);
  if (kind >= Kind::kCut && kind <= Kind::kKillPlanner) read_on_store(in, action, experiment);
  if (lasts(action)) {
    in.need("for");
    in.time("for", action.length, false);
  }
  if (action.at > experiment.load.span) in.bad("at", "it comes after the load has ended");
  in.finish();
  return action;
}

}  // namespace shorelead::lab
