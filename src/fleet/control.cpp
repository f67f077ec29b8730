#include "fleet/control.h"

#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

#include "fleet/boot_clock.h"

namespace shorelead::fleet {
namespace {

constexpr Millis kReadEvery = 100;            // interval for reading the traffic's cells
constexpr Millis kReadEveryWhileBehind = 20;  // while the traffic has not followed, or use has to come down
constexpr Millis kLogEvery = 1000;
constexpr Millis kMinTimer =
    1;  // lower bound of timers: a tick that is due again must not starve the sockets

struct WakeupHandler : net::Watch::Handler {
  explicit WakeupHandler(std::function<void()> callback) : on_wakeup(std::move(callback)) {}
  void on_readable() override { on_wakeup(); }
  std::function<void()> on_wakeup;
};

int copy_of(int fd) {
  const int copy = ::dup(fd);
  if (copy < 0) throw std::system_error(errno, std::generic_category(), "dup");
  return copy;
}

}  // namespace

Control::Control(const ControlSpec& spec, std::shared_ptr<Channel> channel)
    : spec_(spec),
      channel_(std::move(channel)),
      member_(spec.name, spec.zone, spec.weight, spec.sharing, spec.budgets, spec.seed),
      planner_(spec.name, spec.sharing, spec.budgets, spec.shapers, spec.seed + 1),
      reading_(spec.budgets, channel_->traffic),
      store_(loop_, spec.store, spec.sharing, spec.seed + 2,
             {[this](const MemberEvent& event) { member(event); },
              [this](const PlannerEvent& event) { planner(event); },
              [this](const std::string& text) { trouble(text); }}) {
  watch_wakeup();
  // Signals are handled on the main thread: the new thread starts with all of them blocked.
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  try {
    thread_ = std::thread([this] { run(); });
  } catch (...) {
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    throw;
  }
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

Control::~Control() {
  channel_->ending.store(2, std::memory_order_release);
  channel_->for_control.notify();
  thread_.join();
}

void Control::leave() {
  int none = 0;
  channel_->ending.compare_exchange_strong(none, 1, std::memory_order_acq_rel);
  channel_->for_control.notify();
}

void Control::watch_wakeup() {
  wakeup_ = std::make_unique<net::Descriptor>(copy_of(channel_->for_control.fd()));
  wakeup_handler_ = std::make_unique<WakeupHandler>([this] {
    channel_->for_control.reset();
    const int ending = channel_->ending.load(std::memory_order_acquire);
    if (ending == 2) return loop_.stop();
    if (ending == 1 && !std::exchange(leaving_, true)) member(Leave{});
    read_traffic();
  });
  wakeup_watch_ = std::make_unique<net::Watch>(loop_, *wakeup_, *wakeup_handler_, true, false);
}

void Control::run() {
  loop_.at(loop_.now(), [this] {
    store_.begin();
    member(Tick{});
    planner(PlannerTick{});
    read_traffic();
  });
  loop_.run();
}

void Control::member(const MemberEvent& event) {
  const Millis now = boot_now();
  const MemberOut out = member_.handle(event, now);
  publish(out);
  for (const MemberCall& call : out.calls) store_.carry_out(call);
  loop_.cancel(member_at_);
  member_at_ = loop_.after(std::max(kMinTimer, out.next - now), [this] {
    member_at_ = 0;
    member(Tick{});
  });
  if (member_.left()) channel_->control.left.store_release(1);
  report_lease_to_planner();
}

// Publishes a snapshot together with the validity of its incarnation.
void Control::publish(const MemberOut& out) {
  const std::uint64_t incarnation = out.incarnation;
  if (validity_ && validity_->incarnation != incarnation) {
    validity_->until.store(0, std::memory_order_release);  // ended, whatever snapshot the traffic still has
    validity_ = nullptr;
  }
  if (!validity_) {
    validity_ = std::make_shared<Validity>();
    validity_->incarnation = incarnation;
  }
  // A snapshot of an ended incarnation gets a validity that is never set.
  if (incarnation != 0 && out.valid_until > validity_->until.load(std::memory_order_relaxed)) {
    validity_->until.store(out.valid_until, std::memory_order_release);
  }
  if (!out.publish) return;
  generation_ = out.publish->generation;
  const bool its = out.publish->incarnation == incarnation;
  channel_->issues.put({out.publish, its ? validity_ : std::make_shared<Validity>()});
  channel_->for_traffic.notify();
}

void Control::report_lease_to_planner() {
  const LeaseValid now{member_.lease(), leaving_ ? 0 : member_.lease_until()};
  if (now.lease == reported_lease_.lease && now.until == reported_lease_.until) return;
  reported_lease_ = now;
  planner(now);
}

void Control::planner(const PlannerEvent& event) {
  const Millis now = boot_now();
  const PlannerOut out = planner_.handle(event, now);
  for (const PlannerCall& call : out.calls) store_.carry_out(call);
  loop_.cancel(planner_at_);
  planner_at_ = loop_.after(std::max(kMinTimer, out.next - now), [this] {
    planner_at_ = 0;
    planner(PlannerTick{});
  });
}

void Control::read_traffic() {
  TrafficState state = reading_.read(boot_now());
  bool eager = state.generation < generation_;
  for (const auto& [name, used] : state.in_use) eager = eager || (leaving_ && used > 0);
  member(Traffic{std::move(state)});
  show();
  loop_.cancel(traffic_at_);
  traffic_at_ = loop_.after(eager ? kReadEveryWhileBehind : kReadEvery, [this] {
    traffic_at_ = 0;
    read_traffic();
  });
}

void Control::trouble(const std::string& text) {
  const Millis now = boot_now();
  if (now - logged_at_ < kLogEvery) {
    ++unlogged_;
    return;
  }
  logged_at_ = now;
  if (!spec_.log) return;
  spec_.log(text + (unlogged_ > 0 ? ", and " + std::to_string(unlogged_) + " more messages" : ""));
  unlogged_ = 0;
}

void Control::show() {
  ControlCells& cells = channel_->control;
  const MemberCounters& m = member_.counters();
  const PlannerCounters& p = planner_.counters();
  cells.epoch.set(member_.epoch());
  cells.incarnation.set(member_.incarnation());
  cells.elected.set(planner_.elected() ? 1 : 0);
  cells.joined.set(m.joined);
  cells.ended.set(m.ended);
  cells.lapsed.set(m.lapsed);
  cells.refused.set(m.refused);
  cells.histories.set(m.histories);
  cells.epochs.set(m.epochs);
  cells.older.set(m.older);
  cells.name_taken.set(m.name_taken);
  cells.elections.set(p.elected);
  cells.resigned.set(p.resigned);
  cells.plans.set(p.plans);
  cells.unreadable.set(p.unreadable + store_.watch_counters().unreadable);
  cells.held.set(p.held);
  cells.calls.set(store_.counters().calls + store_.watch_counters().ranges);
  cells.calls_lost.set(store_.counters().lost);
  cells.watches.set(store_.watch_counters().watches);
  cells.deaf.set(store_.watch_counters().deaf);
}

}  // namespace shorelead::fleet
