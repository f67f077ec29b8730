#include "fleet/record_reading.h"

#include <utility>

namespace shorelead::fleet {

AllRead read_all(const membership::registry::TxnAnswer& answer,
                 const std::function<void(const std::string&)>& trouble) {
  AllRead all{};
  const membership::registry::Page& planner = answer.pages[0];
  const membership::registry::Page& plan = answer.pages[1];
  const membership::registry::Page& members = answer.pages[2];
  if (!planner.items.empty()) all.planner_created = planner.items[0].created;
  std::string cause;
  if (!plan.items.empty()) {
    all.plan_modified = plan.items[0].revision;
    all.plan = parse_plan(plan.items[0].value, cause);
    if (!all.plan) {
      all.newer_form = cause.find("is newer than") != std::string::npos;
      trouble("the plan cannot be parsed: " + cause);
    }
  }
  all.records.reserve(members.items.size());
  for (const auto& item : members.items) {
    auto record = parse_record(item.value, cause);
    if (record) {
      all.records.push_back(std::move(*record));
    } else {
      ++all.unreadable;
      trouble("the record at " + item.key + " cannot be parsed: " + cause);
    }
  }
  return all;
}

}  // namespace shorelead::fleet
