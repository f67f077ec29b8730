#include "node/difference.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace shorelead::node {
namespace {

using Facts = std::map<std::string, std::string>;  // what the node goes by, in words

std::string text(double value, const char* unit = "") {
  std::ostringstream out;
  out.precision(12);
  out << value << unit;
  return out.str();
}

std::string ms(Millis value) { return value > 0 ? text(value, " ms") : "none"; }
std::string yes(bool value) { return value ? "yes" : "no"; }
std::string share(double value) { return text(value * 100, " %"); }

std::string joined(const std::vector<std::string>& words) {
  std::string all;
  for (const std::string& word : words) all.append(all.empty() ? "" : " ").append(word);
  return all;
}

void add_class(const std::string& name, const RequestClass& c, Facts& facts) {
  const auto put = [&](const char* what, std::string value) {
    facts["class " + name + ": " + what] = std::move(value);
  };
  const char* const effects[] = {"safe", "keyed", "unsafe"};
  const char* const groups[] = {"all", "zone", "cell"};
  put("effect", effects[static_cast<int>(c.effect)]);
  put("aim", ms(c.aim));
  put("give_up", ms(c.deadline));
  put("worth", text(c.worth));
  put("late_value", share(c.late_value));
  if (c.effect != Effect::kKeyed) return;
  put("group", groups[static_cast<int>(c.group)]);
  put("window", ms(c.dedup_window));
}

// By what it matches, not by its name or its place in the file; parameters' names do not matter.
std::string words_of(const routing::Rule& rule, const std::string& method) {
  std::string path;
  bool in_name = false;
  for (const char c : rule.path) {
    if (c == '}') in_name = false;
    if (!in_name) path += c;
    if (c == '{') in_name = true;
  }
  std::string host = rule.host;
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) { return std::tolower(c); });
  std::string words = "route ";
  words.append(method.empty() ? "any" : method).append(" ").append(host.empty() ? "any host" : host);
  words.append(" ").append(path);
  auto fields = rule.fields;
  std::sort(fields.begin(), fields.end());
  for (const auto& [name, value] : fields) words.append(" ").append(name).append("=").append(value);
  return words;
}

Facts facts_of(const Config& config) {
  Facts facts;
  const Settings& s = config.settings;
  const auto put = [&facts](const char* what, std::string value) { facts[what] = std::move(value); };
  put("node: name", config.name);
  put("node: listen", config.listen.toString());
  put("node: discovery", config.discovery.toString());
  put("node: sockets", text(config.limits.sockets));
  put("node: memory", text(config.limits.memory_mb, " MiB"));
  put("node: nodes", text(s.instances));
  put("node: index", text(s.instance));
  put("node: zone", text(s.zone));
  put("pool: list", s.list_on_request ? "asked" : "watched");
  put("pool: ask_every", ms(s.ask_every));
  put("pool: probing", yes(s.probing));
  put("pool: cancelling", yes(s.cancelling));
  put("pool: parallel", yes(s.parallel_attempts));
  put("pool: attempts", text(s.max_attempts));
  put("pool: connect_within", ms(s.connect_timeout));
  put("pool: idle", ms(config.host.idle_timeout));
  put("pool: advise_wait", s.advise_wait ? ms(s.max_wait_advice) : "none");
  put("pool: zones", joined(config.host.zones));
  put("pool: cold share", share(s.cold_share));
  put("pool: cold warm_up", ms(s.warm_up));
  put("pool: cold fall_multiple", text(s.fall_multiple));
  put("pool: cold fall_span", ms(s.fall_span));
  put("pool: probes per_second", s.most_probes > 0 ? text(s.most_probes, " rps") : "no ceiling");
  put("pool: probes per_box", s.most_probes_backend > 0 ? text(s.most_probes_backend, " rps") : "no ceiling");
  if (config.fleet.subset) {
    put("pool: subset size", text(config.fleet.subset->target));
    put("pool: subset above", text(config.fleet.subset->whole_up_to));
    put("pool: subset slack", share(config.fleet.subset->slack));
  }
  for (std::size_t n = 0; n < s.classes.size(); ++n) add_class(config.host.classes[n], s.classes[n], facts);
  if (!config.routes) {
    put("routes", "the first part of the path is the class");
    return facts;
  }
  for (std::size_t n = 0; n < config.routes->rules.size(); ++n) {
    const routing::Rule& rule = config.routes->rules[n];
    const std::string& to =
        config.host.classes[static_cast<std::size_t>(config.routes->routes[n].request_class)];
    if (rule.methods.empty()) facts[words_of(rule, "")] = "class " + to;
    for (const std::string& method : rule.methods) facts[words_of(rule, method)] = "class " + to;
  }
  return facts;
}

}  // namespace

std::vector<Difference> differences(const Config& before, const Config& after) {
  const Facts old = facts_of(before);
  const Facts now = facts_of(after);
  std::vector<Difference> all;
  auto a = old.begin();
  auto b = now.begin();
  while (a != old.end() || b != now.end()) {
    if (b == now.end() || (a != old.end() && a->first < b->first)) {
      all.push_back({a->first, a->second, ""});
      ++a;
    } else if (a == old.end() || b->first < a->first) {
      all.push_back({b->first, "", b->second});
      ++b;
    } else {
      if (a->second != b->second) all.push_back({a->first, a->second, b->second});
      ++a, ++b;
    }
  }
  return all;
}

}  // namespace shorelead::node
