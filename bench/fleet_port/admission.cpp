// What one request pays for all that processes share, as a node's gate asks for it: the clock read once, a
// share of a rate spent, the plan, the coin and the cut-off, the rule of affinity, its key and its slot; each
// alone and all together, with the allocations and the locks that they take. Both counters are tried before
// anything is measured. Out of a shortage no coin is made; here the cut-off goes through the rank of half of
// the requests, but for `calm`.
#include "plans/admission.h"

#include <benchmark/benchmark.h>
#include <dlfcn.h>
#include <pthread.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <new>
#include <string>

#include "affinity/choice.h"
#include "affinity/rules.h"
#include "fleet/port.h"
#include "plans/stable_sample.h"

namespace {

std::size_t allocations = 0;
std::size_t locks = 0;

}  // namespace

[[gnu::noinline]] void* operator new(std::size_t size) {
  ++allocations;
  if (void* const block = std::malloc(size)) return block;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* block) noexcept { std::free(block); }
[[gnu::noinline]] void operator delete(void* block, std::size_t) noexcept { std::free(block); }

extern "C" int pthread_mutex_lock(pthread_mutex_t* mutex) {
  static const auto real =
      reinterpret_cast<int (*)(pthread_mutex_t*)>(dlsym(RTLD_NEXT, "pthread_mutex_lock"));
  ++locks;
  return real(mutex);
}

namespace {

using namespace shorelead;

constexpr std::size_t kMany = 4096;  // clients, baskets
constexpr Millis kWall = 1.7e12;

// What a gate holds.
struct Gate {
  Gate() {
    auto snapshot = std::make_shared<fleet::Snapshot>();
    snapshot->generation = 1;
    snapshot->incarnation = 7;
    for (const fleet::Budget& budget : budgets) snapshot->parts[budget.name] = {1e9, 1e6};
    validity->incarnation = 7;
    validity->until = fleet::boot_now() + 1e9;
    channel->issues.put({snapshot, validity});
    port.take_snapshot();
    fleet::SlotMap map;
    for (std::size_t n = 0; n < 4096; ++n) map.slots.push_back({std::to_string(n * 7919 % 50), true, "", 1});
    owners = affinity::SlotOwners(map, [](const std::string& name) { return std::stoi(name); });
    for (std::size_t n = 0; n < kMany; ++n) {
      clients.push_back("client-" + std::to_string(1000000 + n));
      baskets.push_back("basket-" + std::to_string(1000000 + n));
    }
  }

  static std::vector<fleet::Budget> one_rate() {
    fleet::Budget rate;
    rate.name = "rate";
    rate.whole = 1e9;
    rate.burst = 1e6;
    return {rate};
  }
  static fleet::Sharing sharing() {
    fleet::Sharing sharing;
    sharing.most_processes = 20;
    return sharing;
  }
  // Three rules, the last one taken: class and not a test's header, the key in a header.
  static std::vector<affinity::Rule> three_rules() {
    using namespace affinity;
    std::vector<Rule> rules(3);
    rules[0].when = all({is(Subject::kRoute, "upload"), is(Subject::kMethod, "PUT")});
    rules[0].key = {KeySource::From::kPart, "", 2};
    rules[1].when = all({is(Subject::kPlan, "gold"), is(Subject::kClass, "report")});
    rules[2].when = all({is(Subject::kClass, "check"), negated(field_is("x-test", "yes"))});
    rules[2].key = {KeySource::From::kField, "x-basket", 0};
    for (Rule& rule : rules) rule.must = true;
    return rules;
  }

  const Millis began = fleet::boot_now();
  const std::vector<fleet::Budget> budgets = one_rate();
  std::shared_ptr<fleet::Channel> channel = std::make_shared<fleet::Channel>(1, std::vector<int>{0, 1});
  std::shared_ptr<fleet::Validity> validity = std::make_shared<fleet::Validity>();
  fleet::Port port{channel, budgets, sharing()};
  const plans::Order order{{{"gold", 1, 0, {"acme", "globex"}, false}, {"free", 2, 0, {}, true}}, {1}};
  plans::Admission admission{order, plans::AdmissionSettings()};
  fleet::CutOff cut{0, 0.5};
  const std::vector<affinity::Rule> rules = three_rules();
  affinity::SlotOwners owners;
  std::vector<std::string> clients, baskets;
  // As a parsed head has them: few fields, in a row.
  std::array<std::pair<std::string_view, std::string_view>, 6> head = {{{"host", "shop.example.org"},
                                                                        {"accept", "*/*"},
                                                                        {"user-agent", "bench"},
                                                                        {"x-basket", ""},
                                                                        {"content-length", "0"},
                                                                        {"connection", "keep-alive"}}};
  const std::function<std::string_view(std::string_view)> field = [this](std::string_view name) {
    for (const auto& [one, value] : head) {
      if (one == name) return value;
    }
    return std::string_view();
  };
};

enum Part { kClock = 1, kShare = 2, kCoin = 4, kPlan = 8, kSlot = 16, kCalm = 32 };

// Whether it is let through.
[[gnu::noinline]] bool request(Gate& gate, int parts, std::size_t n) {
  const Millis now = (parts & kClock) != 0 ? fleet::boot_now() : gate.began + static_cast<double>(n) * 1e-3;
  const std::string& client = gate.clients[n % kMany];
  bool in = true;
  if ((parts & kCoin) != 0) benchmark::DoNotOptimize(plans::stable_sample("acme", client, kWall));
  if ((parts & kPlan) != 0) {
    const plans::StableSample coin("acme", client, kWall);
    const int plan = gate.order.plan_of("acme");
    fleet::RankCells& cells = *gate.port.rank(gate.order.rank_of(plan, 0));
    cells.offered.add(1);
    in = gate.admission.decide((parts & kCalm) != 0 ? fleet::CutOff() : gate.cut, plan, 0, coin, now).taken();
    (in ? cells.taken : cells.refused).add(1);
  }
  if ((parts & kShare) != 0) in = gate.port.spend(0, now) == fleet::Spent::kYes && in;
  if ((parts & kSlot) != 0) {
    gate.head[3].second = gate.baskets[n % kMany];
    const affinity::Request asked = {"shop", "check",      "acme",          "gold",
                                     "GET",  "/baskets/7", "/baskets/{id}", &gate.field};
    const auto found = affinity::find(gate.rules, asked);
    affinity::RoutingQuery query;
    query.rule = &gate.rules[found->rule];
    query.keyed = found->keyed;
    query.mapped = gate.owners.any();
    query.valid = gate.port.valid(now) != nullptr;
    query.owner = gate.owners.at(found->key);
    benchmark::DoNotOptimize(affinity::choose(query));
  }
  return in;
}

void admission(benchmark::State& state, int parts) {
  Gate gate;
  std::size_t n = 0;
  std::size_t in = 0;
  std::size_t allocated = 0;
  std::size_t locked = 0;
  for (auto _ : state) {
    const std::size_t allocations_before = allocations;
    const std::size_t locks_before = locks;
    in += request(gate, parts, n++) ? 1 : 0;
    allocated += allocations - allocations_before;
    locked += locks - locks_before;
  }
  state.counters["allocations"] = static_cast<double>(allocated);
  state.counters["locks"] = static_cast<double>(locked);
  state.counters["in"] = static_cast<double>(in) / static_cast<double>(std::max<std::size_t>(1, n));
}

BENCHMARK_CAPTURE(admission, nothing, 0);
BENCHMARK_CAPTURE(admission, clock, kClock);
BENCHMARK_CAPTURE(admission, share, kShare);
BENCHMARK_CAPTURE(admission, coin, kCoin);
BENCHMARK_CAPTURE(admission, plan_and_coin, kPlan);
BENCHMARK_CAPTURE(admission, slot, kSlot);
BENCHMARK_CAPTURE(admission, share_coin_slot, kShare | kCoin | kSlot);
BENCHMARK_CAPTURE(admission, all_but_the_clock, kShare | kPlan | kSlot);
BENCHMARK_CAPTURE(admission, all, kClock | kShare | kPlan | kSlot);
BENCHMARK_CAPTURE(admission, all_in_calm, kClock | kShare | kPlan | kSlot | kCalm);

}  // namespace

int main(int argc, char** argv) {
  std::mutex mutex;
  const std::size_t locked = locks;
  const std::size_t allocated = allocations;
  { const std::lock_guard<std::mutex> guard(mutex); }
  delete new int(argc);
  if (locks != locked + 1 || allocations != allocated + 1) {
    std::fprintf(stderr, "the counters of locks and allocations do not count\n");
    return 1;
  }
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
}
