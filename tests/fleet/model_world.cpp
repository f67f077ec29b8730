#include "fleet/model_world.h"

#include <algorithm>
#include <utility>

#include "fleet/division.h"

namespace shorelead::fleet::model {
namespace {

constexpr Millis kGivesUp = 800;  // the client's timeout of a call
constexpr Millis kAsks = 300;     // interval between reads of the plan without a watch
constexpr Millis kControl = 50;   // interval of the control thread
constexpr Millis kTraffic = 40;   // mean interval between two steps of the traffic
constexpr Millis kCopies = 700;   // interval between two copies of the store

template <class T>
std::uint64_t call_of(const T& any) {
  return std::visit(
      [](const auto& machine) {
        return std::visit(
            [](const auto& each) -> std::uint64_t {
              if constexpr (requires { each.call; }) return each.call;
              return 0;
            },
            machine);
      },
      any);
}

}  // namespace

World::World(std::uint64_t seed, const Noise& noise, const Sharing& sharing, std::vector<Budget> budgets)
    : sharing_(sharing),
      budgets_(std::move(budgets)),
      noise_(noise),
      random_(seed),
      checks_(sharing_, budgets_),
      slot_mover_(std::make_shared<SlotMover>()) {}

// Messages to a paused process wait until it is resumed.
void World::to(const std::shared_ptr<Process>& process, std::function<void()> run) {
  if (!process->alive) return;
  if (process->paused) {
    process->waiting.push_back(std::move(run));
  } else {
    run();
  }
}

int World::start(const std::string& name) {
  const auto alive =
      std::count_if(processes_.begin(), processes_.end(), [](const auto& process) { return process->alive; });
  if (alive >= sharing_.most_processes) return -1;
  const int number = count();
  const Clock clock{1 + sharing_.drift * (2 * random_.unit() - 1), 1e6 * random_.unit()};
  const auto process = std::make_shared<Process>(number, name, clock, sharing_, budgets_, slot_mover_,
                                                 checks_, random_.next());
  processes_.push_back(process);
  time_.in(kControl * random_.unit(), [this, process] { control(process); });
  time_.in(kAsks * random_.unit(), [this, process] { ask_plan(process); });
  time_.in(kTraffic * random_.unit(), [this, process] { traffic(process); });
  return number;
}

void World::crash(int number) { process(number)->alive = false; }

void World::leave(int number) {
  const auto process = processes_.at(static_cast<std::size_t>(number));
  to(process, [this, process] { process->member(Leave{}, time_.now(), sender(process)); });
}

void World::pause(int number) {
  if (!process(number)->paused) process(number)->stood = process(number)->now(time_.now());
  process(number)->paused = true;
}

void World::go_on(int number) {
  const auto process = processes_.at(static_cast<std::size_t>(number));
  if (!process->paused || !process->alive) return;
  process->paused = false;
  // The traffic thread may be the first to run.
  process->traffic.spend(process->now(time_.now()), time_.now(), random_);
  std::deque<std::function<void()>> waiting;
  std::swap(waiting, process->waiting);
  for (const auto& run : waiting) run();
}

void World::cut(int number, bool to, bool from) {
  process(number)->cut_to = to;
  process(number)->cut_from = from;
}

void World::demand(int number, double demand) { process(number)->traffic.wish(demand); }

void World::restore(std::size_t back) {
  store_.restore(back, time_.now());
  checks_.store(store_);
}

void World::spoil(StoreState::Text text) {
  store_.spoil_plan(text);
  checks_.store(store_);
}

void World::calm() {
  down_ = false;
  if (store_.state.plan_text == StoreState::Text::kNewer) spoil(StoreState::Text::kGood);
  for (const auto& process : processes_) {
    cut(process->number, false, false);
    go_on(process->number);
  }
  run(2 * sharing_.lease);
}

Millis World::takes() {
  const bool late = random_.unit() < noise_.late;
  return 0.5 + random_.unit() * (late ? sharing_.lease * 2 : 4.5);
}

Process::Send World::sender(const std::shared_ptr<Process>& process) {
  return [this, process](const AnyCall& call) { send(process, call); };
}

void World::send(const std::shared_ptr<Process>& process, const AnyCall& call) {
  const std::uint64_t number = ++numbers_;
  const Millis begun = process->now(time_.now());
  process->asked.insert(number);
  ++calls;
  const int copies = random_.unit() < noise_.doubled ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (process->cut_to || random_.unit() < noise_.lost) continue;
    time_.in(takes() * (i + 1), [=, this] { reach(process, call, number, begun); });
  }
  time_.in(kGivesUp, [=, this] {
    to(process, [=, this] {
      if (process->asked.erase(number) == 0) return;
      const std::uint64_t id = call_of(call);
      const bool member = std::holds_alternative<MemberCall>(call);
      process->answer(
          member ? AnyEvent(MemberEvent(MemberCallLost{id})) : AnyEvent(PlannerEvent(CallLost{id})), begun,
          time_.now(), sender(process));
    });
  });
}

// A call in flight reaches the store even if the process is gone.
void World::reach(const std::shared_ptr<Process>& process, const AnyCall& call, std::uint64_t number,
                  Millis begun) {
  if (down_) return;
  AnyEvent answer;
  if (const auto* member = std::get_if<MemberCall>(&call)) {
    const auto event = store_.execute(*member, time_.now(), process->cluster());
    if (!event) return;
    answer = *event;
  } else {
    const auto event = store_.execute(std::get<PlannerCall>(call), time_.now());
    if (!event) return;
    answer = *event;
  }
  checks_.store(store_);
  come_back(process, answer, number, begun);
}

void World::come_back(const std::shared_ptr<Process>& process, const AnyEvent& event, std::uint64_t number,
                      Millis begun) {
  if (process->cut_from || random_.unit() < noise_.lost) return;
  time_.in(takes(), [=, this] {
    to(process, [=, this] {
      if (number != 0 && process->asked.erase(number) == 0) return;  // timed out, or already answered
      process->answer(event, begun, time_.now(), sender(process));
    });
  });
}

// A range request for the plan and the planner key, as the client sends when its watch is silent.
void World::ask_plan(const std::shared_ptr<Process>& process) {
  if (!process->alive) return;
  time_.in(kAsks * (0.5 + random_.unit()), [this, process] { ask_plan(process); });
  if (process->paused || process->cut_to || random_.unit() < noise_.lost) return;
  const Millis begun = process->now(time_.now());
  time_.in(takes(), [=, this] {
    if (down_) return;
    store_.expire(time_.now());
    const StoreState& state = store_.state;
    if (state.plan && state.plan_text == StoreState::Text::kGood) {
      come_back(process, MemberEvent(PlanSeen{*state.plan, state.plan_modified, store_.header(), begun}), 0,
                begun);
    }
    come_back(process, PlannerEvent(PlannerSeen{state.leader ? state.leader->created : 0}), 0, begun);
  });
}

void World::control(const std::shared_ptr<Process>& process) {
  if (!process->alive) return;
  time_.in(kControl * (0.5 + random_.unit()), [this, process] { control(process); });
  if (process->paused) return;
  const Process::Send send = sender(process);
  process->member(Traffic{process->traffic.state(process->now(time_.now()), time_.now())}, time_.now(), send);
  process->planner(PlannerTick{}, time_.now(), send);
}

void World::traffic(const std::shared_ptr<Process>& process) {
  if (!process->alive) return;
  time_.in(kTraffic * (0.2 + 1.8 * random_.unit()), [this, process] { traffic(process); });
  if (process->paused) return;
  if (random_.unit() < 0.7) process->traffic.take_over(process->now(time_.now()));
  process->traffic.spend(process->now(time_.now()), time_.now(), random_);
  look_at_sums();
}

double World::usable(const std::string& budget) const {
  double sum = 0;
  for (const auto& process : processes_) {
    if (process->alive) sum += process->traffic.usable(budget, process->now(time_.now()));
  }
  return sum;
}

int World::planner() const {
  for (const auto& process : processes_) {
    if (process->alive && !process->paused && process->plans.elected()) return process->number;
  }
  return -1;
}

// Checks the sum of what all processes, including paused ones, could spend now.
void World::look_at_sums() {
  for (const Budget& budget : budgets_) {
    const double sum = usable(budget.name);
    const double most = divisible(budget, sharing_).amount;
    if (sum > most + 1e-6) {
      checks_.fail("usable: " + budget.name + " " + std::to_string(sum) + " of " + std::to_string(most) +
                   " at " + std::to_string(time_.now()));
    }
  }
}

void World::run(Millis span) {
  time_.run(time_.now() + span, [this] {
    if (time_.now() - copied_ >= kCopies) {
      store_.keep_copy();
      copied_ = time_.now();
    }
    return broken().empty();
  });
  store_.expire(time_.now());
}

}  // namespace shorelead::fleet::model
