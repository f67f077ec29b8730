#include "node/config.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "files/whole_file.h"
#include "node/config_checks.h"

namespace shorelead::node {
namespace {

constexpr int kMinSockets = 64;

Poco::Net::SocketAddress address(const std::string& text, const char* name) {
  const auto parsed = parse_address(text);
  if (!parsed) fields::bad(name, ("is not an address with a port: \"" + text + "\"").c_str());
  return *parsed;
}

std::string override_or_text(const std::string& override_value, const Json& object, const char* name) {
  return override_value.empty() ? std::string(fields::text(object, name)) : override_value;
}

std::uint64_t parse_seed(std::string_view text) {
  std::uint64_t seed = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || rest != text.data() + text.size()) {
    fields::bad("seed", "is not a hexadecimal number of 64 bits");
  }
  return seed;
}

Limits parse_limits(const Json& object) {
  Limits limits;
  limits.cores = fields::number_or(object, "cores", limits.cores);
  limits.memory_mb = fields::number_or(object, "memory_mb", limits.memory_mb);
  limits.sockets = fields::index_or(object, "sockets", limits.sockets);
  if (limits.sockets < kMinSockets) fields::bad("sockets", "is below the minimum of a node (64)");
  return limits;
}

// Keys that a class has only with some effects.
bool depends_on_effect(std::string_view key) { return key == "Group" || key == "DedupWindow"; }

std::set<std::string> collect_keys(const Json& value, const std::string& path) {
  std::set<std::string> keys;
  if (value.IsObject()) {
    for (const auto& member : value.GetObject()) {
      const std::string name = path.empty() ? member.name.GetString() : path + "." + member.name.GetString();
      if (name == "known" || member.value.IsNull()) continue;
      keys.insert(name);
      keys.merge(collect_keys(member.value, name));
    }
  } else if (value.IsArray()) {
    // Keep the keys that every item has.
    bool first = true;
    for (const Json& item : value.GetArray()) {
      const std::set<std::string> item_keys = collect_keys(item, path);
      const auto absent = [&item_keys](const std::string& key) { return item_keys.count(key) == 0; };
      if (std::exchange(first, false)) keys = item_keys;
      std::erase_if(keys, absent);
    }
    std::erase_if(keys,
                  [](const std::string& key) { return depends_on_effect(key.substr(key.rfind('.') + 1)); });
    if (value.Empty()) keys.insert(path + ".");  // an empty array says nothing about the keys of its items
  }
  return keys;
}

}  // namespace

void ConfigKeys::require_all_of(const ConfigKeys& before) const {
  for (const std::string& key : before.paths) {
    const std::string array_marker = key.substr(0, key.rfind('.') + 1);
    if (key == array_marker || paths.count(array_marker) > 0) continue;  // of an empty array
    if (paths.count(key) == 0) fields::bad(key.c_str(), "is missing, but the running configuration has it");
  }
}

ListedBackend parse_backend(const Json& item) {
  if (!item.IsObject()) fields::bad("hosts", "holds something that is not an object");
  ListedBackend backend;
  backend.host = fields::text(item, "host");
  backend.health = fields::text(item, "health");
  if (fields::find(item, "dial") != nullptr) backend.dial = fields::text(item, "dial");
  if (fields::find(item, "site") != nullptr) backend.site = fields::text(item, "site");
  backend.cell = fields::index_or(item, "block", 0);
  backend.size = fields::number_or(item, "share", 1);
  backend.started = fields::number_or(item, "born_ms", 0);
  if (backend.health != "gone") address(backend.dial, "dial");
  return backend;
}

List parse_list(const Json& object) {
  if (!object.IsObject()) throw FieldError("the backend list is not a JSON object");
  List list;
  const Json& version = fields::need(object, "seq");
  if (!version.IsUint64()) fields::bad("seq", "is not a whole number from 0 up");
  list.version = version.GetUint64();
  list.whole = fields::bool_or(object, "whole", false);
  for (const Json& item : fields::array(object, "hosts").GetArray()) {
    list.backends.push_back(parse_backend(item));
  }
  return list;
}

List read_list(const std::string& text) {
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  if (document.HasParseError()) throw FieldError("the backend list is broken JSON");
  return parse_list(document);
}

Config parse_config(std::string text, const Overrides& overrides) {
  rapidjson::Document document;
  document.ParseInsitu(text.data());
  if (document.HasParseError()) {
    throw FieldError("broken JSON at byte " + std::to_string(document.GetErrorOffset()) + ": " +
                     rapidjson::GetParseError_En(document.GetParseError()));
  }
  if (!document.IsObject()) throw FieldError("the configuration is not a JSON object");
  Config config;
  config.name = override_or_text(overrides.name, document, "name");
  config.listen = address(override_or_text(overrides.listen, document, "listen"), "listen");
  config.discovery = address(override_or_text(overrides.discovery, document, "discovery"), "discovery");
  if (!overrides.admin.empty() || fields::find(document, "mgmt") != nullptr)
    config.admin = address(override_or_text(overrides.admin, document, "mgmt"), "mgmt");
  config.seed = parse_seed(fields::text(document, "seed"));
  if (fields::find(document, "limits") != nullptr) {
    config.limits = parse_limits(fields::object(document, "limits"));
  }
  if (fields::find(document, "known") != nullptr)
    config.known = parse_list(fields::object(document, "known"));
  const Json& settings = fields::object(document, "settings");
  config.settings = parse_settings(settings);
  config.host = parse_host_settings(settings);
  config.keys.paths = collect_keys(document, "");
  check_keys(config.keys.paths, config.settings.list_on_request);
  check_values(config.settings, config.host);
  // Features of the decision module that have no wire format between nodes.
  if (config.settings.peer_messages) {
    config.settings.peer_messages = false;
    config.warnings.push_back(
        "Allowed.PeerMessages: ignored, this node has no wire format for messages to other nodes");
  }
  if (config.settings.warm_keys) {
    config.settings.warm_keys = false;
    config.warnings.push_back("Specifics.WarmKeys: ignored, requests carry no key on the wire");
  }
  return config;
}

std::vector<PoolConfig> pools_of(const Config& config) {
  if (!config.pools.empty()) {
    std::vector<PoolConfig> pools = config.pools;
    for (PoolConfig& pool : pools) pool.requested_at = config.requested_at;
    return pools;
  }
  PoolConfig pool;
  pool.requested_at = config.requested_at;
  pool.name = "main";
  pool.discovery = config.discovery;
  pool.known = config.known;
  pool.settings = config.settings;
  for (std::size_t n = 0; n < config.settings.classes.size(); ++n)
    pool.classes.push_back(static_cast<int>(n));
  pool.host = config.host;
  pool.fleet = config.fleet;
  return {pool};
}

Overrides merge(const Overrides& flags, const Overrides& variables, bool reload) {
  const auto first = [](const std::string& a, const std::string& b) { return a.empty() ? b : a; };
  return {first(flags.name, variables.name), first(flags.listen, variables.listen),
          reload ? flags.discovery : first(flags.discovery, variables.discovery),
          first(flags.admin, variables.admin)};
}

Config load_config(const std::string& path, const Overrides& flags, const Overrides& variables, bool reload) {
  if (path.empty()) throw FieldError("NODE_CONFIG (or --config) names no file");
  const Overrides overrides = merge(flags, variables, reload);
  files::ReadResult file = files::read_whole(path);
  if (file.status == files::ReadStatus::kFailed) throw UnreadableConfig("the configuration " + file.cause);
  if (file.status == files::ReadStatus::kAbsent)
    throw FieldError("cannot read the configuration at \"" + path + "\"");
  if (file.text.empty()) throw FieldError("the configuration at \"" + path + "\" is empty");
  return parse_config(std::move(file.text), overrides);
}

}  // namespace shorelead::node
