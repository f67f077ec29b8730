#include "lab/box.h"

#include <algorithm>
#include <cstdio>

#include "lab/box_link.h"

namespace shorelead::lab {
namespace {

constexpr Millis kSweepEvery = 500;

}  // namespace

Box::Box(World& world, int number, const BoxNote& note, const std::vector<std::string>& addresses,
         const std::vector<unsigned short>& ports, bool cold)
    : world_(world),
      number_(number),
      note_(note),
      model_(world.experiment.fleet.spec, note.born, cold),
      met_(static_cast<std::size_t>(world.experiment.fleet.remembers)),
      alarm_(world.context),
      sweep_(world.context) {
  for (std::size_t node = 0; node < addresses.size(); ++node) {
    links_.push_back(std::make_unique<Link>(world, *this, static_cast<int>(node), addresses[node],
                                            node < ports.size() ? ports[node] : 0));
    links_.back()->state_.latency = world.experiment.fleet.latency;
    links_.back()->state_.jitter = world.experiment.fleet.jitter;
  }
}

Box::~Box() = default;

void Box::start() {
  for (const auto& link : links_) link->accept();
  sweep();
}

std::vector<unsigned short> Box::ports() const {
  std::vector<unsigned short> all;
  for (const auto& link : links_) all.push_back(link->port());
  return all;
}

LinkState& Box::link(int node) { return links_.at(static_cast<std::size_t>(node))->state_; }

void Box::hole(int node, bool on) {
  if (!up_) return;
  Link& link = *links_.at(static_cast<std::size_t>(node));
  if (on) {
    for (const auto& connection : link.connections_) {
      if (connection->busy() && connection->line() < world_.ledger.size()) {
        Arrived& record = world_.ledger[connection->line()];
        if (record.hidden == 0) record.hidden = clock_now();
        if (record.end == BoxEnd::kOpen) record.end = BoxEnd::kSwallowed;
      }
    }
  }
  link.hole(on);
}

void Box::take(const std::shared_ptr<Connection>& connection, std::size_t line, Millis extra_work,
               const std::string& basket) {
  Arrived& record = world_.ledger[line];
  if (!up_) return;
  if (draining_since_ > 0 && !world_.experiment.fleet.serves_draining) return connection->turn_away(line);
  record.work =
      world_.experiment.classes[static_cast<std::size_t>(record.request_class)].work.draw(world_.works);
  record.warm = !basket.empty() && met_.knows(basket);
  if (record.warm) record.work *= world_.experiment.fleet.known_work;
  record.work += extra_work;
  const Millis now = clock_now();
  step();
  switch (model_.arrive(now, record.serial, record.work, record.node)) {
    case BoxModel::Verdict::kBegan:
      jobs_[record.serial] = {connection, line};
      if (!basket.empty()) met_.meet(basket);
      begun(line, now);
      break;
    case BoxModel::Verdict::kQueued:
      jobs_[record.serial] = {connection, line};
      if (!basket.empty()) met_.meet(basket);
      break;
    case BoxModel::Verdict::kFull:
      connection->turn_away(line);
      break;
    case BoxModel::Verdict::kFell: {
      Fallen fallen;
      fallen.box = number_;
      fallen.at = now;
      fallen.span = world_.experiment.fleet.spec.fall_span;
      fallen.work = model_.pushed();
      world_.fallen.push_back(std::move(fallen));
      world_.mark(note_.host + " pushed over while cold");
      die();
      return;
    }
  }
  arm();
}

// Its effect takes place now, unless the boxes of its group know its key.
void Box::begun(std::size_t line, Millis at) {
  Arrived& record = world_.ledger[line];
  const ClassRules& rules = world_.experiment.classes[static_cast<std::size_t>(record.request_class)].rules;
  if (rules.effect == Effect::kKeyed && !record.key.empty()) {
    const std::string name = world_.key_group(rules, note_, record.key);
    const auto known = world_.keys.find(name);
    if (known != world_.keys.end() && at < known->second + rules.window) {
      record.repeat = true;
      return;
    }
    world_.keys[name] = at;
  }
  record.began = at;
}

void Box::gone(std::size_t line) {
  Arrived& record = world_.ledger[line];
  record.closed = clock_now();
  if (record.end != BoxEnd::kRejected && record.end != BoxEnd::kSpoilt && record.answered == 0) {
    record.end = BoxEnd::kDropped;
  }
  model_.cancel(record.serial);
  jobs_.erase(record.serial);
  if (up_) arm();
}

void Box::step() {
  for (const BoxModel::Step& step : model_.advance(clock_now())) {
    const auto it = jobs_.find(step.job);
    if (it == jobs_.end()) {
      // Nobody waits for it, but it runs to its end.
      if (!step.done) begun(static_cast<std::size_t>(step.job - 1), step.at);
      continue;
    }
    const Job job = it->second;
    if (!step.done) {
      begun(job.line, step.at);
      continue;
    }
    jobs_.erase(it);
    if (const auto connection = job.connection.lock()) {
      const bool erred = world_.faults.chance(world_.experiment.fleet.error_rate);
      connection->answer(job.line, erred);
    }
  }
}

void Box::arm() {
  const std::optional<Millis> next = model_.next();
  if (!next) return alarm_.cancel();
  alarm_.at(*next, &world_.lateness, [self = shared_from_this()] {
    if (!self->up_) return;
    self->step();
    self->arm();
  });
}

void Box::die() {
  if (!up_) return;
  up_ = false;
  alarm_.cancel();
  sweep_.cancel();
  jobs_.clear();
  for (const auto& link : links_) link->close();
}

void Box::cut(std::size_t line) {
  Arrived& record = world_.ledger[line];
  if (record.answered > 0 || record.closed > 0) return;
  if (record.end == BoxEnd::kOpen || record.end == BoxEnd::kServed || record.end == BoxEnd::kErred) {
    record.end = BoxEnd::kDropped;
  }
  record.closed = clock_now();
}

void Box::drain() { draining_since_ = clock_now(); }
void Box::stall(Millis until) {
  step();
  model_.stall(clock_now(), until);
  stalled_until_ = std::max(stalled_until_, until);
  arm();
}

void Box::slow(double factor) { model_.set_speed(factor); }

BoxModel::Load Box::reported() {
  const Millis now = clock_now();
  if (snapshot_at_ == 0 || now - snapshot_at_ >= world_.experiment.fleet.report_age) {
    snapshot_ = model_.load();
    snapshot_at_ = now;
  }
  return snapshot_;
}

std::string Box::load_field() {
  if (!world_.experiment.fleet.reports) return "";
  const BoxModel::Load load = reported();
  char text[96];
  std::snprintf(text, sizeof text, "X-Server-Load: inflight=%d,queue=%d,util=%.2f\r\n", load.in_hand,
                load.waiting, load.busy);
  return text;
}

void Box::sweep() {
  const Millis now = clock_now();
  for (const auto& link : links_) {
    if (link->state_.hole) continue;
    std::vector<std::shared_ptr<Connection>> old;
    for (const auto& connection : link->connections_) {
      if (connection->idle(now, world_.experiment.fleet.idle_close)) old.push_back(connection);
    }
    for (const auto& connection : old) {
      connection->close_unused();
      link->connections_.erase(connection);
    }
  }
  sweep_.at(now + kSweepEvery, nullptr, [self = shared_from_this()] {
    if (self->up_) self->sweep();
  });
}

}  // namespace shorelead::lab
