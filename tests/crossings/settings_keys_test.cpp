// A file of settings that is wrong, by any one key of it: refused at the start with the key's name, and at a
// reload nothing is taken of it.
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

using Keys = std::vector<std::string>;

// Every member of an object, also those within members and items, as a path of names and numbers.
void all_keys(const rapidjson::Value& value, const Keys& path, std::vector<Keys>& found) {
  const auto within = [&](const std::string& name, const rapidjson::Value& inner, bool itself) {
    Keys here = path;
    here.push_back(name);
    if (itself) found.push_back(here);
    all_keys(inner, here, found);
  };
  if (value.IsObject()) {
    for (const auto& member : value.GetObject()) within(member.name.GetString(), member.value, true);
  } else if (value.IsArray()) {
    for (rapidjson::SizeType n = 0; n < value.Size(); ++n) within(std::to_string(n), value[n], false);
  }
}

rapidjson::Value& holder(rapidjson::Document& document, const Keys& path) {
  rapidjson::Value* at = &document;
  for (std::size_t n = 0; n + 1 < path.size(); ++n) {
    at = at->IsArray() ? &(*at)[static_cast<rapidjson::SizeType>(std::stoi(path[n]))]
                       : &(*at)[path[n].c_str()];
  }
  return *at;
}

std::string written(const rapidjson::Document& document) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  document.Accept(writer);
  return text.GetString();
}

rapidjson::Document read(const std::string& text) {
  rapidjson::Document document;
  document.Parse(text.c_str());
  return document;
}

// How a file is refused; empty: it is taken.
std::string refusal(const std::string& text, const ConfigKeys* in_force) {
  try {
    const Config fresh = parse_config(text, {});
    if (in_force != nullptr) fresh.keys.require_all_of(*in_force);
    return {};
  } catch (const FieldError& error) {
    return error.what();
  }
}

// Only keyed classes need them.
bool of_some_classes(const std::string& key) { return key == "Group" || key == "DedupWindow"; }

// Absent, these say that something is not there, not allowed, costs nothing or tells nothing apart; or the
// node has no use for them.
bool may_be_absent(const std::string& key, const Made& made) {
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
  if (key == "AskEvery") return !made.ask;
  if (of_some_classes(key)) return true;
  return kAlways.count(key) > 0;
}

bool unread(const std::string& key) {
  return key == "Share" || key == "Fields" || key == "StopSendingWithin";
}

RC_GTEST_PROP(SettingsKeys, OneThatIsMissingIsNamedAndAReloadTakesNothing, ()) {
  Chance chance(*rc::gen::arbitrary<std::uint32_t>());
  Made whole = made(chance);
  while (whole.classes.size() > 4) whole.classes.pop_back();
  const Config in_force = parse_config(whole.text(), {});
  RC_ASSERT(refusal(whole.text(), &in_force.keys).empty());
  std::vector<Keys> all;
  all_keys(read(whole.text()), {}, all);
  for (const Keys& path : all) {
    rapidjson::Document document = read(whole.text());
    holder(document, path).RemoveMember(path.back().c_str());
    const std::string text = written(document);
    const std::string& key = path.back();
    const std::string at_start = refusal(text, nullptr);
    const bool named = at_start.find(key) != std::string::npos;
    const bool keyed = of_some_classes(key) && holder(document, path)["Effect"] == "token";
    if (keyed && !named) RC_FAIL("a keyed class without " + key + " is taken: " + text);
    if (!named && !(at_start.empty() && may_be_absent(key, whole)))
      RC_FAIL("without " + key + " the start says \"" + at_start + "\": " + text);
    if (of_some_classes(key) || path.front() == "known") continue;
    if (refusal(text, &in_force.keys).find(key) == std::string::npos)
      RC_FAIL("without " + key + " a reload takes " + text);
  }
}

// Other classes, tenants and zones, more of them or fewer, are no broken file.
RC_GTEST_PROP(SettingsKeys, AnyOtherWholeFileIsTakenAtAReload, ()) {
  Chance chance(*rc::gen::arbitrary<std::uint32_t>());
  const Config in_force = parse_config(made(chance).text(), {});
  const std::string next = made(chance).text();
  if (!refusal(next, &in_force.keys).empty()) RC_FAIL(refusal(next, &in_force.keys) + ": " + next);
}

// Of another kind, or out of its range.
RC_GTEST_PROP(SettingsKeys, OneThatIsSpoiltIsNamed, ()) {
  Chance chance(*rc::gen::arbitrary<std::uint32_t>());
  Made whole = made(chance);
  while (whole.classes.size() > 4) whole.classes.pop_back();
  std::vector<Keys> all;
  all_keys(read(whole.text()), {}, all);
  for (const Keys& path : all) {
    if (unread(path.back()) || path.back() == "cores" || path.back() == "memory_mb") continue;
    rapidjson::Document document = read(whole.text());
    rapidjson::Value& value = holder(document, path)[path.back().c_str()];
    if (value.IsNumber()) {
      chance.yes() ? value.SetInt(-7) : value.SetString("much");
    } else if (value.IsString()) {
      chance.yes() && path.size() > 2 && path.back() != "Name" ? value.SetString("sideways")
                                                               : value.SetInt(7);
    } else {
      value.SetInt(7);
    }
    const std::string text = written(document);
    if (refusal(text, nullptr).find(path.back()) != std::string::npos) continue;
    RC_FAIL("spoilt " + path.back() + ", and the answer is \"" + refusal(text, nullptr) + "\": " + text);
  }
}

}  // namespace
}  // namespace shorelead::node
