// What the traffic's port costs on a request's way, the reading of the clock that sees a sleeping machine
// included, with its allocations and the locks it takes; alone, and while another thread hands it a new
// snapshot each 50 us and moves the validity. Both counters are tried before anything is measured.
#include <benchmark/benchmark.h>
#include <dlfcn.h>
#include <pthread.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <new>
#include <thread>

#include "fleet/port.h"

namespace {

thread_local std::size_t allocations = 0;
thread_local std::size_t locks = 0;

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
using namespace shorelead::fleet;

std::vector<Budget> three_budgets() {
  Budget rate;
  rate.name = "rate";
  rate.whole = 1e9;
  rate.burst = 1e6;
  Budget at_once;
  at_once.name = "at once";
  at_once.kind = BudgetKind::kAtOnce;
  at_once.whole = 1000;
  Budget attempts;
  attempts.name = "attempts";
  attempts.kind = BudgetKind::kAttempts;
  attempts.whole = 1000;
  attempts.ratio = 0.1;
  attempts.window = 10;
  return {rate, at_once, attempts};
}

Sharing sharing() {
  Sharing sharing;
  sharing.most_processes = 20;
  return sharing;
}

struct Bench {
  Bench() { issue(1); }
  void issue(std::uint64_t generation) {
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->generation = generation;
    snapshot->incarnation = 7;
    for (const Budget& budget : three_budgets()) snapshot->parts[budget.name] = {budget.whole, budget.burst};
    channel->issues.put({snapshot, validity});
  }
  void extend() { validity->until.store(boot_now() + 1e6, std::memory_order_release); }

  std::shared_ptr<Channel> channel = std::make_shared<Channel>(3, std::vector<int>{1, 2, 3});
  std::shared_ptr<Validity> validity = [] {
    auto made = std::make_shared<Validity>();
    made->incarnation = 7;
    made->until = boot_now() + 1e6;
    return made;
  }();
  Port port{channel, three_budgets(), sharing()};
};

enum Step { kClock, kRate, kAtOnce, kAttempt, kNothingNew };

bool step(Bench& bench, Step which) {
  Port& port = bench.port;
  switch (which) {
    case kClock:
      benchmark::DoNotOptimize(Port::now());
      return true;
    case kRate:
      return port.spend(0, Port::now()) == Spent::kYes;
    case kAtOnce: {
      const bool given = port.spend(1, Port::now()) == Spent::kYes;
      if (given) port.end(1, Port::now());
      return given;
    }
    case kAttempt:
      port.taken(2, Port::now());
      return port.spend(2, Port::now()) == Spent::kYes;
    default:
      return !port.take_snapshot();
  }
}

void measure(benchmark::State& state, Step which, bool disturbed) {
  Bench bench;
  bench.port.take_snapshot();
  for (int n = 0; n < 200000; ++n) step(bench, which);  // rings have grown
  std::atomic<bool> over{false};
  std::thread control;
  if (disturbed) {
    control = std::thread([&] {
      for (std::uint64_t generation = 2; !over; ++generation) {
        bench.issue(generation);
        bench.extend();
        std::this_thread::sleep_for(std::chrono::microseconds(50));
      }
    });
  }
  std::size_t allocated = 0;
  std::size_t locked = 0;
  std::size_t given = 0;
  std::size_t taken_up = 0;
  for (auto _ : state) {
    const std::size_t allocations_before = allocations;
    const std::size_t locks_before = locks;
    if (disturbed) taken_up += bench.port.take_snapshot() ? 1 : 0;
    given += step(bench, which) ? 1 : 0;
    allocated += allocations - allocations_before;
    locked += locks - locks_before;
  }
  const double all = static_cast<double>(std::max<std::size_t>(1, state.iterations()));
  state.counters["allocations"] = static_cast<double>(allocated);
  state.counters["locks"] = static_cast<double>(locked);
  state.counters["given"] = static_cast<double>(given) / all;
  if (disturbed) state.counters["taken_up"] = static_cast<double>(taken_up);
  over = true;
  if (control.joinable()) control.join();
}

BENCHMARK_CAPTURE(measure, clock_alone, kClock, false);
BENCHMARK_CAPTURE(measure, spend_of_a_rate, kRate, false);
BENCHMARK_CAPTURE(measure, spend_of_a_rate_disturbed, kRate, true);
BENCHMARK_CAPTURE(measure, begin_and_end_of_so_many_at_once, kAtOnce, false);
BENCHMARK_CAPTURE(measure, request_and_further_attempt, kAttempt, false);
BENCHMARK_CAPTURE(measure, nothing_new_in_the_mailbox, kNothingNew, false);

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
