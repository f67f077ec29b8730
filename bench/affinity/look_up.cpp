// What affinity costs on a request's path: the rule, the key's hash and its seat, with allocations counted;
// and what a planner pays for a map.
#include <benchmark/benchmark.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <new>
#include <string>

#include "affinity/bindings.h"
#include "affinity/shaper.h"

namespace {
std::atomic<std::uint64_t> allocations{0};
}

// Not to be drawn into their callers, or the compiler takes them for a mismatched pair.
[[gnu::noinline]] void* operator new(std::size_t size) {
  ++allocations;
  if (void* const at = std::malloc(size)) return at;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* at) noexcept { std::free(at); }
[[gnu::noinline]] void operator delete(void* at, std::size_t) noexcept { std::free(at); }

namespace {

using namespace shorelead;
using namespace shorelead::affinity;

Rule rule_of(const std::string& name, Condition when, KeySource key, std::size_t slots) {
  Rule rule;
  rule.name = name;
  rule.when = std::move(when);
  rule.key = std::move(key);
  rule.slots = slots;
  rule.must = true;
  return rule;
}

// Three rules, the last one taken: class and not a test's header, the key in a header.
std::vector<Rule> rules_of(std::size_t slots) {
  using From = KeySource::From;
  return {rule_of("uploads", all({is(Subject::kRoute, "upload"), is(Subject::kMethod, "PUT")}),
                  {From::kPart, "", 2}, slots),
          rule_of("gold", all({is(Subject::kPlan, "gold"), is(Subject::kClass, "report")}),
                  {From::kTenant, "", 0}, slots),
          rule_of("baskets", all({is(Subject::kClass, "check"), negated(field_is("x-test", "yes"))}),
                  {From::kField, "x-basket", 0}, slots)};
}

fleet::SlotMap map_of(std::size_t slots, int backends) {
  fleet::SlotMap map;
  for (std::size_t n = 0; n < slots; ++n) {
    map.slots.push_back({std::to_string(n * 7919 % static_cast<std::size_t>(backends)), true, "", 1});
  }
  return map;
}

void request_path(benchmark::State& state) {
  const auto slots = static_cast<std::size_t>(state.range(0));
  const std::vector<Rule> rules = rules_of(slots);
  const SlotOwners owners(map_of(slots, 50), [](const std::string& name) { return std::stoi(name); });
  std::vector<std::string> baskets;
  for (int n = 0; n < 4096; ++n) baskets.push_back("basket-" + std::to_string(1000000 + n));
  // As a parsed head has them: few fields, in a row.
  std::array<std::pair<std::string_view, std::string_view>, 6> head = {{{"host", "shop.example.org"},
                                                                        {"accept", "*/*"},
                                                                        {"user-agent", "bench"},
                                                                        {"x-basket", ""},
                                                                        {"content-length", "0"},
                                                                        {"connection", "keep-alive"}}};
  const std::function<std::string_view(std::string_view)> field = [&head](std::string_view name) {
    for (const auto& [one, value] : head) {
      if (one == name) return value;
    }
    return std::string_view();
  };
  std::size_t n = 0;
  const std::uint64_t before = allocations;
  for (auto _ : state) {
    head[3].second = baskets[n++ % baskets.size()];
    const Request request = {"shop", "check", "acme", "gold", "GET", "/baskets/7", "/baskets/{id}", &field};
    const auto found = find(rules, request);
    RoutingQuery query{&rules[found->rule],   found->keyed,       owners.any(), true,
                       owners.at(found->key), UnitStatus::kReady, -1,           0};
    benchmark::DoNotOptimize(choose(query));
  }
  state.counters["allocations"] =
      static_cast<double>(allocations - before) / static_cast<double>(state.iterations());
}

void seat_alone(benchmark::State& state) {
  const auto slots = static_cast<std::size_t>(state.range(0));
  const SlotOwners owners(map_of(slots, 50), [](const std::string& name) { return std::stoi(name); });
  std::uint64_t key = 1;
  const std::uint64_t before = allocations;
  for (auto _ : state) {
    key = key * 6364136223846793005ULL + 1442695040888963407ULL;
    benchmark::DoNotOptimize(owners.at(key));
  }
  state.counters["allocations"] =
      static_cast<double>(allocations - before) / static_cast<double>(state.iterations());
}

// As a node has it: asked with how the backend stands, given a place, and over; and what a snapshot costs.
fleet::Snapshot snapshot_of(const std::vector<Rule>& rules, std::size_t slots) {
  fleet::Snapshot snapshot;
  snapshot.incarnation = 1;
  for (const Rule& rule : rules) snapshot.affinity[map_name(rule)] = map_of(slots, 50);
  return snapshot;
}

void place(benchmark::State& state) {
  const auto slots = static_cast<std::size_t>(state.range(0));
  const std::vector<Rule> rules = rules_of(slots);
  Bindings bindings(rules, 1000);
  bindings.apply_snapshot(snapshot_of(rules, slots), 0);
  const Bindings::StatusLookup lookup = [](Scope, const std::string&) {
    return std::optional(UnitStatus::kReady);
  };
  std::uint64_t key = 1;
  bindings.release(bindings.arrive(1, {2, true, key}, true, 1000, 0, lookup).place);
  const std::uint64_t before = allocations;
  for (auto _ : state) {
    key = key * 6364136223846793005ULL + 1442695040888963407ULL;
    const Bindings::RoutingResult result = bindings.arrive(1, {2, true, key}, true, 1000, 0, lookup);
    benchmark::DoNotOptimize(bindings.may_send(result.place, true));
    bindings.release(result.place);
  }
  state.counters["allocations"] =
      static_cast<double>(allocations - before) / static_cast<double>(state.iterations());
}

void taken_up(benchmark::State& state) {
  const auto slots = static_cast<std::size_t>(state.range(0));
  const std::vector<Rule> rules = {rules_of(slots)[2]};
  Bindings bindings(rules, 1000);
  const fleet::Snapshot snapshot = snapshot_of(rules, slots);
  for (auto _ : state) bindings.apply_snapshot(snapshot, 0);
}

std::vector<BackendStatus> backends_of(std::int64_t count) {
  std::vector<BackendStatus> backends;
  for (std::int64_t n = 0; n < count; ++n)
    backends.push_back({"box-" + std::to_string(n), "", "", 1, 1, false});
  return backends;
}

// A planner's round: made anew, in calm, and with one backend gone.
void planner(benchmark::State& state) {
  const auto slots = static_cast<std::size_t>(state.range(0));
  const std::int64_t kind = state.range(2);
  std::vector<BackendStatus> backends = backends_of(state.range(1));
  const std::vector<fleet::Record> records(20);
  const std::vector<Rule> rules = {rules_of(slots)[2]};
  Shaper shaper(rules, {});
  shaper.set_backends(backends);
  fleet::Plan plan;
  for (int n = 0; n < 2; ++n) {
    fleet::Plan next = plan;
    ++next.epoch;
    shaper.shape(next, n == 0 ? nullptr : &plan, records, 0);
    plan = next;
  }
  if (kind == 2) backends.pop_back();
  shaper.set_backends(backends);
  for (auto _ : state) {
    fleet::Plan next;
    next.epoch = plan.epoch + 1;
    shaper.shape(next, kind == 0 ? nullptr : &plan, records, 0);
    benchmark::DoNotOptimize(next);
  }
  state.SetLabel(kind == 0 ? "anew" : kind == 1 ? "calm" : "one box gone");
}

BENCHMARK(request_path)->Arg(1024)->Arg(65536);
BENCHMARK(place)->Arg(1024)->Arg(65536);
BENCHMARK(taken_up)->Arg(1024)->Arg(65536);
BENCHMARK(seat_alone)->Arg(1024)->Arg(65536);
BENCHMARK(planner)
    ->Unit(benchmark::kMicrosecond)
    ->ArgsProduct({{1024}, {50}, {0, 1, 2}})
    ->ArgsProduct({{4096, 16384}, {1000}, {0, 1, 2}});

}  // namespace
