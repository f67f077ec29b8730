// What the sharing costs beside the traffic, for real: so many control threads before a stand-in store on
// loopback, in calm (each asked for the same share of each budget), for so long. Prints calls a second, the
// documents' bytes, what planning reads, and the processor's time of a control thread. With --serve it is the
// store alone, for other programs: its address on the first line, until it is ended. Judges nothing.
#include "fleet/control.h"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "fleet/port.h"
#include "lab/etcd_server.h"

namespace {

using namespace shorelead;
using namespace shorelead::fleet;

struct Options {
  int processes = 20;
  double seconds = 20;
  double warm_up = 8;
  double lease = 5000;
  double load = 0.6;  // of each whole
  bool serve = false;
};

std::vector<Budget> three_budgets(int processes) {
  Budget rate;
  rate.name = "rate";
  rate.whole = 40.0 * processes;
  rate.burst = 10.0 * processes;
  Budget at_once;
  at_once.name = "under_way";
  at_once.kind = BudgetKind::kAtOnce;
  at_once.whole = 10.0 * processes;
  at_once.hold = 1000;
  Budget attempts;
  attempts.name = "again";
  attempts.kind = BudgetKind::kAttempts;
  attempts.whole = 10.0 * processes;
  attempts.window = 10000;
  return {rate, at_once, attempts};
}

struct Process {
  Process(const StoreSpec& store, const Options& options, int number)
      : budgets(three_budgets(options.processes)) {
    ControlSpec spec;
    spec.store = store;
    spec.sharing.prefix = "/fleet/";
    spec.sharing.most_processes = options.processes;
    spec.sharing.lease = options.lease;
    spec.budgets = budgets;
    spec.name = "process-" + std::to_string(number);
    spec.seed = static_cast<std::uint64_t>(number) + 1;
    channel = std::make_shared<Channel>(budgets.size(), std::vector<int>{});
    port = std::make_unique<Port>(channel, budgets, spec.sharing);
    control = std::make_unique<Control>(spec, channel);
  }
  // As many as come at random in `seconds` at that part of the whole, equal for all.
  void traffic(double load, double seconds, int processes, Random& random) {
    port->take_snapshot();
    const Millis now = Port::now();
    for (std::size_t b = 0; b < budgets.size(); ++b) {
      const bool at_once = budgets[b].kind == BudgetKind::kAtOnce;
      const double span = budgets[b].kind == BudgetKind::kAttempts ? budgets[b].window / 1000 : 1;
      for (int n = 0; n < 8; ++n) {
        if (random.unit() * 8 >= load * budgets[b].whole / processes * seconds / span) continue;
        if (port->spend(b, now) == Spent::kYes && at_once) port->end(b, now);
      }
    }
  }

  std::vector<Budget> budgets;
  std::shared_ptr<Channel> channel;
  std::unique_ptr<Port> port;
  std::unique_ptr<Control> control;
};

// By thread, but for two: milliseconds of processor since it began.
std::map<std::string, double> threads_but(pid_t main, pid_t store) {
  std::map<std::string, double> spent;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/task")) {
    const std::string id = entry.path().filename();
    double ns = 0;
    std::ifstream(entry.path() / "schedstat") >> ns;
    if (id != std::to_string(main) && id != std::to_string(store)) spent[id] = ns * 1e-6;
  }
  return spent;
}

struct Counted {
  std::vector<std::uint64_t> calls;
  std::uint64_t plans = 0, epochs = 0, revision = 0;
  std::map<std::string, double> cpu;
};

struct Bench {
  Bench(const Options& told, std::function<lab::KeyStore()> store, pid_t store_thread)
      : options(told), copy(std::move(store)), of_store(store_thread) {}

  Counted count() const {
    Counted now;
    for (const auto& process : processes) {
      now.calls.push_back(process->channel->control.calls.get());
      now.plans += process->channel->control.plans.get();
      now.epochs += process->channel->control.epochs.get();
    }
    now.revision = copy().revision();
    now.cpu = threads_but(::getpid(), of_store);
    return now;
  }
  void spend_for(double seconds) {
    constexpr double kStep = 0.02;
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::duration<double>(kStep));
      for (const auto& process : processes) process->traffic(options.load, kStep, options.processes, random);
    }
  }
  void run(const std::string& dial) {
    StoreSpec spec;
    spec.endpoints.emplace_back(dial);
    for (int n = 0; n < options.processes; ++n) {
      processes.push_back(std::make_unique<Process>(spec, options, n));
    }
    spend_for(options.warm_up);
    const Counted before = count();
    spend_for(options.seconds);
    report(before, count());
  }
  void report(const Counted& before, const Counted& after) const {
    const double span = options.seconds;
    double all = 0, planners = 0, most = 0;
    for (std::size_t n = 0; n < processes.size(); ++n) {
      const double calls = static_cast<double>(after.calls[n] - before.calls[n]) / span;
      all += calls;
      (processes[n]->channel->control.elected.get() != 0 ? planners : most) =
          std::max(processes[n]->channel->control.elected.get() != 0 ? planners : most, calls);
    }
    const lab::KeyStore stands = copy();
    const auto size_of = [&stands](const std::string& from, const std::string& to) {
      std::size_t size = 0;
      for (const auto& [key, stored] : stands.range(from, to, 0, 0).items) {
        size += key.size() + stored.value.size();
      }
      return static_cast<double>(size);
    };
    const int n = options.processes;
    std::printf("processes %d, lease %.0f ms, %.0f s in calm\n", n, options.lease, span);
    std::printf("calls/s each: mean %.2f, most %.2f but for the planner's %.2f\n", all / n, most, planners);
    std::printf("plans written %llu, put in force %llu; store's revisions/s %.1f\n",
                static_cast<unsigned long long>(after.plans - before.plans),
                static_cast<unsigned long long>(after.epochs - before.epochs),
                static_cast<double>(after.revision - before.revision) / span);
    std::printf("bytes: plan %.0f, all records %.0f (%.0f each)\n", size_of("/fleet/plan", ""),
                size_of("/fleet/members/", "/fleet/members0"),
                size_of("/fleet/members/", "/fleet/members0") / n);
    std::vector<double> cpu;
    for (const auto& [id, spent] : after.cpu) {
      if (before.cpu.contains(id)) cpu.push_back((spent - before.cpu.at(id)) / span);
    }
    std::sort(cpu.begin(), cpu.end());
    if (cpu.empty()) return;
    std::printf("control threads, ms of processor a second: median %.2f, the planner's %.2f\n",
                cpu[cpu.size() / 2], cpu.back());
  }

  const Options options;
  const std::function<lab::KeyStore()> copy;  // on the store's own thread
  const pid_t of_store;
  std::vector<std::unique_ptr<Process>> processes;
  Random random{7};
};

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app("Control threads of a fleet before a stand-in store on loopback", "fleet_control_bench");
  app.add_option("--processes", options.processes)->check(CLI::Range(1, 400));
  app.add_option("--seconds", options.seconds)->check(CLI::Range(1.0, 600.0));
  app.add_option("--warm-up", options.warm_up)->check(CLI::Range(0.0, 60.0));
  app.add_option("--lease", options.lease, "ms")->check(CLI::Range(500.0, 60000.0));
  app.add_option("--load", options.load, "of each whole that is asked for")->check(CLI::Range(0.0, 2.0));
  app.add_flag("--serve", options.serve, "the store alone");
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context context;
  lab::EtcdServer server(context, "127.0.0.1", {}, 11);
  if (options.serve) {
    std::printf("%s\n", server.dial().c_str());
    std::fflush(stdout);
    context.run();
    return 0;
  }
  const std::string dial = server.dial();
  std::promise<pid_t> began;
  std::thread store([&context, &began] {
    began.set_value(::gettid());
    context.run();
  });
  const pid_t of_store = began.get_future().get();
  const auto copy = [&] {
    std::promise<lab::KeyStore> copied;
    boost::asio::post(context, [&] { copied.set_value(server.store()); });
    return copied.get_future().get();
  };
  {
    Bench bench(options, copy, of_store);
    bench.run(dial);
  }
  context.stop();
  store.join();
}
