#include "fleet/search_node.h"

#include <algorithm>
#include <set>

#include "fleet/division.h"

namespace shorelead::fleet::model {

Sharing search_sharing() {
  Sharing sharing;
  sharing.most_processes = kCells;
  sharing.lease = 3 * kStep;
  sharing.plan_every = kStep;
  return sharing;
}

std::vector<Budget> search_budgets() {
  Budget budget;
  budget.name = "units";
  budget.kind = BudgetKind::kAtOnce;
  budget.whole = 2;
  budget.reserve = 0;
  budget.least_part = 0;
  budget.most_part = 1;
  return {budget};
}

Cell::Cell(int number, const std::shared_ptr<PlanShaper>& shaper)
    : core(std::string(1, static_cast<char>('A' + number)), "z", 1, search_sharing(), search_budgets(),
           static_cast<std::uint64_t>(number) + 1),
      plans(std::string(1, static_cast<char>('A' + number)), search_sharing(), search_budgets(), {shaper},
            static_cast<std::uint64_t>(number) + 11) {}

Node::Node(const std::shared_ptr<PlanShaper>& shaper) : checks(Checks(search_sharing(), search_budgets())) {
  for (int i = 0; i < kCells; ++i) cells.emplace_back(Cell(i, shaper));
}

void Node::member(int process, const MemberEvent& event) {
  Cell& it = own(process);
  MemberOut out = it.core.handle(event, now);
  if (out.publish) it.latest = out.publish;
  it.incarnation = out.incarnation;
  it.valid_until = out.valid_until;
  for (MemberCall& call : out.calls) send(process, std::move(call));
  if (!it.lags && !it.paused) traffic(process);
}

void Node::planner(int process, const PlannerEvent& event) {
  Cell& it = own(process);
  for (const PlannerEvent& each : {PlannerEvent(LeaseValid{it.core.lease(), it.core.lease_until()}), event}) {
    for (PlannerCall& call : it.plans.handle(each, now).calls) send(process, std::move(call));
  }
}

void Node::send(int process, AnyCall call) {
  messages.emplace_back(Message{process, std::move(call), std::nullopt, now});
}

// Calls of processes that are not slow are executed and answered before any other move.
void Node::settle() {
  for (bool more = true; more;) {
    more = false;
    for (int i = 0; i < kCells; ++i) more = (!cell(i).slow && look(i)) || more;
    for (std::size_t i = 0; i < messages.size() && !more; ++i) {
      more = !cell(messages[i]->process).slow && hears(messages[i]->process) && !messages[i]->given_up &&
             deliver(i);
    }
  }
}

std::optional<AnyEvent> Node::execute(const AnyCall& call) {
  std::optional<AnyEvent> event;
  if (const auto* member = std::get_if<MemberCall>(&call)) {
    if (auto done = store.own().execute(*member, now, store->state.cluster)) event = std::move(*done);
  } else if (auto done = store.own().execute(std::get<PlannerCall>(call), now)) {
    event = std::move(*done);
  }
  checks.own().store(*store);
  return event;
}

void Node::answer(int process, const AnyEvent& event, Millis begun) {
  if (const auto* answer = std::get_if<MemberEvent>(&event)) {
    member(process, *answer);
    planner(process, HistoryObserved{store->header(), begun});
  } else {
    planner(process, std::get<PlannerEvent>(event));
  }
}

bool Node::deliver(std::size_t i) {
  const Message message = *messages[i];
  if (message.answer) {
    if (!hears(message.process)) return false;
    messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(i));
    answer(message.process, *message.answer, message.begun);
    return true;
  }
  std::optional<AnyEvent> event = execute(message.call);
  if (!event && !message.given_up && hears(message.process)) return give_up(i);
  if (!event || message.given_up || !cell(message.process).there) {
    messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(i));
  } else {
    messages[i].own().answer = std::move(event);
  }
  return true;
}

bool Node::twice(std::size_t i) {
  if (messages[i]->answer || messages[i]->given_up) return false;
  Message again = *messages[i];
  again.given_up = true;
  deliver(i);
  messages.emplace_back(std::move(again));
  return true;
}

bool Node::give_up(std::size_t i) {
  const Message message = *messages[i];
  const int process = message.process;
  if (message.given_up || !hears(process)) return false;
  std::uint64_t id = 0;
  const auto call = [&id](const auto& each) { id = each.call; };
  const bool core = std::holds_alternative<MemberCall>(message.call);
  std::visit([&](const auto& machine) { std::visit(call, machine); }, message.call);
  if (id == 0) return false;  // a watch
  if (message.answer) {
    messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(i));
  } else {
    messages[i].own().given_up = true;
  }
  if (core) {
    member(process, MemberCallLost{id});
  } else {
    planner(process, CallLost{id});
  }
  return true;
}

// The process's traffic takes over the latest snapshots until there is no newer one.
void Node::traffic(int process) {
  Cell& it = own(process);
  while (it.there && it.taken != it.latest) {
    it.taken = it.latest;
    TrafficState state;
    state.generation = it.taken->generation;
    state.demand["units"] = state.spent["units"] = it.demand;
    member(process, Traffic{state});
  }
}

bool Node::lag(int process) {
  if (!hears(process) || cell(process).lags) return false;
  return own(process).lags = true;
}

bool Node::take_over(int process) {
  if (!hears(process) || cell(process).taken == cell(process).latest) return false;
  traffic(process);
  return true;
}

bool Node::look(int process) {
  if (!look_late(process)) return false;
  return deliver(messages.size() - 1);
}

bool Node::look_late(int process) {
  if (!hears(process) || !store->state.plan || cell(process).looked == store->state.plan_modified)
    return false;
  own(process).looked = store->state.plan_modified;
  const PlanSeen seen{*store->state.plan, store->state.plan_modified, store->header(), now};
  messages.emplace_back(Message{process, MemberCall(RenewLease{}), AnyEvent(MemberEvent(seen)), now});
  return true;
}

bool Node::kill(int process) {
  if (!cell(process).there) return false;
  own(process).there = false;
  for (std::size_t i = messages.size(); i-- > 0;) {
    if (messages[i]->process != process) continue;
    messages[i].own().given_up = true;
    if (messages[i]->answer) messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return true;
}

bool Node::pause(int process) {
  if (!hears(process)) return false;
  return own(process).paused = true;
}

bool Node::go_on(int process) {
  if (!cell(process).there || !cell(process).paused) return false;
  own(process).paused = false;
  return true;
}

bool Node::slow_down(int process) {
  if (!hears(process) || cell(process).slow) return false;
  return own(process).slow = true;
}

void Node::advance() {
  now += kStep;
  store.own().expire(now);
  checks.own().store(*store);
  for (int i = 0; i < kCells; ++i) {
    if (!hears(i)) continue;
    TrafficState state;
    state.generation = cell(i).taken->generation;
    state.demand["units"] = state.spent["units"] = cell(i).demand;
    member(i, Traffic{state});
    planner(i, PlannerTick{});
  }
}

bool Node::usable(const Cell& cell) const {
  return cell.there && cell.taken->incarnation != 0 && cell.taken->incarnation == cell.incarnation &&
         now < cell.valid_until;
}

double Node::units() const {
  double units = 0;
  for (int i = 0; i < kCells; ++i) {
    const Cell& it = cell(i);
    const auto part = it.taken->parts.find("units");
    if (usable(it) && part != it.taken->parts.end()) units += part->second.amount;
  }
  return units;
}

void Node::judge() {
  std::set<std::string> backends;
  for (int i = 0; i < kCells; ++i) {
    const Cell& it = cell(i);
    const auto map = it.taken->affinity.find("rule");
    if (!usable(it) || map == it.taken->affinity.end()) continue;
    if (map->second.slots[0].open) backends.insert(map->second.slots[0].backend);
  }
  if (units() > 2) checks.own().fail("usable: " + std::to_string(units()) + " of 2 units");
  if (backends.size() > 1) checks.own().fail("the key may be sent to two boxes");
}

}  // namespace shorelead::fleet::model
