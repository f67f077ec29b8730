// Looking a route up among so many, and the same by reading every rule. Allocations during look-ups are
// counted.
#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>
#include <sstream>
#include <string>

#include "routing/table.h"

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

using namespace shorelead::routing;

std::vector<Rule> rules_of(int count) {
  std::vector<Rule> rules;
  for (int n = 0; n < count; ++n) {
    Rule rule;
    std::ostringstream host;
    if (n % 4 == 1) host << "s" << n % 97 << ".example.org";
    if (n % 4 == 2) host << "*.t" << n % 53 << ".example.org";
    rule.host = host.str();
    std::ostringstream path;
    path << "/v1/r" << n << (n % 3 == 0 ? "/{id}/result" : n % 3 == 1 ? "/*" : "");
    rule.path = path.str();
    rules.push_back(rule);
  }
  return rules;
}

// Requests to rules spread over the table, drawn once.
std::vector<std::pair<std::string, std::string>> requests_of(const std::vector<Rule>& rules) {
  std::vector<std::pair<std::string, std::string>> all;
  for (std::size_t n = 0; n < 64; ++n) {
    const Rule& rule = rules[n * 7919 % rules.size()];
    std::string path = rule.path;
    if (const std::size_t at = path.find("{id}"); at != std::string::npos) path.replace(at, 4, "77");
    if (path.back() == '*') path.back() = 'x';
    std::string host = rule.host.empty() ? std::string("h.org") : rule.host;
    if (host[0] == '*') host[0] = 'w';
    all.emplace_back(host, path);
  }
  return all;
}

void look_up(benchmark::State& state) {
  const auto rules = rules_of(static_cast<int>(state.range(0)));
  std::vector<Refusal> refusals;
  const Table table = Table::compile(rules, refusals);
  const auto requests = requests_of(rules);
  std::size_t n = 0;
  const std::uint64_t before = allocations;
  for (auto _ : state) {
    const auto& [host, path] = requests[n++ % requests.size()];
    benchmark::DoNotOptimize(table.find({host, path, "GET", nullptr}));
  }
  state.counters["allocations"] =
      static_cast<double>(allocations - before) / static_cast<double>(state.iterations());
}

void scan(benchmark::State& state) {
  const auto rules = rules_of(static_cast<int>(state.range(0)));
  const auto requests = requests_of(rules);
  std::size_t n = 0;
  for (auto _ : state) {
    const auto& [host, path] = requests[n++ % requests.size()];
    for (const Rule& rule : rules) benchmark::DoNotOptimize(matches(rule, {host, path, "GET", nullptr}));
  }
}

BENCHMARK(look_up)->Arg(10)->Arg(1000)->Arg(100000);
BENCHMARK(scan)->Arg(10)->Arg(1000)->Arg(100000);

}  // namespace
