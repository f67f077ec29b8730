// What a registry's list and its changes cost: one page read and taken in (the longest time that the loop is
// held at a time), the sweep behind the last page, and one change of a watch, by the number of backends. No
// sockets.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <chrono>

#include "membership/registry/follower.h"

namespace {

using namespace shorelead::membership;
using namespace shorelead::membership::registry;

constexpr std::size_t kPage = 250;

std::string key(std::size_t n) {
  std::string digits = std::to_string(n);
  return "/b/screen-" + std::string(6 - digits.size(), '0') + digits + ".kumamoto.example.org";
}

std::string value(std::size_t n, const char* health) {
  return "{\"dial\":\"10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) +
         ":8081\",\"health\":\"" + health +
         "\",\"site\":\"a\",\"block\":3,\"share\":1.0,\"born_ms\":1790000000000}";
}

std::string page_text(std::size_t from, std::size_t all) {
  std::string items;
  for (std::size_t n = from; n < std::min(from + kPage, all); ++n) {
    items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + base64(key(n)) +
             "\",\"mod_revision\":\"" + std::to_string(n + 2) + "\",\"value\":\"" +
             base64(value(n, "ready")) + "\"}";
  }
  return "{\"header\":{\"cluster_id\":\"7\",\"revision\":\"30000\"},\"kvs\":[" + items + "]" +
         (from + kPage < all ? ",\"more\":true" : "") + ",\"count\":\"" + std::to_string(all) + "\"}";
}

std::string line_text(std::size_t backend, std::uint64_t revision, const char* health) {
  return "{\"result\":{\"header\":{\"cluster_id\":\"7\",\"revision\":\"" + std::to_string(revision) +
         "\"},\"events\":[{\"kv\":{\"key\":\"" + base64(key(backend)) + "\",\"mod_revision\":\"" +
         std::to_string(revision) + "\",\"value\":\"" + base64(value(backend, health)) + "\"}}]}}";
}

struct Client {
  View view;
  Follower follower{view, 0, "/b/", 1, 7};

  void page(const std::string& text) {
    std::string cause;
    benchmark::DoNotOptimize(follower.page(*parse_page(text, cause), 1000));
  }
};

// All pages, as they come; the longest of them.
void first_list(benchmark::State& state) {
  const auto all = static_cast<std::size_t>(state.range(0));
  std::vector<std::string> pages;
  for (std::size_t from = 0; from < all; from += kPage) pages.push_back(page_text(from, all));
  double longest = 0;
  double memory = 0;
  for (auto _ : state) {
    const double before = static_cast<double>(mallinfo2().uordblks);
    Client client;
    for (const std::string& text : pages) {
      const auto begin = std::chrono::steady_clock::now();
      client.page(text);
      const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - begin;
      longest = std::max(longest, took.count());
    }
    memory = static_cast<double>(mallinfo2().uordblks) - before;
  }
  state.counters["longest_hold_ms"] = longest;
  state.counters["bytes_a_box"] = memory / static_cast<double>(all);
}
BENCHMARK(first_list)->Arg(1000)->Arg(20000)->Unit(benchmark::kMillisecond);

// One event of a watch: read, taken in, and the change told.
void one_change(benchmark::State& state) {
  const auto all = static_cast<std::size_t>(state.range(0));
  Client client;
  for (std::size_t from = 0; from < all; from += kPage) client.page(page_text(from, all));
  std::uint64_t revision = 40000;
  std::size_t backend = 0;
  bool ready = false;
  for (auto _ : state) {
    state.PauseTiming();
    std::string text = line_text(backend, ++revision, ready ? "ready" : "draining");
    ready = !ready;
    if (ready) backend = (backend + 7919) % all;
    state.ResumeTiming();
    std::string cause;
    benchmark::DoNotOptimize(client.follower.line(*parse_line(std::move(text), cause), 2000));
  }
}
BENCHMARK(one_change)->Arg(10)->Arg(1000)->Arg(20000)->Iterations(20000);

}  // namespace
