#include "fleet/division.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace shorelead::fleet {
namespace {

constexpr double kTolerance = 1e-9;  // for rounding errors

double whole_units(double value) { return std::floor(value + kTolerance); }

// One participant of a division, in units or fractions of one.
struct Participant {
  double least = 0;  // whatever its demand
  double claim = 0;
  double most = 0;
};

// The greatest level, up to `top`, at which the sum of `at(taker, level)` is at most `total`.
template <typename At>
double level(const std::vector<Participant>& participants, double total, double top, At at) {
  const auto sum = [&](double l) {
    return std::accumulate(participants.begin(), participants.end(), 0.0,
                           [&](double s, const Participant& t) { return s + at(t, l); });
  };
  if (sum(top) <= total) return top;
  double low = 0;
  for (int n = 0; n < 60; ++n) {
    const double middle = (low + top) / 2;
    (sum(middle) <= total ? low : top) = middle;
  }
  return low;
}

// Water-filling: every claim up to a common level, then the remainder in equal parts.
std::vector<double> fill(const std::vector<Participant>& participants, double total) {
  const auto asked = [](const Participant& t, double l) {
    return std::min(t.most, std::max(t.least, std::min(t.claim, l)));
  };
  const double reached = level(participants, total, total, asked);
  const auto more = [&](const Participant& t, double l) { return std::min(t.most, asked(t, reached) + l); };
  const double rest = level(participants, total, total, more);
  std::vector<double> out;
  for (const Participant& t : participants) out.push_back(more(t, rest));
  return out;
}

// Rounds each target down or up to whole units, keeping the sum up to rounding. Over phases from 0 to 1 each
// target is rounded up as often as its fraction is large.
std::vector<double> rounded(const std::vector<double>& targets, double phase, double most) {
  std::vector<double> out;
  double sum = phase;
  double given = 0;
  for (const double t : targets) {
    sum += t;
    out.push_back(std::min(most, whole_units(sum)) - given);
    given += out.back();
  }
  return out;
}

double units_of(const Part& part, BudgetKind kind) {
  return kind == BudgetKind::kRate ? part.burst : part.amount;
}

double figure(const std::map<std::string, double>& figures, const std::string& budget) {
  const auto it = figures.find(budget);
  return it == figures.end() ? 0 : it->second;
}

}  // namespace

double grained(double value, double whole) {
  const double grains = std::pow(10, 6 - std::floor(std::log10(std::max(kTolerance, whole))));
  return std::floor(value * grains + kTolerance) / grains;
}

Part reserve_of(const Budget& budget, const Sharing& sharing) {
  const double part = budget.reserve / std::max(1, sharing.most_processes);
  if (budget.kind != BudgetKind::kRate) return {whole_units(budget.whole * part), 0};
  double burst = whole_units(budget.burst * part);
  if (burst < 1 && 2 * sharing.most_processes <= budget.burst) burst = 1;
  if (budget.reserve <= 0 || burst < 1) return {};
  return {budget.whole * part, burst};
}

Part divisible(const Budget& budget, const Sharing& sharing) {
  const Part reserve = reserve_of(budget, sharing);
  const double amount = std::max(0.0, budget.whole - reserve.amount * sharing.most_processes);
  if (budget.kind != BudgetKind::kRate) return {whole_units(amount), 0};
  return {amount, whole_units(std::max(0.0, budget.burst - reserve.burst * sharing.most_processes))};
}

std::uint64_t turns_each(const Budget& budget, const Sharing& sharing) {
  const Part all = divisible(budget, sharing);
  const double units = std::max(1.0, units_of(all, budget.kind));
  Millis fill = budget.window;
  if (budget.kind == BudgetKind::kRate) fill = all.amount > 0 ? 1000 * units / all.amount : 0;
  if (budget.kind == BudgetKind::kAtOnce) fill = 0;
  // A unit stays with one process for `units` steps; most of that time is after it was transferred and
  // filled.
  const double turns = 4 * (fill / sharing.plan_every + 2) / units;
  return static_cast<std::uint64_t>(std::ceil(std::clamp(turns, 1.0, 1e6)));
}

std::vector<Part> divide(const Budget& budget, const Sharing& sharing, const std::vector<Record>& records,
                         std::uint64_t turn) {
  const bool rate = budget.kind == BudgetKind::kRate;
  const Part all = divisible(budget, sharing);
  const Part reserve = reserve_of(budget, sharing);
  const double n = static_cast<double>(records.size());
  const double units = units_of(all, budget.kind);
  std::vector<Part> out(records.size());
  if (units < 1 || all.amount <= 0 || records.empty()) return out;

  std::vector<std::size_t> order(records.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](auto a, auto b) { return records[a].id < records[b].id; });
  std::vector<Participant> participants;
  for (const std::size_t m : order) {
    const Record& r = records[m];
    const auto had = r.in_force.find(budget.name);
    const double spent = std::min(figure(r.spent, budget.name),
                                  (had == r.in_force.end() ? 0 : had->second.amount) + reserve.amount);
    const double proven = std::max(2 * spent + 1, all.amount / n);
    double claim = std::max(0.0, figure(r.demand, budget.name) - reserve.amount);
    // A new process has received no requests yet, but will soon receive as many as the others.
    if (rate && units >= n && had == r.in_force.end()) claim = std::max(claim, all.amount / n);
    participants.push_back({budget.least_part * all.amount / n, std::min(claim, proven),
                            std::max(std::min(1.0, all.amount), budget.most_part * budget.whole)});
  }
  std::vector<double> targets = fill(participants, all.amount);

  // Whole units. Of a rate's burst each process gets one unit if there are enough; the rest follows the rate.
  std::vector<double> parts = targets;
  const double each = units >= n ? 1 : 0;
  if (rate) {
    const double sum = std::max(kTolerance, std::accumulate(targets.begin(), targets.end(), 0.0));
    for (double& p : parts) p = each + p / sum * (units - each * n);
  }
  const bool round = std::any_of(parts.begin(), parts.end(), [](double p) { return p < 1 - kTolerance; });
  // Steps slightly below 1/n, so that they fall between those of the previous rotation.
  const double step = static_cast<double>(turn / turns_each(budget, sharing)) / (n + 0.618);
  const std::vector<double> whole = rounded(parts, round ? step - std::floor(step) : 0, units);
  for (std::size_t k = 0; k < order.size(); ++k) {
    Part& part = out[order[k]];
    if (!rate) {
      part.amount = whole[k];
    } else if (whole[k] >= 1) {
      part.burst = whole[k];
      part.amount = grained(round ? all.amount * whole[k] / units : targets[k], all.amount);
    }
  }
  return out;
}

Part bound_of(const Plan* plan, const Record* record, const std::string& member, const std::string& budget) {
  Part out;
  const auto take = [&](const Parts& parts) {
    const auto it = parts.find(budget);
    if (it == parts.end()) return;
    out = {std::max(out.amount, it->second.amount), std::max(out.burst, it->second.burst)};
  };
  if (record != nullptr) take(record->in_force);
  if (plan != nullptr) {
    const auto it = plan->shares.find(member);
    if (it != plan->shares.end()) take(it->second);
  }
  return out;
}

Parts usable(const Parts& parts, const std::map<std::string, Part>& wholes,
             const std::vector<Budget>& budgets) {
  Parts out;
  for (const Budget& b : budgets) {
    const auto part = parts.find(b.name);
    const auto from = wholes.find(b.name);
    if (part == parts.end() || from == wholes.end()) continue;
    const bool rate = b.kind == BudgetKind::kRate;
    const Part whole = from->second;
    if (whole.amount <= 0 || rate != (whole.burst > 0)) continue;
    Part p = part->second;
    if (b.whole < whole.amount) p.amount *= b.whole / whole.amount;
    if (!rate) p = {whole_units(p.amount), 0};
    if (rate && b.burst < whole.burst) p.burst = whole_units(p.burst * b.burst / whole.burst);
    out[b.name] = p;
  }
  return out;
}

}  // namespace shorelead::fleet
