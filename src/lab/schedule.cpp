#include "lab/schedule.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace shorelead::lab {
namespace {

// Requests a millisecond at that moment.
double rate_at(const LoadPlan& load, Millis at) {
  double rate = load.rate / 1000;
  if (load.arrivals == Arrivals::kRamp) rate *= 1 + (load.ramp_to - 1) * at / load.span;
  if (load.arrivals == Arrivals::kBursts) {
    const bool inside = std::fmod(at, load.burst_every) < load.burst_length;
    rate = inside ? rate * load.burst_every / load.burst_length : 0;
  }
  double factor = 1;
  for (const Step& step : load.steps) {
    if (step.at <= at) factor = step.factor;
  }
  return rate * factor;
}

double peak_rate(const LoadPlan& load) {
  double most = load.rate / 1000;
  if (load.arrivals == Arrivals::kRamp) most *= std::max(1.0, load.ramp_to);
  if (load.arrivals == Arrivals::kBursts) most *= load.burst_every / load.burst_length;
  double factor = 1;
  for (const Step& step : load.steps) factor = std::max(factor, step.factor);
  return most * factor;
}

std::vector<Planned> read_trace(const LoadPlan& load, const std::vector<std::string>& classes) {
  std::ifstream file(load.trace);
  if (!file) throw std::runtime_error(load.trace + ": the trace cannot be read");
  std::vector<Planned> planned;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    if (line.empty() || line.front() == '#') continue;
    const auto bad = [&](const std::string& what) {
      throw std::runtime_error(load.trace + ":" + std::to_string(number) + ": " + what);
    };
    std::istringstream words(line);
    Planned next;
    std::string name;
    std::string more;
    if (!(words >> next.at >> name) || next.at < 0) bad("not \"milliseconds class\": \"" + line + "\"");
    if (words >> more) bad("more than \"milliseconds class\": \"" + more + "\"");
    const auto at = std::find(classes.begin(), classes.end(), name);
    if (at == classes.end()) bad("no class is called \"" + name + "\"");
    if (!planned.empty() && next.at < planned.back().at) bad("earlier than the line before");
    next.request_class = static_cast<int>(at - classes.begin());
    if (next.at < load.span) planned.push_back(next);
  }
  return planned;
}

int draw_class(const LoadPlan& load, Draw& draw) {
  double total = 0;
  for (const double share : load.shares) total += share;
  double left = draw.uniform(0, total);
  for (std::size_t n = 0; n < load.shares.size(); ++n) {
    left -= load.shares[n];
    if (left < 0) return static_cast<int>(n);
  }
  return static_cast<int>(load.shares.size()) - 1;
}

}  // namespace

std::vector<Planned> plan(const LoadPlan& load, const std::vector<std::string>& classes, std::uint64_t seed) {
  if (load.arrivals == Arrivals::kTrace) return read_trace(load, classes);
  Draw times(seed, "arrivals");
  Draw kinds(seed, "classes");
  std::vector<Planned> planned;
  if (load.arrivals == Arrivals::kPoisson || load.arrivals == Arrivals::kRamp ||
      load.arrivals == Arrivals::kBursts) {
    // Thinning (Lewis and Shedler 1979): candidates at the highest rate, each kept with the rate's share of
    // it.
    const double most = peak_rate(load);
    for (Millis at = times.exponential(1 / most); at < load.span; at += times.exponential(1 / most)) {
      if (times.uniform(0, most) < rate_at(load, at)) planned.push_back({at, draw_class(load, kinds)});
    }
    return planned;
  }
  for (Millis at = 0; at < load.span;) {
    const double rate = rate_at(load, at);
    if (rate <= 0) {
      at += 1;
      continue;
    }
    planned.push_back({at, draw_class(load, kinds)});
    at += 1 / rate;
  }
  return planned;
}

}  // namespace shorelead::lab
