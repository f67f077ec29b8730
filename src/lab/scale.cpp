#include "lab/scale.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <optional>
#include <queue>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "lab/box_model.h"
#include "lab/draw.h"
#include "lab/histogram.h"
#include "lab/subset_ways.h"
#include "policy/policy.h"
#include "subset/subset.h"

namespace shorelead::lab {
namespace {

constexpr Millis kOneWay = 0.5;          // between any node and any box
constexpr Millis kConnectTimeout = 200;  // to a box that says nothing
constexpr Millis kProbeWait = 250;
constexpr Millis kListLate = 1000;    // from a change to the list that tells it
constexpr Millis kListSpread = 1000;  // over which the nodes hear of it
constexpr Millis kGrace = 250;
constexpr Millis kDrain = 2000;  // from draining to gone
constexpr Millis kAim = 400;
constexpr Millis kDeadline = 1000;
constexpr Millis kWarmUp = 9000;
constexpr Millis kStart = 1e6;          // the simulated clock at the beginning
constexpr double kTroubleAt = 1.0 / 3;  // of the run
constexpr Millis kSettle = 5000;        // at the start, not counted in the figures before the trouble
constexpr double kGoodSecond = 0.95;

enum class Kind : std::uint8_t {
  kArrival,
  kTimer,
  kAtBox,
  kBoxStep,
  kAnswer,
  kStop,
  kProbe,
  kSettle,
  kTrouble,
  kList,
  kSecond
};

struct Due {
  Millis at = 0;
  std::uint64_t order = 0;
  Kind kind = Kind::kArrival;
  std::uint32_t who = 0;    // node or box
  std::uint64_t what = 0;   // attempt, cookie, backend
  std::uint64_t extra = 0;  // age of what it is about; nothing happens if that is over
  bool operator<(const Due& o) const { return at != o.at ? at > o.at : order > o.order; }
};

struct ModelBox {
  ModelBox(const BoxSpec& spec, Millis born, bool cold) : model(spec, born, cold) {}
  BoxModel model;
  std::string id;
  std::uint64_t key = 0;
  int zone = 0;
  double speed = 1;
  Millis born = 0;
  bool draining = false;
  bool dead = false;    // and its listener with it: silent
  bool fallen = false;  // so that it is counted once
  std::uint64_t steps = 0;
  std::uint64_t taken = 0;
  std::uint64_t probed = 0;
  std::vector<std::uint64_t> jobs;  // attempts in its hands
};

struct ModelAttempt {
  std::uint64_t age = 0;
  std::uint32_t node = 0;
  std::uint32_t life = 0;  // of the node
  RequestId request = 0;
  int number = 0;
  BackendId backend = 0;
  std::uint32_t box = 0;
  Millis sent = 0;
  bool open = false;
  bool arrived = false;
  Outcome outcome = Outcome::kServed;
  LoadReport load;
};

struct ModelRequest {
  Millis due = 0;
  Millis asked = 0;
  int attempts = 0;
  bool over = false;
  int out = 0;
  double work = 0;
};

struct ModelNode {
  std::unique_ptr<Policy> policy;
  std::unique_ptr<subset::Subset> subset;  // for shards
  std::uint32_t life = 0;
  std::vector<std::uint32_t> box_of;                       // by backend
  std::unordered_map<std::uint32_t, BackendId> number_of;  // by box
  std::unordered_map<std::uint32_t, Millis> told;          // boxes that it may not send to any more
  std::vector<std::uint32_t> members;                      // by box, sorted; for the other ways
  std::unordered_map<RequestId, ModelRequest> requests;
  std::unordered_map<std::uint64_t, std::uint64_t> attempts;  // request and number -> attempt
  RequestId last = 0;
  bool settling = false;
};

class Model {
 public:
  explicit Model(const ScaleOptions& options)
      : o_(options),
        draws_(options.seed, "scale"),
        works_(options.seed, "work"),
        fleet_(std::make_shared<subset::Fleet>(subset_options())) {
    const auto& ways = subset_ways();
    if (o_.way != "lots" && o_.way != "no index" && o_.way != "whole") {
      const auto it =
          std::find_if(ways.begin(), ways.end(), [this](const auto& w) { return w.first == o_.way; });
      if (it == ways.end())
        throw std::invalid_argument("no way of choosing subsets is called \"" + o_.way + "\"");
      way_ = &it->second;
    }
    const std::array<const char*, 7> troubles = {"", "none", "zone", "deploy", "double", "restart", "flap"};
    if (std::find(troubles.begin(), troubles.end(), o_.trouble) == troubles.end()) {
      throw std::invalid_argument("no trouble is called \"" + o_.trouble + "\"");
    }
  }

  ScaleResult play() {
    now_ = kStart;
    for (int n = 0; n < o_.boxes; ++n) add_box(n < o_.boxes * o_.skew ? 0 : 1 + n % 2, n, false);
    for (int n = 0; n < o_.nodes; ++n) add_node();
    plan(kStart, Kind::kArrival, 0, 0, 0);
    plan(kStart + 1000, Kind::kSecond, 0, 0, 0);
    const Millis end = kStart + o_.seconds * 1000;
    const Millis trouble = kStart + o_.seconds * 1000 * kTroubleAt;
    plan(trouble, Kind::kTrouble, 0, 0, 0);
    while (!due_.empty() && due_.top().at < end) {
      const Due due = due_.top();
      due_.pop();
      now_ = due.at;
      ++result_.events;
      happen(due);
    }
    result_.p50 = times_.quantile(0.5);
    result_.p99 = times_.quantile(0.99);
    result_.churn /= static_cast<double>(nodes_.size());
    return result_;
  }

 private:
  subset::Options subset_options() const {
    subset::Options options;
    options.target = o_.size;
    options.min_holders = o_.least_holders;
    if (o_.way == "whole") options.divide_above = 1 << 30;
    return options;
  }

  subset::Place place(std::uint32_t node) const {
    subset::Place p;
    p.name = subset::hash_of("node-" + std::to_string(node));
    p.nodes = stated_nodes_;
    if (o_.way == "lots") p.index = static_cast<int>(node);
    return p;
  }

  void plan(Millis at, Kind kind, std::uint32_t who, std::uint64_t what, std::uint64_t extra) {
    due_.push({at, ++order_, kind, who, what, extra});
  }

  // ---- the world ----

  double speed_of(int n) const {
    return o_.three_sizes ? std::array{0.5, 1.0, 2.0}[static_cast<std::size_t>(n % 3)] : 1;
  }

  std::uint32_t add_box(int zone, int n, bool cold) {
    BoxSpec spec;
    spec.speed = speed_of(n);
    spec.queue = 16;
    spec.cold_from = 0.3;
    spec.warm_up = kWarmUp;
    spec.fall_multiple = 3;
    spec.fall_span = 1000;
    boxes_.emplace_back(spec, now_, cold);
    ModelBox& box = boxes_.back();
    box.id = "box-" + std::to_string(boxes_.size());
    box.key = subset::hash_of(box.id);
    box.zone = zone;
    box.speed = spec.speed;
    box.born = cold ? now_ : 0;
    const auto number = static_cast<std::uint32_t>(boxes_.size() - 1);
    by_id_[box.id] = number;
    by_key_[box.key] = number;
    if (cold) {
      tell(number, BackendState::kReady);
    } else {
      fleet_->put({box.id, zone, box.speed, true});
    }
    return number;
  }

  void add_node() {
    const auto n = static_cast<std::uint32_t>(nodes_.size());
    stated_nodes_ = std::max(stated_nodes_, static_cast<int>(n) + 1);
    if (n + 1 <= static_cast<std::uint32_t>(o_.nodes)) stated_nodes_ = o_.nodes;
    nodes_.emplace_back();
    if (!way_) nodes_.back().subset = std::make_unique<subset::Subset>(fleet_, place(n));
    start_node(n);
  }

  void start_node(std::uint32_t n) {
    ModelNode& node = nodes_[n];
    ++node.life;
    result_.lost += static_cast<std::uint64_t>(std::count_if(node.requests.begin(), node.requests.end(),
                                                             [](const auto& r) { return !r.second.over; }));
    node.requests.clear();
    node.attempts.clear();
    Settings s;
    RequestClass c;
    c.effect = Effect::kSafe;
    c.aim = kAim;
    c.deadline = kDeadline;
    s.classes = {c};
    s.instances = stated_nodes_;
    s.max_attempts = 5;
    s.connect_timeout = kConnectTimeout;
    s.warm_up = kWarmUp;
    s.cold_share = 0.3;
    s.fall_multiple = 3;
    s.fall_span = 1000;
    s.sizes_listed = true;
    s.max_probes_per_backend = o_.probes_per_box;
    node.policy = std::make_unique<Policy>(s, draws_.whole(std::uint64_t{1} << 62));
    feed(n, Started{});
    const auto members = members_of(n);
    const bool again = node.life > 1;
    if (again) {
      // It knows what it knew: the list it had, all members anew.
      node.box_of.clear();
      node.number_of.clear();
      node.members.clear();
    }
    take(n, members, ListKind::kStored);
  }

  // A change of the fleet reaches the list late, and each node at a moment of its own.
  void tell(std::uint32_t box, BackendState state) {
    plan(now_ + kListLate, Kind::kList, box, static_cast<std::uint64_t>(state), 0);
  }

  void listed(std::uint32_t number, BackendState state) {
    const ModelBox& box = boxes_[number];
    if (state == BackendState::kGone) {
      fleet_->remove(box.id);
    } else {
      fleet_->put({box.id, box.zone, box.speed, state == BackendState::kReady});
    }
    settle_all();
  }

  void settle_all() {
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
      if (std::exchange(nodes_[n].settling, true)) continue;
      plan(now_ + draws_.uniform(0, 1) * kListSpread, Kind::kSettle, n, 0, 0);
    }
  }

  // ---- subsets ----

  std::vector<std::uint32_t> members_of(std::uint32_t n) {
    std::vector<std::uint32_t> members;
    if (!way_) {
      nodes_[n].subset->update();
      for (const std::string& id : nodes_[n].subset->members()) members.push_back(by_id_.at(id));
    } else {
      draw_ways();
      for (const std::uint64_t key : drawn_[n]) members.push_back(by_key_.at(key));
    }
    std::sort(members.begin(), members.end());
    return members;
  }

  // The other ways draw for all nodes at once, from all that are ready.
  void draw_ways() {
    if (drawn_version_ == fleet_->version() && drawn_.size() == static_cast<std::size_t>(stated_nodes_))
      return;
    drawn_version_ = fleet_->version();
    Backends ready;
    for (const subset::Fleet::Entry& entry : fleet_->backends()) {
      if (entry.ready) ready.push_back(entry.backend);
    }
    drawn_ = (*way_)(ready, stated_nodes_, std::min(o_.size, static_cast<int>(ready.size())));
  }

  double holders(std::uint32_t n) const {
    if (!way_) return subset::holders(place(n), nodes_[n].subset->shards());
    const double mean = static_cast<double>(stated_nodes_) * o_.size / static_cast<double>(fleet_->size());
    return std::ceil(mean);
  }

  // Tells the node's module what has changed in its subset.
  void take(std::uint32_t n, const std::vector<std::uint32_t>& members, ListKind kind) {
    ModelNode& node = nodes_[n];
    ListUpdate update;
    update.kind = kind;
    update.sharing = holders(n);
    std::vector<std::uint32_t> added;
    std::vector<std::uint32_t> removed;
    std::set_difference(members.begin(), members.end(), node.members.begin(), node.members.end(),
                        std::back_inserter(added));
    std::set_difference(node.members.begin(), node.members.end(), members.begin(), members.end(),
                        std::back_inserter(removed));
    for (const std::uint32_t box : removed) {
      update.entries.push_back(entry(node, box, BackendState::kGone));
      node.told[box] = now_;
    }
    for (const std::uint32_t box : added) {
      update.entries.push_back(entry(node, box, BackendState::kReady));
      node.told.erase(box);
    }
    if (kind == ListKind::kDelta) result_.churn += static_cast<double>(added.size());
    node.members = members;
    feed(n, update);
  }

  BackendEntry entry(ModelNode& node, std::uint32_t number, BackendState state) {
    const auto [it, fresh] = node.number_of.try_emplace(number, static_cast<BackendId>(node.box_of.size()));
    if (fresh) node.box_of.push_back(number);
    const ModelBox& box = boxes_[number];
    BackendEntry e;
    e.backend = it->second;
    e.state = state;
    e.zone = box.zone;
    e.started = box.born;
    e.size = box.speed;
    return e;
  }

  // ---- events ----

  void happen(const Due& due) {
    switch (due.kind) {
      case Kind::kArrival:
        return arrival();
      case Kind::kTimer:
        if (nodes_[due.who].life == due.extra) feed(due.who, TimerFired{due.what});
        return;
      case Kind::kAtBox:
        return at_box(due);
      case Kind::kBoxStep:
        if (boxes_[due.who].steps == due.extra) advance(due.who);
        return;
      case Kind::kAnswer:
        return answer(due);
      case Kind::kStop:
        return stop(due);
      case Kind::kProbe:
        return probe_back(due);
      case Kind::kSettle:
        nodes_[due.who].settling = false;
        return take(due.who, members_of(due.who), ListKind::kDelta);
      case Kind::kTrouble:
        return trouble(due);
      case Kind::kList:
        return listed(due.who, static_cast<BackendState>(due.what));
      case Kind::kSecond:
        return second();
    }
  }

  void arrival() {
    const double rate = o_.per_box * o_.boxes / 1000;
    plan(now_ + -std::log(1 - draws_.uniform(0, 1)) / rate, Kind::kArrival, 0, 0, 0);
    const auto n = static_cast<std::uint32_t>(draws_.uniform(0, 1) * static_cast<double>(nodes_.size()));
    ModelNode& node = nodes_[n];
    const RequestId id = ++node.last;
    ModelRequest& r = node.requests[id];
    r.asked = now_;
    r.due = now_ + kDeadline;
    r.work = -std::log(1 - works_.uniform(0, 1)) * o_.work;
    ++result_.asked;
    ++asked_now_;
    RequestArrived arrived;
    arrived.request = id;
    arrived.due = r.due;
    feed(n, arrived);
  }

  static std::uint64_t key_of(RequestId request, int number) {
    return (static_cast<std::uint64_t>(request) << 8) | static_cast<std::uint64_t>(number);
  }

  void feed(std::uint32_t n, const Event& event) {
    ModelNode& node = nodes_[n];
    std::vector<shorelead::Action> actions;
    node.policy->handle(event, now_, actions);
    for (const shorelead::Action& action : actions) perform(n, action);
  }

  void perform(std::uint32_t n, const shorelead::Action& action) {
    ModelNode& node = nodes_[n];
    if (const auto* send = std::get_if<SendAttempt>(&action)) {
      this->send(n, *send);
    } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
      ModelBox& box = boxes_[node.box_of[probe->backend]];
      ++box.probed;
      const bool answers = !box.dead && !box.model.fallen();
      plan(now_ + (answers ? 2 * kOneWay : kProbeWait), Kind::kProbe, n, probe->backend, node.life);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      plan(timer->at, Kind::kTimer, n, timer->cookie, node.life);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      over(n, refuse->request, result_.refused);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      over(n, fail->request, result_.failed);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      const auto it = node.attempts.find(key_of(cancel->request, cancel->attempt));
      if (it != node.attempts.end()) call_off(it->second);
    }
  }

  void over(std::uint32_t n, RequestId request, std::uint64_t& count) {
    ModelNode& node = nodes_[n];
    const auto it = node.requests.find(request);
    if (it == node.requests.end() || it->second.over) return;
    it->second.over = true;
    ++count;
    if (it->second.out == 0) node.requests.erase(it);
  }

  std::uint64_t new_attempt() {
    if (free_.empty()) {
      free_.push_back(attempts_.size());
      attempts_.emplace_back();
    }
    const std::uint64_t slot = free_.back();
    free_.pop_back();
    ModelAttempt fresh;
    fresh.age = attempts_[slot].age + 1;
    attempts_[slot] = fresh;
    return slot;
  }

  void send(std::uint32_t n, const SendAttempt& send) {
    ModelNode& node = nodes_[n];
    ModelRequest& r = node.requests.at(send.request);
    const std::uint64_t slot = new_attempt();
    ModelAttempt& a = attempts_[slot];
    a.node = n;
    a.life = node.life;
    a.request = send.request;
    a.number = r.attempts++;
    a.backend = send.backend;
    a.box = node.box_of[send.backend];
    a.sent = now_;
    a.open = true;
    ++r.out;
    ++result_.attempts;
    node.attempts[key_of(send.request, a.number)] = slot;
    const auto told = node.told.find(a.box);
    if (told != node.told.end() && now_ - told->second > kGrace) ++result_.after_grace;
    plan(send.stop_at > 0 ? std::min(send.stop_at, r.due) : r.due, Kind::kStop, n, slot, a.age);
    plan(now_ + kOneWay, Kind::kAtBox, a.box, slot, a.age);
  }

  void at_box(const Due& due) {
    ModelAttempt& a = attempts_[due.what];
    if (a.age != due.extra || !a.open) return;
    if (nodes_[a.node].life != a.life) return;
    ModelBox& box = boxes_[a.box];
    if (box.dead || box.model.fallen()) {
      // A machine that is gone says nothing: the connection never comes up.
      if (box.dead) return back(due.what, Outcome::kNoConnection, kConnectTimeout);
      return back(due.what, Outcome::kNoConnection, 0);
    }
    if (box.draining) return back(due.what, Outcome::kRejected, 0);
    ModelRequest& r = nodes_[a.node].requests.at(a.request);
    const BoxModel::Verdict verdict = box.model.arrive(now_, due.what, r.work, static_cast<int>(a.node));
    if (verdict == BoxModel::Verdict::kFull) return back(due.what, Outcome::kRejected, 0);
    if (verdict == BoxModel::Verdict::kFell) {
      if (!std::exchange(box.fallen, true)) ++result_.fallen;
      const std::vector<std::uint64_t> jobs = std::exchange(box.jobs, {});
      for (const std::uint64_t job : jobs) back(job, Outcome::kConnectionLost, 0);
      return back(due.what, Outcome::kConnectionLost, 0);
    }
    a.arrived = true;
    ++box.taken;
    box.jobs.push_back(due.what);
    wake(a.box);
  }

  // What the box says goes back to the node.
  void back(std::uint64_t slot, Outcome outcome, Millis later) {
    ModelAttempt& a = attempts_[slot];
    a.outcome = outcome;
    a.load = load_of(a.box);
    plan(now_ + later + kOneWay, Kind::kAnswer, a.node, slot, a.age);
  }

  LoadReport load_of(std::uint32_t box) const {
    const BoxModel::Load load = boxes_[box].model.load();
    LoadReport report;
    report.in_hand = load.in_hand;
    report.waiting = load.waiting;
    report.busy = load.busy;
    return report;
  }

  void wake(std::uint32_t number) {
    ModelBox& box = boxes_[number];
    const std::optional<Millis> next = box.model.next();
    ++box.steps;
    if (next) plan(std::max(now_, *next), Kind::kBoxStep, number, 0, box.steps);
  }

  void advance(std::uint32_t number) {
    ModelBox& box = boxes_[number];
    for (const BoxModel::Step& step : box.model.advance(now_)) {
      if (!step.done) continue;
      std::erase(box.jobs, step.job);
      if (!attempts_[step.job].open) {
        free_.push_back(step.job);  // nobody waits for it any more
        continue;
      }
      if (!box.dead) back(step.job, Outcome::kServed, 0);
    }
    wake(number);
  }

  void answer(const Due& due) {
    ModelAttempt& a = attempts_[due.what];
    if (a.age == due.extra && a.open) finish(due.what, a.outcome);
  }

  void stop(const Due& due) {
    ModelAttempt& a = attempts_[due.what];
    if (a.age != due.extra || !a.open) return;
    ModelBox& box = boxes_[a.box];
    const bool unconnected = box.dead && !a.arrived;
    if (a.arrived && box.model.cancel(due.what)) std::erase(box.jobs, due.what);
    finish(due.what, unconnected ? Outcome::kNoConnection : Outcome::kNoAnswer);
  }

  void call_off(std::uint64_t slot) {
    ModelAttempt& a = attempts_[slot];
    if (!a.open) return;
    if (a.arrived && boxes_[a.box].model.cancel(slot)) std::erase(boxes_[a.box].jobs, slot);
    finish(slot, Outcome::kCancelled);
  }

  void finish(std::uint64_t slot, Outcome outcome) {
    const ModelAttempt a = attempts_[slot];
    ModelNode& node = nodes_[a.node];
    attempts_[slot].open = false;
    attempts_[slot].age += 1;
    // A box that still works on it tells of a job that nobody knows: its slot is not used again before.
    const auto& jobs = boxes_[a.box].jobs;
    if (std::find(jobs.begin(), jobs.end(), slot) == jobs.end()) free_.push_back(slot);
    if (node.life != a.life) return;
    node.attempts.erase(key_of(a.request, a.number));
    const auto it = node.requests.find(a.request);
    if (it == node.requests.end()) return;
    ModelRequest& r = it->second;
    --r.out;
    AttemptEnded ended;
    ended.request = a.request;
    ended.backend = a.backend;
    ended.attempt = a.number;
    ended.outcome = outcome;
    ended.elapsed = now_ - a.sent;
    ended.has_report = outcome == Outcome::kServed || outcome == Outcome::kRejected;
    ended.report = a.load;
    if (outcome == Outcome::kServed && !r.over) {
      r.over = true;
      times_.note(now_ - r.asked);
      if (now_ - r.asked <= kAim) {
        ++result_.served;
        ++served_now_;
      } else {
        ++result_.failed;
      }
    }
    ended.request_over = r.over;
    note_silence(node, a.box, outcome);
    if (r.over && r.out == 0) node.requests.erase(it);
    feed(a.node, ended);
  }

  // As the node does: three silences in a row, and a member counts as no capacity.
  void note_silence(ModelNode& node, std::uint32_t box, Outcome outcome) {
    if (!node.subset || outcome == Outcome::kCancelled) return;
    const bool silent = outcome == Outcome::kNoAnswer || outcome == Outcome::kNoConnection;
    const std::uint64_t key = (static_cast<std::uint64_t>(&node - nodes_.data()) << 32) | box;
    if (!silent) {
      if (silences_.erase(key) > 0) answering(node, box, true);
      return;
    }
    if (++silences_[key] == 3) answering(node, box, false);
  }

  void answering(ModelNode& node, std::uint32_t box, bool answers) {
    node.subset->set_answering(boxes_[box].id, answers);
    if (std::exchange(node.settling, true)) return;
    plan(now_ + 100, Kind::kSettle, static_cast<std::uint32_t>(&node - nodes_.data()), 0, 0);
  }

  void probe_back(const Due& due) {
    ModelNode& node = nodes_[due.who];
    if (node.life != due.extra) return;
    const std::uint32_t number = node.box_of[due.what];
    const ModelBox& box = boxes_[number];
    ProbeEnded ended;
    ended.backend = static_cast<BackendId>(due.what);
    const bool answers = !box.dead && !box.model.fallen();
    ended.outcome = answers ? Outcome::kServed : Outcome::kNoAnswer;
    ended.elapsed = answers ? 2 * kOneWay : kProbeWait;
    ended.has_report = answers;
    ended.report = load_of(number);
    note_silence(node, number, ended.outcome);
    feed(due.who, ended);
  }

  void second() {
    plan(now_ + 1000, Kind::kSecond, 0, 0, 0);
    // Answers come within the aim, so a second's requests are judged by what was served during it.
    if (now_ - kStart > kSettle && asked_now_ > 0) {
      const double share = static_cast<double>(served_now_) / static_cast<double>(asked_now_);
      result_.worst_second = std::min(result_.worst_second, share);
      result_.bad_seconds += share < kGoodSecond;
    }
    asked_now_ = served_now_ = 0;
    if (now_ - kStart == kSettle) {
      for (ModelBox& box : boxes_) box.taken = box.probed = 0;
    }
  }

  // ---- troubles ----

  void trouble(const Due& due) {
    if (due.what == 0) measure();
    if (o_.trouble == "zone" && due.what == 0) {
      // Zone 1 falls silent; the list says so three seconds later, and after ten it is back, cold, under new
      // ids.
      std::vector<std::uint32_t> hit;
      for (std::uint32_t b = 0; b < boxes_.size(); ++b) {
        if (boxes_[b].zone == 1) hit.push_back(b);
      }
      for (const std::uint32_t b : hit) {
        boxes_[b].dead = true;
        boxes_[b].jobs.clear();
        plan(now_ + 3000, Kind::kList, b, static_cast<std::uint64_t>(BackendState::kGone), 0);
      }
      plan(now_ + 10000, Kind::kTrouble, 0, 1, hit.size());
    } else if (o_.trouble == "zone") {
      for (std::uint64_t n = 0; n < due.extra; ++n) add_box(1, static_cast<int>(n), true);
    } else if (o_.trouble == "deploy" && due.what == 0) {
      // 85% of the boxes within 30 s, each drained, gone after two seconds, and followed by a cold one.
      std::vector<std::uint32_t> all(boxes_.size());
      for (std::uint32_t b = 0; b < all.size(); ++b) all[b] = b;
      for (std::size_t n = all.size(); n > 1; --n) {
        std::swap(all[n - 1], all[static_cast<std::size_t>(draws_.uniform(0, 1) * static_cast<double>(n))]);
      }
      all.resize(all.size() * 85 / 100);
      for (std::size_t n = 0; n < all.size(); ++n) {
        const Millis at =
            now_ + 30000 * std::floor(static_cast<double>(n) * 30 / static_cast<double>(all.size())) / 30;
        plan(at, Kind::kTrouble, all[n], 1, 0);
        plan(at + kDrain + kListLate, Kind::kTrouble, all[n], 2, 0);
      }
    } else if (o_.trouble == "deploy" && due.what == 1) {
      // Its list hears first, as a planned drain is announced; then it turns away.
      tell(due.who, BackendState::kDraining);
      plan(now_ + kListLate + kListSpread + kGrace, Kind::kTrouble, due.who, 3, 0);
    } else if (o_.trouble == "deploy" && due.what == 3) {
      boxes_[due.who].draining = true;
    } else if (o_.trouble == "deploy" && due.what == 2) {
      boxes_[due.who].draining = true;
      plan(now_, Kind::kList, due.who, static_cast<std::uint64_t>(BackendState::kGone), 0);
      add_box(boxes_[due.who].zone, static_cast<int>(due.who), true);
    } else if (o_.trouble == "double") {
      const auto before = static_cast<std::uint32_t>(nodes_.size());
      stated_nodes_ = 2 * o_.nodes;
      nodes_.reserve(2 * before);
      for (std::uint32_t n = 0; n < before; ++n) {
        if (nodes_[n].subset) nodes_[n].subset->set_nodes(stated_nodes_);
      }
      settle_all();
      for (std::uint32_t n = 0; n < before; ++n) add_node();
    } else if (o_.trouble == "restart") {
      for (std::uint32_t n = 0; n < nodes_.size(); ++n) start_node(n);
    } else if (o_.trouble == "flap" && due.what < 2) {
      // One node more, and within a second it is gone again.
      stated_nodes_ = o_.nodes + (due.what == 0 ? 1 : 0);
      for (ModelNode& node : nodes_) {
        if (node.subset) node.subset->set_nodes(stated_nodes_);
      }
      settle_all();
      if (due.what == 0) plan(now_ + 500, Kind::kTrouble, 0, 1, 0);
    }
  }

  // The figures of the quiet time before.
  void measure() {
    std::vector<double> loads;
    double taken = 0;
    double speed = 0;
    double probed = 0;
    for (const ModelBox& box : boxes_) {
      taken += static_cast<double>(box.taken);
      speed += box.speed;
      probed += static_cast<double>(box.probed);
    }
    const Millis span = now_ - kStart - kSettle;
    for (const ModelBox& box : boxes_) {
      loads.push_back(static_cast<double>(box.taken) / box.speed * speed / std::max(1.0, taken));
      result_.probes_most = std::max(result_.probes_most, static_cast<double>(box.probed) * 1000 / span);
    }
    std::sort(loads.begin(), loads.end());
    result_.load_most = loads.back();
    result_.load_least = loads.front();
    result_.load_p99 = loads[loads.size() * 99 / 100];
    result_.probes_mean = probed * 1000 / span / static_cast<double>(boxes_.size());
    double members = 0;
    for (const ModelNode& node : nodes_) members += static_cast<double>(node.members.size());
    result_.subset_mean = members / static_cast<double>(nodes_.size());
  }

  const ScaleOptions o_;
  Draw draws_;
  Draw works_;
  const Way* way_ = nullptr;
  std::shared_ptr<subset::Fleet> fleet_;
  std::vector<Members> drawn_;
  std::uint64_t drawn_version_ = 0;
  int stated_nodes_ = 0;
  Millis now_ = 0;
  std::priority_queue<Due> due_;
  std::uint64_t order_ = 0;
  std::vector<ModelBox> boxes_;
  std::unordered_map<std::string, std::uint32_t> by_id_;
  std::unordered_map<std::uint64_t, std::uint32_t> by_key_;
  std::vector<ModelNode> nodes_;
  std::vector<ModelAttempt> attempts_;
  std::vector<std::uint64_t> free_;
  std::unordered_map<std::uint64_t, int> silences_;
  std::uint64_t asked_now_ = 0;
  std::uint64_t served_now_ = 0;
  LatencyHistogram times_;
  ScaleResult result_;
};

}  // namespace

ScaleResult play_scale(const ScaleOptions& options) {
  if (options.nodes < 1 || options.boxes < 1 || options.size < 1 || options.seconds < 16) {
    throw std::invalid_argument(
        "the scale model needs nodes, boxes, a size of subsets and 16 seconds or more");
  }
  return Model(options).play();
}

}  // namespace shorelead::lab
