#include "node/config_checks.h"

#include <algorithm>
#include <vector>

namespace shorelead::node {
namespace {

void check_class(const RequestClass& c, const std::string& name) {
  const auto need = [&name](bool valid, const char* field, const char* cause) {
    if (!valid) fields::bad(field, ("of \"" + name + "\" is " + cause).c_str());
  };
  if (name.empty()) fields::bad("Name", "of a class is empty");
  need(c.deadline > 0, "GiveUp", "not over 0");
  need(c.aim > 0, "Aim", "not over 0");
  need(c.effect != Effect::kKeyed || c.dedup_window > 0, "DedupWindow", "missing or not over 0");
  need(c.dedup_window >= 0, "DedupWindow", "below 0");
  need(c.aim_stretch >= 0, "AimStretch", "below 0");
  need(c.worth >= 0, "Worth", "below 0");
  need(c.late_value >= 0 && c.late_value <= 1, "LateValue", "not from 0 to 1");
}

}  // namespace

// These keys have no safe default, as the right value depends on the deployment. Any other missing key means
// that the feature is not allowed, costs nothing or makes no distinction.
void check_keys(const std::set<std::string>& keys, bool list_on_request) {
  std::vector<std::string> required = {"Instances",
                                       "Me",
                                       "RegistryMode",
                                       "Allowed.Probing",
                                       "Allowed.MostTries",
                                       "Allowed.ConnIdle",
                                       "Allowed.ConnectTimeout",
                                       "Invariants.ColdShare",
                                       "Invariants.WarmUp",
                                       "Invariants.FallMultiple",
                                       "Invariants.Fall"};
  if (list_on_request) required.emplace_back("Invariants.AskEvery");
  for (const std::string& key : required) {
    if (keys.count("settings." + key) == 0) fields::bad(key.c_str(), "is missing");
  }
}

// Rejects values of the right type that no deployment can run with.
void check_values(const Settings& settings, const HostSettings& host) {
  const auto need = [](bool valid, const char* field, const char* cause) {
    if (!valid) fields::bad(field, cause);
  };
  need(!settings.classes.empty(), "Services", "names no class");
  for (std::size_t n = 0; n < settings.classes.size(); ++n) {
    check_class(settings.classes[n], host.classes[n]);
    need(std::count(host.classes.begin(), host.classes.end(), host.classes[n]) == 1, "Name",
         ("\"" + host.classes[n] + "\" stands twice").c_str());
  }
  for (const Tenant& tenant : settings.tenants) need(tenant.quota_rps >= 0, "QuotaRps", "is below 0");
  const auto zones = static_cast<int>(host.zones.size());
  need(zones == 0 || settings.zone < zones, "Locality", "is not the number of a zone in Azs");
  need(settings.instances > 0, "Instances", "is not over 0");
  need(settings.max_attempts > 0, "MostTries", "is not over 0");
  need(settings.streams_per_connection > 0, "StreamsPerConn", "is not over 0");
  need(settings.connect_timeout > 0, "ConnectTimeout", "is not over 0");
  need(settings.idle_timeout >= 0, "ConnIdle", "is below 0");
  need(settings.max_wait_advice >= 0, "MaxRetryAfter", "is below 0");
  need(settings.ask_every >= 0, "AskEvery", "is below 0");
  need(settings.drain_grace.value_or(0) >= 0, "StopSendingWithin", "is below 0");
  need(settings.cold_share >= 0 && settings.cold_share <= 1, "ColdShare", "is not from 0 to 1");
  need(settings.warm_up >= 0, "WarmUp", "is below 0");
  need(settings.fall_multiple >= 0, "FallMultiple", "is below 0");
  need(settings.fall_span > 0 || (settings.warm_up == 0 && settings.fall_span == 0), "Fall", "is not over 0");
  need(settings.over_share_worth >= 0, "OverShareWorth", "is below 0");
  need(settings.probe_price >= 0, "Probe", "is below 0");
  need(settings.peer_price >= 0, "Peer", "is below 0");
  need(settings.kept_promises >= 0, "KeptPromises", "is below 0");
  need(settings.borne_misses >= 0 && settings.borne_misses <= 1, "BorneMisses", "is not from 0 to 1");
}

}  // namespace shorelead::node
