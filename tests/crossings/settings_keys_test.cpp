// Settings with one missing or bad key: rejected at the start with the key's name, and at a reload without
// any change.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <set>

#include "crossings/settings_random.h"
#include "node/config.h"

namespace shorelead::node {
namespace {

using KeyPath = std::vector<std::string>;

// Collects the path of every member, recursively; a path has member names and array indices.
void all_keys(const rapidjson::Value& value, const KeyPath& path, std::vector<KeyPath>& found) {
  const auto visit = [&](const std::string& name, const rapidjson::Value& inner, bool itself) {
    KeyPath here = path;
    here.push_back(name);
    if (itself) found.push_back(here);
    all_keys(inner, here, found);
  };
  if (value.IsObject()) {
    for (const auto& member : value.GetObject()) visit(member.name.GetString(), member.value, true);
  } else if (value.IsArray()) {
    for (rapidjson::SizeType n = 0; n < value.Size(); ++n) visit(std::to_string(n), value[n], false);
  }
}

rapidjson::Value& parent_of(rapidjson::Document& document, const KeyPath& path) {
  rapidjson::Value* at = &document;
  for (std::size_t n = 0; n + 1 < path.size(); ++n) {
    at = at->IsArray() ? &(*at)[static_cast<rapidjson::SizeType>(std::stoi(path[n]))]
                       : &(*at)[path[n].c_str()];
  }
  return *at;
}

std::string to_json(const rapidjson::Document& document) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  document.Accept(writer);
  return text.GetString();
}

rapidjson::Document parse(const std::string& text) {
  rapidjson::Document document;
  document.Parse(text.c_str());
  return document;
}

// Returns the error for a file; empty if it is accepted.
std::string rejection(const std::string& text, const ConfigKeys* in_force) {
  try {
    const Config fresh = parse_config(text, {});
    if (in_force != nullptr) fresh.keys.require_all_of(*in_force);
    return {};
  } catch (const FieldError& error) {
    return error.what();
  }
}

// Only keyed classes require these keys.
bool depends_on_effect(const std::string& key) { return key == "Group" || key == "DedupWindow"; }

// Keys that may be missing: the feature is then absent, not allowed, free of cost or makes no distinction, or
// the node does not use the key.
bool may_be_absent(const std::string& key, const RandomSettings& settings) {
  static const std::set<std::string> kAlways = {"cores",
                                                "memory_mb",
                                                "limits",
                                                "sockets",
                                                "known",
                                                "whole",
                                                "Azs",
                                                "Tenants",
                                                "QuotaRps",
                                                "Share",
                                                "Costs",
                                                "Probe",
                                                "Peer",
                                                "Report",
                                                "Source",
                                                "Fields",
                                                "Specifics",
                                                "WarmKeys",
                                                "Weights",
                                                "OverShareWorth",
                                                "Locality",
                                                "Worth",
                                                "LateValue",
                                                "Streamed",
                                                "Cancel",
                                                "RetryAfter",
                                                "ParallelTries",
                                                "MaxRetryAfter",
                                                "PeerMessages",
                                                "StreamsPerConn",
                                                "StopSendingWithin"};
  if (key == "AskEvery") return !settings.list_on_request;
  if (depends_on_effect(key)) return true;
  return kAlways.count(key) > 0;
}

bool is_not_checked(const std::string& key) {
  return key == "Share" || key == "Fields" || key == "StopSendingWithin";
}

RC_GTEST_PROP(SettingsKeys, AMissingKeyIsNamedAndTheReloadRejected, ()) {
  RandomSource random(*rc::gen::arbitrary<std::uint32_t>());
  RandomSettings settings = random_settings(random);
  while (settings.classes.size() > 4) settings.classes.pop_back();
  const Config in_force = parse_config(settings.text(), {});
  RC_ASSERT(rejection(settings.text(), &in_force.keys).empty());
  std::vector<KeyPath> all;
  all_keys(parse(settings.text()), {}, all);
  for (const KeyPath& path : all) {
    rapidjson::Document document = parse(settings.text());
    parent_of(document, path).RemoveMember(path.back().c_str());
    const std::string text = to_json(document);
    const std::string& key = path.back();
    const std::string at_start = rejection(text, nullptr);
    const bool named = at_start.find(key) != std::string::npos;
    const bool keyed = depends_on_effect(key) && parent_of(document, path)["Effect"] == "token";
    if (keyed && !named) RC_FAIL("a keyed class without " + key + " is accepted: " + text);
    if (!named && !(at_start.empty() && may_be_absent(key, settings)))
      RC_FAIL("without " + key + " the start says \"" + at_start + "\": " + text);
    if (depends_on_effect(key) || path.front() == "known") continue;
    if (rejection(text, &in_force.keys).find(key) == std::string::npos)
      RC_FAIL("without " + key + " a reload accepts " + text);
  }
}

// A reload may change the classes, tenants and zones and their number.
RC_GTEST_PROP(SettingsKeys, AReloadAcceptsAnyOtherValidFile, ()) {
  RandomSource random(*rc::gen::arbitrary<std::uint32_t>());
  const Config in_force = parse_config(random_settings(random).text(), {});
  const std::string next = random_settings(random).text();
  if (!rejection(next, &in_force.keys).empty()) RC_FAIL(rejection(next, &in_force.keys) + ": " + next);
}

// A value of another type or out of range.
RC_GTEST_PROP(SettingsKeys, AKeyWithABadValueIsNamed, ()) {
  RandomSource random(*rc::gen::arbitrary<std::uint32_t>());
  RandomSettings settings = random_settings(random);
  while (settings.classes.size() > 4) settings.classes.pop_back();
  std::vector<KeyPath> all;
  all_keys(parse(settings.text()), {}, all);
  for (const KeyPath& path : all) {
    if (is_not_checked(path.back()) || path.back() == "cores" || path.back() == "memory_mb") continue;
    rapidjson::Document document = parse(settings.text());
    rapidjson::Value& value = parent_of(document, path)[path.back().c_str()];
    if (value.IsNumber()) {
      random.chance() ? value.SetInt(-7) : value.SetString("much");
    } else if (value.IsString()) {
      random.chance() && path.size() > 2 && path.back() != "Name" ? value.SetString("sideways")
                                                                  : value.SetInt(7);
    } else {
      value.SetInt(7);
    }
    const std::string text = to_json(document);
    if (rejection(text, nullptr).find(path.back()) != std::string::npos) continue;
    RC_FAIL("bad value of " + path.back() + ", and the error is \"" + rejection(text, nullptr) +
            "\": " + text);
  }
}

}  // namespace
}  // namespace shorelead::node
