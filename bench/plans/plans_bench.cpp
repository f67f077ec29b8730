// What a request costs: its tenant's plan, its coin, the decision; in calm, in a shortage, and while a
// cut-off has just moved over a rank. Allocations are counted; there is no lock to count.
#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>
#include <string>

#include "plans/admission.h"
#include "plans/cutoff.h"
#include "plans/level.h"
#include "plans/stable_sample.h"

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
using namespace shorelead::plans;

struct Clients {
  std::vector<std::string> tenants, keys;
  Clients() {
    for (int n = 0; n < 64; ++n) {
      tenants.emplace_back("tenant-").append(std::to_string(n));
      keys.emplace_back("user-00001").append(std::to_string(n * 7919));
    }
  }
};

// Four plans of sixteen tenants and four classes: sixteen ranks.
Order order_of(const Clients& clients) {
  std::vector<PlanSpec> plans;
  for (int n = 0; n < 4; ++n) {
    plans.push_back({clients.tenants[static_cast<std::size_t>(n)], n + 1, n == 3 ? 0.1 : 0, {}, n == 3});
    for (int t = n; t < 64; t += 4)
      plans.back().tenants.push_back(clients.tenants[static_cast<std::size_t>(t)]);
  }
  return Order(plans, {1, 2, 3, 4});
}

void count(benchmark::State& state, std::uint64_t before) {
  state.counters["allocations"] =
      static_cast<double>(allocations - before) / static_cast<double>(state.iterations());
}

void coin(benchmark::State& state) {
  const Clients clients;
  std::size_t n = 0;
  const std::uint64_t before = allocations;
  for (auto _ : state) {
    ++n;
    benchmark::DoNotOptimize(stable_sample(clients.tenants[n % 64], clients.keys[n % 61], 1.7e12));
  }
  count(state, before);
}

// range(0): the cut-off's level in thousandths; range(1): it moves by a rank and back each so many requests.
void request(benchmark::State& state) {
  const Clients clients;
  const Order order = order_of(clients);
  Admission admission(order, {});
  const fleet::CutOff cuts[] = {cut_at(static_cast<double>(state.range(0)) / 1000, order.ranks()),
                                cut_at(static_cast<double>(state.range(0)) / 1000 - 1, order.ranks())};
  std::size_t n = 0;
  const auto moves = static_cast<std::size_t>(state.range(1));
  const std::uint64_t before = allocations;
  for (auto _ : state) {
    ++n;
    const std::string& tenant = clients.tenants[n % 64];
    const int plan = order.plan_of(tenant);
    const double c = stable_sample(tenant, clients.keys[n % 61], 1.7e12);
    const fleet::CutOff& cut = cuts[moves ? n / moves % 2 : 0];
    benchmark::DoNotOptimize(
        admission.decide(cut, plan, static_cast<int>(n % 5 % 4), c, static_cast<double>(n) * 0.1));
  }
  count(state, before);
}

// The planner's look: so many records of sixteen ranks.
void look(benchmark::State& state) {
  std::vector<fleet::Record> records(static_cast<std::size_t>(state.range(0)));
  for (std::size_t n = 0; n < records.size(); ++n) {
    records[n].zone.push_back(static_cast<char>('a' + n % 3));
    for (int rank = 0; rank < 16; ++rank)
      records[n].ranks[rank] = {10.0 + static_cast<double>(n % 7), 9, 6, 1, 3};
    records[n].room = 0.01 * static_cast<double>(n % 5);
  }
  CutOffShaper shaper(16, {}, 1);
  fleet::Plan standing;
  standing.epoch = 1;
  fleet::Plan next = standing;
  Millis now = 0;
  for (auto _ : state) {
    shaper.shape(next, &standing, records, now += 500);
    benchmark::DoNotOptimize(next.cut_off);
  }
  state.SetComplexityN(state.range(0));
}

BENCHMARK(look)->Arg(20)->Arg(300)->Arg(1000)->Complexity()->Unit(benchmark::kMicrosecond);
BENCHMARK(coin);
BENCHMARK(request)->Args({16000, 0})->Args({8500, 0})->Args({8500, 30000})->ArgNames({"level", "moves"});

}  // namespace
