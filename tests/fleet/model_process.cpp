#include "fleet/model_process.h"

namespace shorelead::fleet::model {

Process::Process(int number, const std::string& name, const Clock& clock, const Sharing& sharing,
                 const std::vector<Budget>& budgets, const std::shared_ptr<PlanShaper>& shaper,
                 Checks& checks, std::uint64_t seed)
    : number(number),
      name(name),
      core(name, "z", 1, sharing, budgets, seed),
      plans(name, sharing, budgets, {shaper}, seed + 1),
      traffic(budgets, sharing, number, checks),
      clock_(clock) {}

void Process::member(const MemberEvent& event, Millis at, const Send& send) {
  MemberOut out = core.handle(event, now(at));
  if (out.publish) traffic.publish(out.publish);
  traffic.set_validity(out.incarnation, out.valid_until);
  for (const MemberCall& call : out.calls) send(AnyCall(call));
}

void Process::planner(const PlannerEvent& event, Millis at, const Send& send) {
  for (const PlannerEvent& each : {PlannerEvent(LeaseValid{core.lease(), core.lease_until()}), event}) {
    for (const PlannerCall& call : plans.handle(each, now(at)).calls) send(AnyCall(call));
  }
}

namespace {

Header header_of(const AnyEvent& event) {
  const auto header = [](const auto& each) {
    if constexpr (requires { each.header; }) return each.header;
    return Header{};
  };
  return std::visit([&](const auto& machine) { return std::visit(header, machine); }, event);
}

}  // namespace

void Process::answer(const AnyEvent& event, Millis begun, Millis at, const Send& send) {
  const Header header = header_of(event);
  if (header.cluster != 0) heard_ = header.cluster;
  if (const auto* answer = std::get_if<MemberEvent>(&event)) {
    member(*answer, at, send);
    if (header.cluster != 0) planner(HistoryObserved{header, begun}, at, send);
  } else {
    if (header.cluster != 0) member(HeaderObserved{header, begun}, at, send);
    planner(std::get<PlannerEvent>(event), at, send);
  }
}

}  // namespace shorelead::fleet::model
