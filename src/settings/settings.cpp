#include "settings/settings.h"

namespace shorelead {
namespace {

using fields::array;
using fields::as_text;
using fields::bad;
using fields::bool_or;
using fields::find;
using fields::index_or;
using fields::number;
using fields::number_or;
using fields::text;

Effect parse_effect(std::string_view effect) {
  if (effect == "pure") return Effect::kSafe;
  if (effect == "token") return Effect::kKeyed;
  if (effect == "side_effect") return Effect::kUnsafe;
  throw FieldError("unknown Effect \"" + std::string(effect) + "\"");
}

DedupGroup parse_group(std::string_view group) {
  if (group == "all") return DedupGroup::kAll;
  if (group == "zone") return DedupGroup::kZone;
  if (group == "cell") return DedupGroup::kCell;
  throw FieldError("unknown Group \"" + std::string(group) + "\"");
}

// Returns whether load reports come with responses. True also for "none", as then no probe would bring any.
bool parse_source(std::string_view source) {
  if (source == "answers" || source == "none") return true;
  if (source == "probe") return false;
  throw FieldError("unknown Source \"" + std::string(source) + "\"");
}

bool parse_mode(std::string_view mode) {
  if (mode == "subscribe") return true;
  if (mode == "automatic") return false;
  throw FieldError("unknown RegistryMode \"" + std::string(mode) + "\"");
}

// Returns whether backends' sizes in the list can be compared.
bool parse_weights(std::string_view weights) {
  if (weights == "none") return false;
  if (weights == "nominal" || weights == "rough" || weights == "live") return true;
  throw FieldError("unknown Weights \"" + std::string(weights) + "\"");
}

RequestClass parse_class(const Json& item) {
  if (!item.IsObject()) bad("Services", "holds something that is not an object");
  RequestClass request_class;
  request_class.effect = parse_effect(text(item, "Effect"));
  // The group is mandatory for a keyed class: with a default, its requests could be retried on any backend.
  if (find(item, "Group") != nullptr || request_class.effect == Effect::kKeyed)
    request_class.group = parse_group(text(item, "Group"));
  request_class.dedup_window = number_or(item, "DedupWindow", 0);
  request_class.aim = number(item, "Aim");
  request_class.deadline = number(item, "GiveUp");
  request_class.aim_stretch = number_or(item, "AimStretch", 0);
  request_class.worth = number_or(item, "Worth", 1);
  request_class.late_value = number_or(item, "LateValue", 0);
  request_class.streamed = bool_or(item, "Streamed", false);
  return request_class;
}

std::vector<std::string> names(const Json& object, const char* name, const char* inner) {
  std::vector<std::string> all;
  if (find(object, name) == nullptr) return all;
  for (const Json& item : array(object, name).GetArray()) {
    if (inner != nullptr && !item.IsObject()) bad(name, "holds something that is not an object");
    all.emplace_back(inner != nullptr ? text(item, inner) : as_text(item, name));
  }
  return all;
}

}  // namespace

Settings parse_settings(const Json& object) {
  Settings settings;
  settings.instances = index_or(object, "Instances", 1);
  settings.instance = index_or(object, "Me", 0);
  settings.zone = index_or(object, "Locality", 0);
  for (const Json& item : array(object, "Services").GetArray()) {
    settings.classes.push_back(parse_class(item));
  }
  if (find(object, "Tenants") != nullptr) {
    for (const Json& item : array(object, "Tenants").GetArray()) {
      if (!item.IsObject()) bad("Tenants", "holds something that is not an object");
      settings.tenants.push_back({number_or(item, "QuotaRps", 0)});
    }
  }
  settings.over_share_worth = number_or(object, "OverShareWorth", 1);
  if (const Json* mode = find(object, "RegistryMode")) {
    settings.list_on_request = parse_mode(as_text(*mode, "RegistryMode"));
  }
  if (const Json* weights = find(object, "Weights")) {
    settings.sizes_listed = parse_weights(as_text(*weights, "Weights"));
  }
  const Json& allowed = fields::object(object, "Allowed");
  settings.probing = bool_or(allowed, "Probing", false);
  settings.cancelling = bool_or(allowed, "Cancel", false);
  settings.parallel_attempts = bool_or(allowed, "ParallelTries", false);
  settings.advise_wait = bool_or(allowed, "RetryAfter", false);
  settings.max_wait_advice = number_or(allowed, "MaxRetryAfter", 0);
  settings.max_attempts = index_or(allowed, "MostTries", 1);
  settings.connect_timeout = number_or(allowed, "ConnectTimeout", 0);
  settings.idle_timeout = number_or(allowed, "ConnIdle", 0);
  settings.streams_per_connection = index_or(allowed, "StreamsPerConn", settings.streams_per_connection);
  const Json& rules = fields::object(object, "Invariants");
  settings.ask_every = number_or(rules, "AskEvery", 0);
  if (find(rules, "StopSendingWithin") != nullptr)
    settings.drain_grace = number_or(rules, "StopSendingWithin", 0);
  settings.cold_share = number_or(rules, "ColdShare", 1);
  settings.warm_up = number_or(rules, "WarmUp", 0);
  settings.fall_multiple = number_or(rules, "FallMultiple", 1);
  settings.fall_span = number_or(rules, "Fall", 0);
  settings.peer_messages = bool_or(allowed, "PeerMessages", false);
  if (find(object, "Costs") != nullptr) {
    settings.probe_price = number_or(fields::object(object, "Costs"), "Probe", 0);
    settings.peer_price = number_or(fields::object(object, "Costs"), "Peer", 0);
  }
  if (find(object, "Report") != nullptr) {
    const Json& report = fields::object(object, "Report");
    if (const Json* source = find(report, "Source")) {
      settings.reports_with_answers = parse_source(as_text(*source, "Source"));
    }
  }
  if (find(object, "Specifics") != nullptr) {
    settings.warm_keys = bool_or(fields::object(object, "Specifics"), "WarmKeys", false);
  }
  if (find(object, "ScoringMix") != nullptr) {
    const Json& mix = fields::object(object, "ScoringMix");
    settings.kept_promises = number_or(mix, "KeptPromises", 0);
    settings.borne_misses = number_or(mix, "BorneMisses", 0);
  }
  return settings;
}

HostSettings parse_host_settings(const Json& object) {
  HostSettings settings;
  settings.classes = names(object, "Services", "Name");
  settings.tenants = names(object, "Tenants", "Name");
  settings.zones = names(object, "Azs", nullptr);
  settings.idle_timeout = number_or(fields::object(object, "Allowed"), "ConnIdle", 0);
  return settings;
}

}  // namespace shorelead
