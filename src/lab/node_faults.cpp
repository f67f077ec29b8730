// What is done to processes: killed, ended, told to read their file anew, made to stand still and go on,
// started late, restarted in turn.
#include <signal.h>

#include <fstream>

#include "lab/nodes.h"

namespace shorelead::lab {
namespace {

constexpr Millis kPlannerLook = 1;  // between two writes of a move lie some milliseconds

}  // namespace

void Nodes::notice(int number, int life) {
  later(experiment_.nodes.notice, [this, number, life] {
    const Node& now = at(number);
    // One that has come back ready meanwhile, or goes on, stays in.
    const bool back = now.life == life ? !now.asked && !now.paused : now.ready;
    if (!back) front_.taken_in[static_cast<std::size_t>(number)] = false;
  });
}

// What the node's file says from now on. One that is broken is put right before the next start.
void Nodes::write_file(int number, const std::string& file) {
  if (file == "moved") at(number).moved = !at(number).moved;
  configure(number);
  if (file == "broken") std::ofstream(path(number, ".json")) << "{ \"name\": ";
}

void Nodes::reload(int number, const Action& action, Millis until) {
  Node& node = at(number);
  if (!node.process.up() || stopping_) return;
  if (action.text >= 0) node.texts = static_cast<std::size_t>(action.text);
  if (!experiment_.nodes.shore.empty() || action.file != "same") write_file(number, action.file);
  event(number, NodeDid::kReloaded);
  node.process.signal(SIGHUP);
  if (action.every <= 0 || clock_now() + action.every >= until) return;
  later(action.every, [this, number, action, until] { reload(number, action, until); });
}

// One after another, also to a process that is ending.
void Nodes::signals(int number, const Action& action, std::size_t next) {
  Node& node = at(number);
  if (next == action.signals.size() || !node.process.up() || stopping_) return;
  if (action.signals[next] == "hup") {
    if (action.file != "same") write_file(number, action.file);
    event(number, NodeDid::kReloaded);
    node.process.signal(SIGHUP);
  } else if (node.asked) {
    node.process.signal(SIGTERM);
  } else {
    term(number, action);
  }
  later(action.every, [this, number, action, next] { signals(number, action, next + 1); });
}

void Nodes::kill_later(int number, Millis wait) {
  later(wait, [this, number, life = at(number).life] {
    Node& node = at(number);
    if (node.life != life || !node.process.up()) return;
    mark("kill node at its end", number);
    event(number, NodeDid::kEnded);
    ended(number, node.process.kill());
  });
}

void Nodes::kill(int number, const Action& action) {
  Node& node = at(number);
  mark("kill node", number);
  node.asked = true;
  event(number, NodeDid::kKilled);
  ended(number, node.process.kill());
  notice(number, node.life);
  if (action.stay_away) return;
  later(action.back, [this, number] {
    if (!stopping_ && !at(number).process.up()) start(number);
  });
}

void Nodes::term(int number, const Action& action) {
  Node& node = at(number);
  mark("restart node", number);
  go_on(number);  // who stands still does not end
  node.asked = true;
  event(number, NodeDid::kTerminated);
  front_.ending[static_cast<std::size_t>(number)] = true;
  node.process.signal(SIGTERM);
  notice(number, node.life);
  if (action.kill_after > 0) kill_later(number, action.kill_after);
  if (!action.stay_away) start_when_gone(number, action.back);
}

void Nodes::pause(int number, const Action& action) {
  Node& node = at(number);
  if (node.paused || node.asked) return;
  mark("pause node", number);
  event(number, NodeDid::kPaused);
  node.process.signal(SIGSTOP);
  node.paused = true;
  if (!action.unnoticed) notice(number, node.life);
  later(action.length, [this, number, life = node.life] {
    if (at(number).life == life) go_on(number);
  });
}

void Nodes::go_on(int number) {
  Node& node = at(number);
  if (!node.paused || !node.process.up()) return;
  node.paused = false;
  node.process.signal(SIGCONT);
  event(number, NodeDid::kWentOn);
  mark("go on node", number);
  look(number, node.life);
}

void Nodes::roll(std::vector<int> left, const Action& action) {
  if (left.empty() || stopping_) return;
  const int number = left.front();
  left.erase(left.begin());
  if (at(number).process.up()) term(number, action);
  later(action.every, [this, left = std::move(left), action] { roll(left, action); });
}

void Nodes::kill_planner(const Action& action, Millis until) {
  if (stopping_ || clock_now() >= until) return;
  const int number = world_.planner(action.holds);
  if (number >= 0 && number < static_cast<int>(nodes_.size()) && at(number).process.up()) {
    mark("kill planner", number);
    return kill(number, action);
  }
  later(kPlannerLook, [this, action, until] { kill_planner(action, until); });
}

void Nodes::act(const Action& action) {
  if (action.kind == Action::Kind::kKillPlanner) {
    return kill_planner(action, clock_now() + action.length);
  }
  if (!action.on_nodes()) return;
  std::vector<int> numbers = action.nodes;
  if (numbers.empty()) {
    for (int number = 0; number < static_cast<int>(nodes_.size()); ++number) numbers.push_back(number);
  }
  if (action.kind == Action::Kind::kRolling) return roll(std::move(numbers), action);
  for (const int number : numbers) {
    const bool up = at(number).process.up();
    if (action.kind == Action::Kind::kNodeStart && !up) {
      mark("start node", number);
      start(number);
    }
    if (!up) continue;
    if (action.kind == Action::Kind::kNodeKill) kill(number, action);
    if (action.kind == Action::Kind::kNodeTerm) term(number, action);
    if (action.kind == Action::Kind::kPause) pause(number, action);
    if (action.kind == Action::Kind::kSignals) signals(number, action, 0);
    if (action.kind != Action::Kind::kNodeReload) continue;
    mark("reload", number);
    reload(number, action, clock_now() + action.length);
  }
}

}  // namespace shorelead::lab
