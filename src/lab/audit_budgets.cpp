// F1: what all processes together spend stays within the whole, over every window and at every moment.
//
// When a process decided to spend is not to be seen; but it was not before the client began to send, nor
// while the process stood still, nor after the first byte was at a box. What surely was spent within a window
// is what began and arrived within it. So no slack is needed, and a process that keeps to its share is never
// blamed, however late its requests get through; one that does not is seen but for those that were long under
// way.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <optional>

#include "lab/audit_view.h"

namespace shorelead::lab {
namespace {

constexpr double kRounding = 1e-6;

// One unit: spent somewhere between the two.
struct Spent {
  Millis low = 0;
  Millis high = 0;
  const std::string* request = nullptr;
};

struct Excess {
  double units = 0;
  Span window;
  const std::string* request = nullptr;  // the last that was too many
};

std::vector<Millis> sorted_lows(const std::vector<Spent>& spent) {
  std::vector<Millis> lows;
  for (const Spent& s : spent) lows.push_back(s.low);
  std::sort(lows.begin(), lows.end());
  return lows;
}

void by_high(std::vector<Spent>& spent) {
  std::sort(spent.begin(), spent.end(), [](const Spent& a, const Spent& b) { return a.high < b.high; });
}

// Every pair of times is looked at in one pass: within [from, to] there are at least (arrived by `to`) less
// (begun before `from`), which is to be at most rate x (to - from) + burst; so the least of
// (begun before `from`) - rate x from, over all `from` so far, is all that `to` has to be compared with.
template <typename Found>
void over_rate(std::vector<Spent> spent, double rate_per_ms, double burst, const Found& found) {
  const std::vector<Millis> lows = sorted_lows(spent);
  by_high(spent);
  std::size_t next = 0;  // of the lows
  constexpr double kNone = std::numeric_limits<double>::infinity();
  double least = kNone;
  Millis from = 0;
  for (std::size_t n = 0; n < spent.size(); ++n) {
    const Millis to = spent[n].high;
    for (; next < lows.size() && lows[next] <= to; ++next) {
      if (next > 0 && lows[next] == lows[next - 1]) continue;
      const double value = static_cast<double>(next) - rate_per_ms * lows[next];
      if (value < least) least = value, from = lows[next];
    }
    if (least == kNone) continue;
    const double over = static_cast<double>(n + 1) - rate_per_ms * to - least - burst;
    if (over <= kRounding) continue;
    found(Excess{over, {from, to}, spent[n].request});
    least = kNone;  // the next window begins after this one
    while (next < lows.size() && lows[next] <= to) ++next;
  }
}

std::string figure(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", value);
  return text;
}

class Budgets {
 public:
  Budgets(const RunView& view, Audit& audit) : view_(view), findings_(audit) {}

  void judge(const BudgetRule& rule) {
    if (rule.kind == Spending::kRate) {
      over_rate(taken(rule), rule.whole / 1000, rule.burst, [&](const Excess& e) {
        tell(rule, e.window.to, *e.request,
             figure(e.units) + " more than " + figure(rule.whole) + " a second and " + figure(rule.burst) +
                 " within " + figure(e.window.to - e.window.from) + " ms from " + view_.at(e.window.from));
      });
    } else if (rule.kind == Spending::kAtOnce) {
      judge_at_once(rule);
    } else {
      judge_further(rule);
    }
  }

 private:
  void tell(const BudgetRule& rule, Millis at, const std::string& request, const std::string& what) {
    findings_.add(Breach::kOverBudget, request, at, "budget " + rule.name + ": " + what);
  }

  Attempts in_pool(const Asked& asked, const Scope& scope) const {
    Attempts attempts = view_.attempts(asked.id);
    std::erase_if(attempts, [&](const Arrived* a) { return !view_.in_pool(*a, scope); });
    return attempts;
  }

  Millis earliest(const Asked& asked) const { return view_.awake(asked.node, asked.intended); }

  // Requests of which something reached a box.
  std::vector<Spent> taken(const BudgetRule& rule) const {
    std::vector<Spent> spent;
    for (const Asked& asked : view_.run.asked) {
      if (!view_.in_scope(asked, rule.scope)) continue;
      const Attempts attempts = in_pool(asked, rule.scope);
      if (attempts.empty()) continue;
      const Millis high = attempts.front()->first_byte;
      spent.push_back({std::min(earliest(asked), high), high, &asked.id});
    }
    return spent;
  }

  void judge_at_once(const BudgetRule& rule) {
    struct Edge {
      Millis at;
      int change;
      const std::string* request;
    };
    std::vector<Edge> edges;
    for (const Asked& asked : view_.run.asked) {
      if (!view_.in_scope(asked, rule.scope)) continue;
      std::optional<Span> open;  // attempts at once are one request
      const auto close = [&] {
        if (!open || open->to <= open->from) return;
        edges.push_back({open->from, 1, &asked.id});
        edges.push_back({open->to, -1, &asked.id});
      };
      for (const Arrived* a : in_pool(asked, rule.scope)) {
        const Span span = view_.in_work(*a);
        if (open && span.from <= open->to) {
          open->to = std::max(open->to, span.to);
        } else {
          close();
          open = span;
        }
      }
      close();
    }
    std::sort(edges.begin(), edges.end(), [](const Edge& a, const Edge& b) {
      return a.at != b.at ? a.at < b.at : a.change < b.change;  // what ends then makes room
    });
    int now = 0;
    bool over = false;
    for (const Edge& edge : edges) {
      now += edge.change;
      if (now <= rule.whole) over = false;
      if (now <= rule.whole || over) continue;
      over = true;
      tell(rule, edge.at, *edge.request,
           figure(now) + " in work at once, and " + figure(rule.whole) + " may be");
    }
  }

  // Windows of just that length which end with a further attempt. All that may have been taken within counts
  // for the share, refused or not.
  void judge_further(const BudgetRule& rule) {
    std::vector<Spent> further;
    std::vector<Millis> began;  // requests: no decision before this ...
    std::vector<Millis> over;   // ... nor after this
    for (const Asked& asked : view_.run.asked) {
      if (asked.sent == 0 || !view_.in_scope(asked, rule.scope)) continue;
      const Attempts attempts = in_pool(asked, rule.scope);
      began.push_back(asked.intended);
      over.push_back(attempts.empty() ? std::max(asked.ended, asked.sent) : attempts.front()->first_byte);
      for (std::size_t n = 1; n < attempts.size(); ++n) {
        // What the client sent twice by itself is no further attempt.
        if (asked.resent > 0 && attempts[n]->first_byte >= asked.resent &&
            attempts[n - 1]->first_byte < asked.resent)
          continue;
        const Millis high = attempts[n]->first_byte;
        further.push_back({std::min(earliest(asked), high), high, &asked.id});
      }
    }
    const std::vector<Millis> lows = sorted_lows(further);
    by_high(further);
    std::sort(began.begin(), began.end());
    std::sort(over.begin(), over.end());
    const auto before = [](const std::vector<Millis>& of, Millis at) {
      return static_cast<double>(std::lower_bound(of.begin(), of.end(), at) - of.begin());
    };
    Millis told = std::numeric_limits<Millis>::lowest();
    for (std::size_t n = 0; n < further.size(); ++n) {
      const Millis to = further[n].high;
      const Millis from = to - rule.window;
      if (from < told) continue;
      const double surely = static_cast<double>(n + 1) - before(lows, from);
      const double perhaps = before(began, std::nextafter(to, to + 1)) - before(over, from);
      const double allowed = rule.whole + rule.ratio * std::max(0.0, perhaps);
      if (surely <= allowed + kRounding) continue;
      tell(rule, to, *further[n].request,
           figure(surely) + " further attempts within " + figure(rule.window) + " ms, and beside " +
               figure(perhaps) + " requests " + figure(allowed) + " may be");
      told = to;
    }
  }

  const RunView& view_;
  Findings findings_;
};

}  // namespace

void judge_budgets(const RunView& view, Audit& audit) {
  Budgets budgets(view, audit);
  for (const BudgetRule& rule : view.run.fleet.budgets) budgets.judge(rule);
}

}  // namespace shorelead::lab
