#include "lab/together.h"

#include <algorithm>
#include <map>
#include <optional>

#include "lab/audit_view.h"

namespace shorelead::lab {
namespace {

constexpr Millis kSecond = 1000;
constexpr double kBinds = 1.2;  // times the whole

bool refused(const Asked& asked, const Attempts& attempts) {
  return attempts.empty() && asked.end == ClientEnd::kAnswered &&
         (asked.status == 429 || asked.status == 503);
}

class Figures {
 public:
  explicit Figures(const Run& run) : view_(run, AuditLimits()), run_(run) {
    Millis last = run.began;
    for (const Asked& asked : run.asked) last = std::max(last, asked.intended);
    seconds_ = static_cast<std::size_t>((last - run.began) / kSecond);  // whole ones
  }

  Together all() const {
    Together out;
    for (const BudgetRule& rule : run_.fleet.budgets) {
      if (rule.kind != Spending::kAttempts && rule.whole > 0) out.budgets.push_back(use(rule));
    }
    for (const RankRule& rule : run_.fleet.ranks) out.ranks.push_back({rule.rank, 0, 0, 0});
    for (const Asked& asked : run_.asked) count_rank(asked, out.ranks);
    for (const KeyRule& rule : run_.fleet.keys) out.keys.push_back(moves(rule));
    return out;
  }

 private:
  std::optional<std::size_t> second(Millis at) const {
    const auto n = static_cast<std::size_t>(std::max(0.0, (at - run_.began) / kSecond));
    return at >= run_.began && n < seconds_ ? std::optional(n) : std::nullopt;
  }

  BudgetUse use(const BudgetRule& rule) const {
    std::vector<double> used(seconds_);
    std::vector<double> wished(seconds_);
    for (const Asked& asked : run_.asked) {
      if (!view_.in_scope(asked, rule.scope)) continue;
      const Attempts& attempts = view_.attempts(asked.id);
      const auto at = second(asked.intended);
      if (rule.kind == Spending::kRate) {
        if (at) ++wished[*at];
        const auto taken = attempts.empty() ? std::nullopt : second(attempts.front()->first_byte);
        if (taken) ++used[*taken];
        continue;
      }
      if (at && refused(asked, attempts)) ++wished[*at];
      for (const Arrived* a : attempts) share_out(view_.in_work(*a), used);
    }
    BudgetUse out{rule.name, 0, 0, 0};
    for (std::size_t n = 0; n < seconds_; ++n) {
      const bool binds = rule.kind == Spending::kRate ? wished[n] > kBinds * rule.whole : wished[n] > 0;
      if (!binds) continue;
      const double part = used[n] / rule.whole;
      out.least = out.seconds == 0 ? part : std::min(out.least, part);
      out.mean += part;
      ++out.seconds;
    }
    if (out.seconds > 0) out.mean /= out.seconds;
    return out;
  }

  // How much of each second the span takes.
  void share_out(const Span& span, std::vector<double>& into) const {
    for (std::size_t n = 0; n < into.size(); ++n) {
      const Millis from = run_.began + static_cast<double>(n) * kSecond;
      into[n] += std::max(0.0, std::min(span.to, from + kSecond) - std::max(span.from, from)) / kSecond;
    }
  }

  void count_rank(const Asked& asked, std::vector<RankFare>& ranks) const {
    if (asked.sent == 0) return;
    for (std::size_t n = 0; n < ranks.size(); ++n) {
      if (!view_.in_scope(asked, run_.fleet.ranks[n].scope)) continue;
      ++ranks[n].offered;
      ranks[n].taken += !view_.attempts(asked.id).empty();
      ranks[n].in_aim += asked.end == ClientEnd::kAnswered && asked.status == 200 &&
                         asked.ended - asked.intended <= view_.rules_of(asked).aim;
      return;
    }
  }

  KeyMoves moves(const KeyRule& rule) const {
    struct Seen {
      Millis at = 0;
      int unit = -1;  // -1: refused
      bool warm = false;
    };
    std::map<std::string, std::vector<Seen>> by_key;
    for (const Asked& asked : run_.asked) {
      const std::string& key = rule.tenant ? asked.tenant : asked.basket;
      if (key.empty() || !view_.in_scope(asked, rule.scope)) continue;
      const Attempts& attempts = view_.attempts(asked.id);
      if (refused(asked, attempts)) by_key[key].push_back({asked.ended, -1, false});
      for (const Arrived* a : attempts) {
        by_key[key].push_back({a->first_byte, view_.unit_of(*a, rule.to), a->warm});
      }
    }
    KeyMoves out;
    out.name = rule.name;
    out.keys = by_key.size();
    std::map<int, std::size_t> by_unit;
    for (auto& [key, list] : by_key) {
      std::sort(list.begin(), list.end(), [](const Seen& a, const Seen& b) { return a.at < b.at; });
      int unit = -1;
      Millis without = 0;
      for (const Seen& seen : list) {
        if (seen.unit < 0) {
          if (without == 0 && unit >= 0) without = seen.at;
          continue;
        }
        if (without > 0) out.longest_gap = std::max(out.longest_gap, seen.at - without);
        without = 0;
        ++out.sends;
        ++by_unit[seen.unit];
        out.met += unit >= 0;
        out.warm += unit >= 0 && seen.warm;
        out.moves += unit >= 0 && seen.unit != unit;
        unit = seen.unit;
      }
    }
    for (const auto& [unit, sends] : by_unit) {
      out.fullest = std::max(out.fullest, static_cast<double>(sends * by_unit.size()));
    }
    if (out.sends > 0) out.fullest /= static_cast<double>(out.sends);
    return out;
  }

  const RunView view_;
  const Run& run_;
  std::size_t seconds_ = 0;
};

}  // namespace

Together together(const Run& run) { return Figures(run).all(); }

}  // namespace shorelead::lab
