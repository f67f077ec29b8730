// What clients ask: classes, the schedule, habits, tenants and baskets.
#include <filesystem>

#include "lab/experiment_parts.h"

namespace shorelead::lab {

ClassSpec read_class(Reader& in) {
  static const std::array<std::string, 3> kEffects{"safe", "keyed", "unsafe"};
  static const std::array<std::string, 3> kGroups{"all", "zone", "cell"};
  static const std::array<std::string, 4> kShapes{"constant", "exponential", "lognormal", "pareto"};
  ClassSpec spec;
  spec.rules.name = in.text("name");
  if (spec.rules.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") != std::string::npos) {
    in.bad("name", "a class is named by a-z, 0-9, - and _: it stands in the path");
  }
  spec.rules.effect = static_cast<Effect>(in.word("effect", kEffects));
  if (in.has("group")) spec.rules.group = static_cast<Group>(in.word("group", kGroups));
  in.time("window", spec.rules.window, false);
  if (spec.rules.effect != Effect::kKeyed && (in.has("group") || in.has("window"))) {
    in.bad(in.has("group") ? "group" : "window", "only keyed requests have a group and a window");
  }
  if (spec.rules.effect == Effect::kKeyed && spec.rules.window <= 0) {
    in.bad_here("a keyed class needs \"window\": how long boxes know its keys");
  }
  in.need("aim");
  in.need("give_up");
  in.time("aim", spec.rules.aim, false);
  in.time("give_up", spec.rules.give_up, false);
  if (spec.rules.aim > spec.rules.give_up) in.bad("aim", "\"aim\" is later than \"give_up\"");
  in.number("worth", spec.rules.worth, 0, kMost);
  in.need("work");
  in.time("work", spec.work.mean, false);
  if (in.has("dist")) spec.work.shape = static_cast<Shape>(in.word("dist", kShapes));
  in.number("cv", spec.work.cv, 0.001, 100);
  in.number("alpha", spec.work.alpha, 0.1, 10);
  in.number("bound", spec.work.bound, 1.001, 1e6);
  if (in.has("cv") && spec.work.shape != Shape::kLognormal)
    in.bad("cv", "only a lognormal \"dist\" has a \"cv\"");
  for (const char* key : {"alpha", "bound"}) {
    if (in.has(key) && spec.work.shape != Shape::kPareto) {
      in.bad(key, "only a pareto \"dist\" has \"" + std::string(key) + "\"");
    }
  }
  in.number("share", spec.share, 0, kMost);
  in.whole("body", spec.body, 0, 60000);
  in.finish();
  return spec;
}

void read_load(Reader& in, LoadPlan& load, const std::string& file) {
  static const std::array<std::string, 5> kArrivals{"poisson", "constant", "bursts", "ramp", "trace"};
  if (in.has("arrivals")) load.arrivals = static_cast<Arrivals>(in.word("arrivals", kArrivals));
  in.number("rate", load.rate, 0.01, 1e6);
  in.need("for");
  in.time("for", load.span, false);
  in.time("burst_every", load.burst_every, false);
  in.time("burst_length", load.burst_length, false);
  if (load.burst_length > load.burst_every)
    in.bad("burst_length", "a burst is longer than the time between two");
  in.number("ramp_to", load.ramp_to, 0, 1000);
  if (load.arrivals == Arrivals::kTrace) {
    load.trace = in.text("trace");
    const std::filesystem::path path(load.trace);
    if (path.is_relative()) load.trace = (std::filesystem::path(file).parent_path() / path).string();
  } else if (in.has("trace")) {
    in.bad("trace", "\"trace\" is read only where arrivals = \"trace\"");
  }
  for (Reader& step : in.tables("step")) {
    Step next;
    step.need("at");
    step.time("at", next.at);
    step.need("factor");
    step.number("factor", next.factor, 0, 10000);
    if (!load.steps.empty() && next.at < load.steps.back().at) step.bad("at", "earlier than the step before");
    step.finish();
    load.steps.push_back(next);
  }
  in.finish();
}

namespace {

const std::array<std::string, 15>& bad_kinds() {
  static const std::array<std::string, 15> kKinds{
      "noise",       "endless_head", "bad_length",    "negative_length", "huge_length",
      "big_body",    "no_class",     "bad_deadline",  "no_id",           "half",
      "two_lengths", "silent",       "both_framings", "bare_lf",         "space_in_name"};
  return kKinds;
}

}  // namespace

void read_clients(Reader& in, ClientsSpec& clients) {
  in.whole("retries", clients.retries, 0, 100);
  in.time("backoff", clients.backoff);
  in.share("honour", clients.honour);
  in.share("leave", clients.leave);
  in.share("drop", clients.drop);
  in.share("until_kill", clients.until_kill);
  in.share("first_moments", clients.first_moments);
  in.text("tenant_header", clients.tenant_header);
  in.text("basket_header", clients.basket_header);
  in.whole("baskets", clients.baskets, 0, 1000000);
  in.number("skew", clients.skew, 0, 3);
  if (in.has("skew") && clients.baskets == 0) in.bad("skew", "\"skew\" says nothing without \"baskets\"");
  in.whole("hot", clients.hot, 0, 200);
  in.share("hot_share", clients.hot_share);
  in.flag("at_random", clients.at_random);
  in.number("bad_per_second", clients.bad_per_second, 0, 10000);
  if (in.has("bad_kinds")) clients.bad_kinds = in.texts("bad_kinds");
  for (const std::string& kind : clients.bad_kinds) {
    const auto& all = bad_kinds();
    if (std::find(all.begin(), all.end(), kind) == all.end()) {
      in.bad("bad_kinds", "\"" + kind + "\" is none of " + list_of(all) + did_you_mean(kind, all));
    }
  }
  if (clients.bad_kinds.empty()) clients.bad_kinds.assign(bad_kinds().begin(), bad_kinds().end());
  in.finish();
}

std::vector<TenantSpec> read_tenants(Reader& in) {
  std::vector<TenantSpec> tenants;
  double shares = 0;
  for (Reader& item : in.tables("tenant")) {
    TenantSpec tenant;
    tenant.name = item.text("name");
    item.number("share", tenant.share, 0, kMost);
    for (const TenantSpec& other : tenants) {
      if (other.name == tenant.name) item.bad("name", "two tenants are called \"" + tenant.name + "\"");
    }
    item.finish();
    shares += tenant.share;
    tenants.push_back(std::move(tenant));
  }
  if (!tenants.empty() && shares <= 0) in.bad_here("no tenant has a \"share\" over 0");
  return tenants;
}

}  // namespace shorelead::lab
