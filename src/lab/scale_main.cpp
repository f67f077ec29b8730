// The scale model's command line. Owns flags and the table; plays nothing itself.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "lab/scale.h"

int main(int argc, char** argv) {
  using namespace shorelead::lab;
  ScaleOptions options;
  std::vector<std::string> ways{"lots"};
  std::vector<std::string> troubles{"none"};
  std::vector<int> sizes{50};
  CLI::App app("Many nodes before many boxes in simulated time: the real decisions, simulated boxes",
               "shorelead_scale");
  app.add_option("--nodes", options.nodes)->check(CLI::Range(1, 100000));
  app.add_option("--boxes", options.boxes)->check(CLI::Range(1, 1000000));
  app.add_option("--size", sizes, "of a subset; several are played in turn")->check(CLI::Range(1, 100000));
  app.add_option("--way", ways, "lots, no index, whole, random, rendezvous, shuffled slices, ring aperture");
  app.add_option("--trouble", troubles, "none, zone, deploy, double, restart, flap");
  app.add_option("--seconds", options.seconds, "of simulated time")->check(CLI::Range(16.0, 3600.0));
  app.add_option("--per-box", options.per_box, "requests a second to a box")->check(CLI::Range(0.01, 1000.0));
  app.add_option("--work", options.work, "ms, mean")->check(CLI::Range(0.1, 10000.0));
  app.add_option("--skew", options.skew, "share of the boxes in one zone")->check(CLI::Range(0.0, 1.0));
  app.add_option("--probes-per-box", options.probes_per_box, "ceiling, a second")
      ->check(CLI::Range(0.0, 1000.0));
  app.add_flag("--three-sizes", options.three_sizes, "boxes of speeds 0.5, 1 and 2");
  app.add_option("--least-holders", options.least_holders, "nodes that have each box")
      ->check(CLI::Range(1, 1000));
  app.add_option("--seed", options.seed);
  CLI11_PARSE(app, argc, argv);
  std::printf(
      "| way | size | trouble | served in time | refused | failed | lost | worst second | seconds under 0.95 "
      "| p50 ms | "
      "p99 ms | load max/mean, p99, min | probes/s a box, most | members changed | cold fallen | after grace "
      "| events | "
      "real s |\n|%s\n",
      [] {
        std::string rule;
        for (int n = 0; n < 18; ++n) rule += " --- |";
        return rule;
      }()
          .c_str());
  try {
    for (const std::string& trouble : troubles) {
      for (const int size : sizes) {
        for (const std::string& way : ways) {
          options.trouble = trouble;
          options.size = size;
          options.way = way;
          const auto from = std::chrono::steady_clock::now();
          const ScaleResult r = play_scale(options);
          const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
          const auto share = [&r](std::uint64_t n) {
            return static_cast<double>(n) / static_cast<double>(r.asked);
          };
          std::printf(
              "| %s | %.1f | %s | %.5f | %.5f | %.5f | %llu | %.3f | %d | %.0f | %.0f | %.2f, %.2f, %.2f | "
              "%.2f, %.2f | "
              "%.1f | %d | %d | %.1fM | %.0f |\n",
              way.c_str(), r.subset_mean, trouble.c_str(), share(r.served), share(r.refused), share(r.failed),
              static_cast<unsigned long long>(r.lost), r.worst_second, r.bad_seconds, r.p50, r.p99,
              r.load_most, r.load_p99, r.load_least, r.probes_mean, r.probes_most, r.churn, r.fallen,
              r.after_grace, static_cast<double>(r.events) / 1e6, took);
          std::fflush(stdout);
        }
      }
    }
  } catch (const std::exception& error) {
    std::cerr << "shorelead_scale: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
