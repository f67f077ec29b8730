#include "node/affinity_text.h"

#include <fmt/format.h>

#include <array>

#include "affinity/condition.h"

namespace shorelead::node {
namespace {

using affinity::KeySource;
using affinity::Rule;

constexpr std::array kUnits = {"box", "cell", "zone"};

std::string describe_key(const KeySource& key) {
  switch (key.from) {
    case KeySource::From::kField:
      return "header " + key.name;
    case KeySource::From::kCookie:
      return "cookie " + key.name;
    case KeySource::From::kPart:
      return fmt::format("part {} of the path", key.part);
    case KeySource::From::kParameter:
      return "parameter {" + key.name + "}";
    case KeySource::From::kTenant:
      return "tenant";
  }
  return "";
}

}  // namespace

void explain_affinity(const std::vector<Rule>& rules, const affinity::Request& request, std::ostream& out) {
  const auto found = affinity::find(rules, request);
  if (!found) {
    if (!rules.empty()) out << "affinity: no rule takes it\n";
    return;
  }
  const Rule& rule = rules[found->rule];
  out << "affinity " << rule.name << " (" << rule.place << "): by " << describe_key(rule.key);
  if (!found->keyed) {
    out << ", which it has not: it goes as without the rule\n";
    return;
  }
  const char* const unit = kUnits[static_cast<std::size_t>(rule.to)];
  out << " \"" << affinity::key_of(rule.key, request) << "\", slot "
      << affinity::slot_of(found->key, rule.slots) << " of " << rule.slots
      << (rule.must ? ": only to the " : ": rather to the ") << unit << " that has it in the plan\n";
  if (!rule.must) return;
  out << "while the slot moves: it waits " << rule.wait
      << " ms at most, then it is refused; without a plan in "
      << "force it is refused\n";
}

void add_affinity_fields(const std::vector<Rule>& rules, std::map<std::string, std::string>& fields) {
  std::string order;
  for (const Rule& rule : rules) {
    order.append(order.empty() ? "" : " ").append(rule.name);
    const auto put = [&](const char* what, std::string value) {
      fields["affinity " + rule.name + ": " + what] = std::move(value);
    };
    const std::string when = affinity::text_of(rule.when);
    put("when", when.empty() ? "always" : when);
    put("keys", fmt::format("by {} to a {} (map {})", describe_key(rule.key),
                            kUnits[static_cast<std::size_t>(rule.to)], affinity::map_name(rule)));
    put("must", rule.must ? "yes" : "no");
    put("hold", rule.on_loss == affinity::OnLoss::kRefuse ? fmt::format("{} ms", rule.hold) : "none");
    put("on_drain",
        rule.on_drain == affinity::OnDrain::kMove ? "move" : fmt::format("finish within {} ms", rule.finish));
    put("on_loss", rule.on_loss == affinity::OnLoss::kMove ? "move" : "refuse");
    put("bound", fmt::format("{} %", rule.bound * 100));
    put("slots", fmt::format("{}", rule.slots));
    put("wait", rule.must ? fmt::format("{} ms", rule.wait) : "none");
  }
  if (rules.size() > 1) fields["affinity: order"] = order;
}

}  // namespace shorelead::node
