#include "lab/node_config.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <map>

namespace shorelead::lab {

std::string node_configuration(const Experiment& experiment, int node, const std::string& listen,
                               const std::string& discovery, const std::string& known) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> out(buffer);
  const auto text = [&out](const char* key, const std::string& value) {
    out.Key(key);
    out.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
  };
  const auto number = [&out](const char* key, double value) {
    out.Key(key);
    out.Double(value);
  };
  const auto whole = [&out](const char* key, int value) {
    out.Key(key);
    out.Int(value);
  };
  const auto flag = [&out](const char* key, bool value) {
    out.Key(key);
    out.Bool(value);
  };
  out.StartObject();
  text("name", std::string("n").append(std::to_string(node)));
  text("listen", listen);
  text("discovery", discovery);
  text("seed", Draw(experiment.seed + static_cast<std::uint64_t>(node), "node").hex(16));
  out.Key("limits");
  out.StartObject();
  number("cores", 1);
  whole("memory_mb", experiment.nodes.memory_mb);
  whole("sockets", experiment.nodes.sockets);
  out.EndObject();
  out.Key("known");
  out.RawValue(known.c_str(), known.size(), rapidjson::kObjectType);
  out.Key("settings");
  out.StartObject();
  whole("Instances", experiment.nodes.count);
  whole("Me", node);
  whole("Locality", node % static_cast<int>(experiment.fleet.zones.size()));
  out.Key("Azs");
  out.StartArray();
  for (const std::string& zone : experiment.fleet.zones) out.String(zone.c_str());
  out.EndArray();
  text("RegistryMode", experiment.discovery.asked ? "subscribe" : "automatic");
  out.Key("Services");
  out.StartArray();
  static const char* const kEffects[] = {"pure", "token", "side_effect"};
  static const char* const kGroups[] = {"all", "zone", "cell"};
  for (const ClassSpec& spec : experiment.classes) {
    out.StartObject();
    text("Name", spec.rules.name);
    text("Effect", kEffects[static_cast<int>(spec.rules.effect)]);
    if (spec.rules.effect == Effect::kKeyed) {
      text("Group", kGroups[static_cast<int>(spec.rules.group)]);
      number("DedupWindow", spec.rules.window);
    }
    number("Aim", spec.rules.aim);
    number("GiveUp", spec.rules.give_up);
    number("Worth", spec.rules.worth);
    out.EndObject();
  }
  out.EndArray();
  out.Key("Allowed");
  out.StartObject();
  flag("Probing", true);
  flag("Cancel", experiment.rules.cancel);
  flag("ParallelTries", experiment.rules.parallel);
  flag("RetryAfter", experiment.rules.retry_after);
  number("MaxRetryAfter", 600);
  whole("MostTries", experiment.rules.most_attempts);
  number("ConnIdle", experiment.fleet.idle_close);
  number("ConnectTimeout", experiment.rules.connect_timeout);
  out.EndObject();
  out.Key("Invariants");
  out.StartObject();
  number("ColdShare", experiment.fleet.spec.cold_from);
  number("WarmUp", experiment.fleet.spec.warm_up);
  number("FallMultiple", experiment.fleet.spec.fall_multiple > 0 ? experiment.fleet.spec.fall_multiple : 3);
  number("Fall", experiment.fleet.spec.fall_span > 0 ? experiment.fleet.spec.fall_span : 1000);
  number("AskEvery", experiment.discovery.ask_every);
  number("StopSendingWithin", experiment.rules.drain_grace);
  out.EndObject();
  out.EndObject();
  out.EndObject();
  return buffer.GetString();
}

std::string node_shore(const Experiment& experiment, int node, const std::string& listen,
                       const std::function<std::string(int)>& discovery, const std::string& store,
                       std::size_t n) {
  std::map<std::string, std::string> values{
      {"listen", listen},
      {"seed", Draw(experiment.seed + static_cast<std::uint64_t>(node), "node").hex(16)},
      {"nodes", std::to_string(experiment.nodes.count)},
      {"index", std::to_string(node)},
      {"zone", experiment.fleet.zones[static_cast<std::size_t>(node) % experiment.fleet.zones.size()]},
      {"discovery", discovery(0)},
      {"store", store}};
  for (std::size_t pool = 0; pool < experiment.fleet.pools.size(); ++pool) {
    values["discovery." + experiment.fleet.pools[pool].name] = discovery(static_cast<int>(pool));
  }
  const std::string& text = experiment.nodes.shore[n % experiment.nodes.shore.size()];
  std::string out;
  std::size_t from = 0;
  for (std::size_t at = text.find('@'); at != std::string::npos; at = text.find('@', from)) {
    const std::size_t end = text.find('@', at + 1);
    out.append(text, from, at - from).append(values.at(text.substr(at + 1, end - at - 1)));
    from = end + 1;
  }
  return out.append(text, from);
}

}  // namespace shorelead::lab
