// The control thread of the fleet: an event loop that feeds the member and the planner with events from the
// store and the traffic, and executes their calls. Owns the thread and everything used on it. It neither
// touches the traffic thread's shares nor makes that thread wait. Only created if the configuration has a
// fleet.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet/channel.h"
#include "fleet/member.h"
#include "fleet/planner.h"
#include "fleet/spec.h"
#include "fleet/store.h"
#include "fleet/traffic_reading.h"
#include "net/loop.h"

namespace shorelead::fleet {

struct ControlSpec {
  StoreSpec store;
  Sharing sharing;
  std::vector<Budget> budgets;
  std::string name;  // of this process, unique in the fleet
  std::string zone;
  double weight = 1;
  std::vector<std::shared_ptr<PlanShaper>> shapers;  // used on the control thread only
  std::uint64_t seed = 0;                            // different in each process and each run
  std::function<void(const std::string&)> log;       // called on the control thread
};

class Control {
 public:
  // Throws std::runtime_error if the store's TLS files cannot be used.
  Control(const ControlSpec& spec, std::shared_ptr<Channel> channel);
  ~Control();  // stops immediately; the shares expire with the lease
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  // From any thread: starts to release all shares, for which the traffic thread must keep taking up snapshots
  // and end what is in use. `left` is true once that is done; the caller decides how long to wait.
  void leave();
  bool left() const { return channel_->control.left.load_acquire() != 0; }

 private:
  void run();
  void watch_wakeup();
  void member(const MemberEvent& event);
  void planner(const PlannerEvent& event);
  void publish(const MemberOut& out);
  void report_lease_to_planner();
  void read_traffic();
  void trouble(const std::string& text);
  void show();

  const ControlSpec spec_;
  const std::shared_ptr<Channel> channel_;
  net::Loop loop_;
  Member member_;
  Planner planner_;
  TrafficReading reading_;
  Store store_;
  std::unique_ptr<net::Descriptor> wakeup_;
  std::unique_ptr<net::Watch> wakeup_watch_;
  std::unique_ptr<net::Watch::Handler> wakeup_handler_;
  std::shared_ptr<Validity> validity_;
  std::uint64_t generation_ = 0;  // last published
  LeaseValid reported_lease_{0, 0};
  bool leaving_ = false;
  Millis logged_at_ = -1e18;
  std::uint64_t unlogged_ = 0;
  net::Loop::TimerId member_at_ = 0;
  net::Loop::TimerId planner_at_ = 0;
  net::Loop::TimerId traffic_at_ = 0;
  std::thread thread_;
};

}  // namespace shorelead::fleet
