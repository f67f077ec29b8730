// What it costs a node to read a list, to take it in, and to follow a change of one backend, with subsets and
// without. No sockets: the policy host alone.
#include <benchmark/benchmark.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <chrono>
#include <sstream>
#include <string>

#include "node/config.h"
#include "node/list_reader.h"
#include "node/policy_host.h"

namespace {

using namespace shorelead;
using namespace shorelead::node;

std::string entry(int i, const char* health) {
  std::ostringstream text;
  text << R"({"host":"s-)" << i << R"(","dial":"127.0.)" << i / 250 << "." << i % 250 + 1
       << R"(:8081","site":")" << static_cast<char>('a' + i % 3) << R"(","class":"m2","block":)" << i % 5
       << R"(,"health":")" << health << R"(","share":1.0,"born_ms":0})";
  return text.str();
}

std::string whole(int backends) {
  std::string text = R"({"seq":1,"whole":true,"hosts":[)";
  for (int i = 0; i < backends; ++i) text.append(i > 0 ? "," : "").append(entry(i, "ready"));
  return text + "]}";
}

List read(const std::string& text) {
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  return parse_list(document);
}

Settings settings() {
  Settings s;
  s.classes.resize(1);
  s.classes[0].aim = 400;
  s.classes[0].deadline = 1000;
  return s;
}

FleetOptions fleet(bool subsets) {
  FleetOptions options;
  if (!subsets) return options;
  options.subset.emplace();
  options.place.index = 7;
  options.place.nodes = 1000;
  return options;
}

void parse(benchmark::State& state) {
  const std::string text = whole(static_cast<int>(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(read(text));
}

// The longest that the loop is held by a slice of 500 entries.
void slices(benchmark::State& state) {
  const std::string text = whole(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    ListReader reader(text);
    double longest = 0;
    for (bool done = false; !done;) {
      const auto from = std::chrono::steady_clock::now();
      done = reader.advance(500);
      longest =
          std::max(longest, std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count());
    }
    state.SetIterationTime(longest);
  }
}

void take_whole(benchmark::State& state, bool subsets) {
  const List list = read(whole(static_cast<int>(state.range(0))));
  Millis now = 1e12;
  PolicyHost policy_host(settings(), {}, 1, fleet(subsets));
  policy_host.start({}, now);
  for (auto _ : state) {
    now += 200;
    policy_host.report_list(list, ListSource::kWatch, now);
    policy_host.tick(now);
  }
}

// One backend that drains and is back by turns.
class Flapping {
 public:
  Flapping() {
    list_.backends.resize(1);
    list_.backends[0].host = "s-11";
  }
  const List& next() {
    list_.backends[0].health = ready_ ? "ready" : "draining";
    ready_ = !ready_;
    return list_;
  }

 private:
  List list_;
  bool ready_ = false;
};

void one_change(benchmark::State& state, bool subsets) {
  Millis now = 1e12;
  PolicyHost policy_host(settings(), {}, 1, fleet(subsets));
  policy_host.start(read(whole(static_cast<int>(state.range(0)))), now);
  Flapping backend;
  for (auto _ : state) {
    benchmark::DoNotOptimize(policy_host.report_list(backend.next(), ListSource::kWatch, now));
  }
}

void drawing(benchmark::State& state) {
  Millis now = 1e12;
  PolicyHost policy_host(settings(), {}, 1, fleet(true));
  policy_host.start(read(whole(static_cast<int>(state.range(0)))), now);
  Flapping backend;
  for (auto _ : state) {
    state.PauseTiming();
    policy_host.report_list(backend.next(), ListSource::kWatch, now);
    now += 200;
    state.ResumeTiming();
    policy_host.tick(now);
  }
}

void sizes(benchmark::internal::Benchmark* b) {
  b->Arg(10)->Arg(1000)->Arg(20000)->Unit(benchmark::kMicrosecond);
}

BENCHMARK(parse)->Apply(sizes);
BENCHMARK(slices)->Apply(sizes)->UseManualTime();
BENCHMARK_CAPTURE(take_whole, plain, false)->Apply(sizes);
BENCHMARK_CAPTURE(take_whole, subsets, true)->Apply(sizes);
BENCHMARK_CAPTURE(one_change, plain, false)->Apply(sizes);
BENCHMARK_CAPTURE(one_change, subsets, true)->Apply(sizes);
BENCHMARK(drawing)->Apply(sizes);

}  // namespace
