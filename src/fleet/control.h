// The thread that takes part in the fleet: a loop of its own in which the member and the planner get what the
// store and the traffic tell, and their calls are carried out. Owns that thread and all it works with. It
// must never touch the traffic's shares, nor make the traffic wait; without a fleet in the configuration
// there is none of this.
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
  std::string name;  // of this process: no other of the fleet has it
  std::string zone;
  double weight = 1;
  std::vector<std::shared_ptr<PlanShaper>> shapers;  // used on the control's thread only
  std::uint64_t seed = 0;                            // another in each process, and in each of its runs
  std::function<void(const std::string&)> log;       // called on the control's thread
};

class Control {
 public:
  // Throws std::runtime_error where the store's TLS files are of no use.
  Control(const ControlSpec& spec, std::shared_ptr<Channel> channel);
  ~Control();  // stops at once: shares that stand run out with the lease
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  // From any thread: gives everything back, for which the traffic has to take up what comes, and end what is
  // in use. `left`, once that is done; the caller waits as long as it likes.
  void leave();
  bool left() const { return channel_->control.left.heard() != 0; }

 private:
  void run();
  void watch_bell();
  void member(const MemberEvent& event);
  void planner(const PlannerEvent& event);
  void publish(const MemberOut& out);
  void tell_planner_of_lease();
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
  std::unique_ptr<net::Descriptor> bell_;
  std::unique_ptr<net::Watch> bell_watch_;
  std::unique_ptr<net::Watch::Handler> bell_handler_;
  std::shared_ptr<Validity> validity_;
  std::uint64_t generation_ = 0;  // last published
  LeaseValid told_lease_{0, 0};
  bool leaving_ = false;
  Millis logged_at_ = -1e18;
  std::uint64_t unlogged_ = 0;
  net::Loop::TimerId member_at_ = 0;
  net::Loop::TimerId planner_at_ = 0;
  net::Loop::TimerId traffic_at_ = 0;
  std::thread thread_;
};

}  // namespace shorelead::fleet
