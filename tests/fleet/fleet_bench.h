// Test support: fleet processes on loopback against a stand-in for etcd. The stand-in runs on its own thread,
// each process's control on another, and the traffic of all processes on the test's thread.
#pragma once

#include <gtest/gtest.h>
#include <poll.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fleet/control.h"
#include "fleet/division.h"
#include "fleet/port.h"
#include "lab/etcd_server.h"

namespace shorelead::fleet {

class StandIn {
 public:
  explicit StandIn(const lab::EtcdTroubles& troubles = {})
      : server_(context_, "127.0.0.1", troubles, 11), thread_([this] { context_.run(); }) {}
  ~StandIn() {
    context_.stop();
    thread_.join();
  }

  // Runs `task` on the server's thread and waits for its result.
  template <typename Task>
  auto with(Task task) {
    std::packaged_task<decltype(task(server_))()> packaged([&] { return task(server_); });
    auto result = packaged.get_future();
    boost::asio::post(context_, [&packaged] { packaged(); });
    return result.get();
  }
  StoreSpec spec() {
    StoreSpec spec;
    std::string all = with([](lab::EtcdServer& server) { return server.dial(); }) + " ";
    for (std::size_t at = 0, end = 0; (end = all.find(' ', at)) != std::string::npos; at = end + 1) {
      spec.endpoints.emplace_back(all.substr(at, end - at));
    }
    return spec;
  }
  lab::KeyStore copy() {
    return with([](lab::EtcdServer& server) { return server.store(); });
  }

 private:
  boost::asio::io_context context_;
  lab::EtcdServer server_;
  std::thread thread_;
};

inline Sharing sharing_of_a_second() {
  Sharing sharing;
  sharing.prefix = "/fleet/";
  sharing.most_processes = 4;
  sharing.lease = 1000;
  sharing.plan_every = 50;
  sharing.margin = 20;
  return sharing;
}

inline std::vector<Budget> two_budgets() {
  Budget rate;
  rate.name = "rate";
  rate.whole = 1000;
  rate.burst = 100;
  Budget at_once;
  at_once.name = "at once";
  at_once.kind = BudgetKind::kAtOnce;
  at_once.whole = 40;
  at_once.hold = 100;
  return {rate, at_once};
}

// One process: its control thread and its port for the traffic.
struct Process {
  Process(StandIn& store, const std::string& name, std::uint64_t seed)
      : channel(std::make_shared<Channel>(two_budgets().size(), std::vector<int>{1, 2})),
        port(channel, two_budgets(), sharing_of_a_second()) {
    ControlSpec spec;
    spec.store = store.spec();
    spec.sharing = sharing_of_a_second();
    spec.budgets = two_budgets();
    spec.name = name;
    spec.seed = seed;
    control = std::make_unique<Control>(spec, channel);
  }
  Part has(const std::string& budget) const {
    const Snapshot* const now = port.valid(Port::now());
    if (now == nullptr) return {};
    const auto it = now->parts.find(budget);
    return it == now->parts.end() ? Part{} : it->second;
  }

  std::shared_ptr<Channel> channel;
  Port port;
  std::unique_ptr<Control> control;
};

// Lets all processes take up new snapshots until `until` holds. If it never does, the test times out.
template <typename Until>
void run(const std::vector<Process*>& processes, const Until& until) {
  while (true) {
    for (Process* process : processes) process->port.take_snapshot();
    if (until()) return;
    std::vector<pollfd> wakeups;
    for (Process* process : processes) wakeups.push_back({process->port.wake_fd(), POLLIN, 0});
    ::poll(wakeups.data(), wakeups.size(), 5);
  }
}

// Checks at every revision still in the store that for each budget the sum over processes of max(record,
// plan) is at most the whole less the reserve.
inline void expect_within(const lab::KeyStore& store) {
  const Sharing sharing = sharing_of_a_second();
  std::size_t seen = 0;
  for (std::uint64_t revision = 2; revision <= store.revision(); ++revision) {
    std::string cause;
    std::optional<Plan> plan;
    const auto stands = store.range("/fleet/plan", "", 0, revision);
    if (!stands.items.empty()) plan = parse_plan(stands.items[0].second.value, cause);
    std::map<std::string, std::map<std::string, Part>> bound;  // by budget, then member
    const auto raise = [&bound](const std::string& member, const Parts& parts) {
      for (const auto& [budget, part] : parts) {
        Part& most = bound[budget][member];
        most.amount = std::max(most.amount, part.amount);
        most.burst = std::max(most.burst, part.burst);
      }
    };
    if (plan) {
      for (const auto& [member, parts] : plan->shares) raise(member, parts);
    }
    for (const auto& [key, stored] : store.range("/fleet/members/", "/fleet/members0", 0, revision).items) {
      const auto record = parse_record(stored.value, cause);
      ASSERT_TRUE(record) << cause;
      raise(record->id.text(), record->in_force);
    }
    for (const Budget& budget : two_budgets()) {
      const Part most = divisible(budget, sharing);
      Part sum;
      for (const auto& [member, part] : bound[budget.name]) {
        sum.amount += part.amount;
        sum.burst += part.burst;
      }
      seen += sum.amount > 0 ? 1 : 0;
      ASSERT_LE(sum.amount, most.amount * (1 + 1e-9)) << budget.name << " at revision " << revision;
      ASSERT_LE(sum.burst, most.burst * (1 + 1e-9)) << budget.name << " at revision " << revision;
    }
  }
  ASSERT_GT(seen, 0U) << "nothing was ever shared";
}

}  // namespace shorelead::fleet
