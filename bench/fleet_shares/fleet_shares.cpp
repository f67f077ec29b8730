// What a share costs on a request's way, the reading of the clock that sees a sleeping machine included, with
// its allocations; and what a division, a whole plan and its text cost by the number of members, with the
// plan's bytes.
#include <benchmark/benchmark.h>
#include <time.h>

#include <cstdlib>
#include <new>

#include "base/random.h"
#include "fleet/division.h"
#include "fleet/share.h"

namespace {

std::size_t allocations = 0;

}  // namespace

// Not inlined: else the compiler sees memory of malloc's freed as new's, and warns.
[[gnu::noinline]] void* operator new(std::size_t size) {
  ++allocations;
  if (void* const block = std::malloc(size)) return block;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* block) noexcept { std::free(block); }
[[gnu::noinline]] void operator delete(void* block, std::size_t) noexcept { std::free(block); }

namespace {

using namespace shorelead;
using namespace shorelead::fleet;

constexpr Millis kForever = 1e15;

Millis now() {
  timespec t{};
  clock_gettime(CLOCK_BOOTTIME, &t);
  return 1e3 * static_cast<double>(t.tv_sec) + 1e-6 * static_cast<double>(t.tv_nsec);
}

// Runs `step`, which says whether it was given one; counts allocations and how often.
template <typename Step>
void loop(benchmark::State& state, Step step) {
  for (int n = 0; n < 200000; ++n) step();  // rings have grown
  const std::size_t before = allocations;
  std::size_t given = 0;
  for (auto _ : state) given += step();
  const double all = static_cast<double>(std::max<std::size_t>(1, state.iterations()));
  state.counters["allocations"] = static_cast<double>(allocations - before) / all;
  state.counters["given"] = static_cast<double>(given) / all;
}

void clock_only(benchmark::State& state) {
  loop(state, [] {
    benchmark::DoNotOptimize(now());
    return true;
  });
}
BENCHMARK(clock_only);

void rate_spend(benchmark::State& state) {
  RateShare share({1000, 10});
  share.set({1e6 * static_cast<double>(state.range(0)), 1000}, now(), kForever);
  loop(state, [&] { return share.spend(now(), kForever) == Spent::kYes; });
}
BENCHMARK(rate_spend)->Arg(1)->Arg(1000);  // millions a second: some are refused, none is

void at_once_spend_and_end(benchmark::State& state) {
  AtOnceShare share(2);
  share.set(100);
  loop(state, [&] {
    const bool given = share.spend(now(), kForever) == Spent::kYes;
    if (given) share.end();
    return given;
  });
}
BENCHMARK(at_once_spend_and_end);

// A window of 1 ms holds here about as many requests as one of seconds does under real load.
void attempt_taken_and_spend(benchmark::State& state) {
  AttemptShare share(2, 0.1, 1);
  share.set(100, now());
  loop(state, [&] {
    const Millis t = now();
    share.taken(t);
    return share.spend(t, kForever) == Spent::kYes;
  });
}
BENCHMARK(attempt_taken_and_spend);

PlannerInput fleet_of(std::size_t members) {
  PlannerInput in;
  Random random(7);
  in.sharing.most_processes = static_cast<int>(members);
  in.may_raise = true;
  for (const char* name : {"tenants.gold", "tenants.bronze", "uploads", "basket", "retries"}) {
    Budget b;
    b.name = name;
    b.whole = 100.0 * static_cast<double>(members);
    b.burst = 10.0 * static_cast<double>(members);
    b.kind = static_cast<BudgetKind>(in.budgets.size() % 3);
    b.window = 10000;
    in.budgets.push_back(b);
  }
  for (std::size_t n = 0; n < members; ++n) {
    Record r;
    r.id = {std::string("screen-").append(std::to_string(n)), random.next()};
    for (const Budget& b : in.budgets) r.demand[b.name] = r.spent[b.name] = 200 * random.unit();
    in.records.push_back(r);
  }
  return in;
}

void division(benchmark::State& state) {
  const PlannerInput in = fleet_of(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    for (const Budget& b : in.budgets) benchmark::DoNotOptimize(divide(b, in.sharing, in.records, 1));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(division)->Arg(20)->Arg(300)->Arg(1000)->Complexity()->Unit(benchmark::kMicrosecond);

// The first plan and one over it, in which many parts have moved.
void plan_after_plan(benchmark::State& state) {
  PlannerInput in = fleet_of(static_cast<std::size_t>(state.range(0)));
  in.plan = next_plan(in, 1);
  for (Record& r : in.records) {
    r.in_force = in.plan->shares[r.id.text()];
    for (auto& [budget, demand] : r.demand) demand = 200 - demand;
  }
  std::size_t written = 0;
  for (auto _ : state) written += next_plan(in, 2).has_value();
  state.counters["written"] = static_cast<double>(written) / static_cast<double>(state.iterations());
  state.SetComplexityN(state.range(0));
}
BENCHMARK(plan_after_plan)->Arg(20)->Arg(300)->Arg(1000)->Complexity()->Unit(benchmark::kMicrosecond);

// What the planner reads each half second: all records, as their processes write them.
void records_text_and_back(benchmark::State& state) {
  PlannerInput in = fleet_of(static_cast<std::size_t>(state.range(0)));
  in.plan = next_plan(in, 1);
  for (Record& r : in.records) r.in_force = in.plan->shares[r.id.text()];
  std::vector<std::string> texts;
  std::size_t bytes = 0;
  for (const Record& r : in.records) bytes += texts.emplace_back(text_of(r)).size();
  std::string cause;
  for (auto _ : state) {
    for (const std::string& text : texts) benchmark::DoNotOptimize(parse_record(text, cause));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
  state.SetComplexityN(state.range(0));
}
BENCHMARK(records_text_and_back)->Arg(20)->Arg(300)->Arg(1000)->Complexity()->Unit(benchmark::kMicrosecond);

void plan_text_and_back(benchmark::State& state) {
  PlannerInput in = fleet_of(static_cast<std::size_t>(state.range(0)));
  Plan plan = *next_plan(in, 1);
  const auto slots = static_cast<std::size_t>(state.range(1));
  Random random(7);
  for (std::size_t n = 0; n < slots; ++n) {
    const std::string backend =
        std::string("box-").append(std::to_string(random.below(200))).append(".example.org");
    plan.affinity["basket"].slots.push_back({backend, true, "", 1});
  }
  std::string cause;
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string text = text_of(plan);
    bytes = text.size();
    benchmark::DoNotOptimize(parse_plan(text, cause));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(plan_text_and_back)
    ->Args({20, 0})
    ->Args({300, 0})
    ->Args({1000, 0})
    ->Args({20, 4096})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
