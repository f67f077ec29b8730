#include "lab/session.h"

#include <sys/resource.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <fstream>
#include <future>
#include <optional>
#include <ostream>
#include <stdexcept>

#include "lab/bad_clients.h"
#include "lab/crowd.h"
#include "lab/load.h"
#include "lab/nodes.h"
#include "lab/shared_store.h"
#include "lab/stand_ins.h"
#include "lab/worker.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;

constexpr Millis kLead = 200;  // from all nodes ready to the first request

void raise_descriptors() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

void describe(const Experiment& experiment, Run& run) {
  for (const ClassSpec& spec : experiment.classes) run.classes.push_back(spec.rules);
  run.fleet = experiment.together;
  run.node_count = experiment.nodes.count;
  run.parallel_allowed = experiment.rules.parallel;
  run.most_attempts = experiment.rules.most_attempts;
  run.drain_grace = experiment.rules.drain_grace;
}

std::string progress_line(const Load::Progress& progress, Millis since) {
  char text[160];
  std::snprintf(
      text, sizeof text, "%5.1f s: sent %llu, served %llu, refused %llu, failed %llu", since / 1000,
      static_cast<unsigned long long>(progress.sent), static_cast<unsigned long long>(progress.served),
      static_cast<unsigned long long>(progress.refused), static_cast<unsigned long long>(progress.failed));
  return text;
}

// Until the load is over; tells every second how far it is. `broken` says why to give up; empty = go on.
void follow(std::future<void>& over, const Load& load, Millis begin,
            const std::function<void(const std::string&)>& progress,
            const std::function<std::string()>& broken) {
  Millis told = begin;
  while (over.wait_for(std::chrono::milliseconds(50)) != std::future_status::ready) {
    if (const std::string why = broken(); !why.empty()) throw std::runtime_error(why);
    const Millis now = clock_now();
    if (progress && now - told >= 1000) {
      told = now;
      progress(progress_line(load.progress(), now - begin));
    }
  }
}

}  // namespace

Run play(const Experiment& experiment, const PlayOptions& options) {
  raise_descriptors();
  Run run;
  describe(experiment, run);
  Front front(experiment.nodes.count);
  Worker world;
  Worker clients;
  StandIns stand_ins(world.context, experiment);
  std::optional<SharedStore> store;
  if (experiment.store.there) store.emplace(world.context, experiment);
  NodesWorld told;
  told.discovery = [&stand_ins](int node, int pool) { return stand_ins.discovery_dial(node, pool); };
  told.second_discovery = [&stand_ins](int node) { return stand_ins.second_discovery_dial(node); };
  told.known = [&stand_ins](int node) { return stand_ins.known_list(node); };
  told.store = [&store](int node) { return store ? store->dial(node) : std::string(); };
  told.planner = [&store](const std::string& holds) { return store ? store->planner(holds) : -1; };
  Nodes nodes(world.context, experiment, options.node_command, options.folder, told, front);
  Load load(clients.context, experiment, front);
  BadClients bad(clients.context, experiment, front);
  Crowd crowd(world.context, experiment, front);
  std::vector<std::unique_ptr<Alarm>> alarms;
  const Stop stop{world, clients};
  world.start(options.spin);
  clients.start(options.spin);
  world.with([&nodes] { nodes.start_all(); });

  const Millis asked = clock_now();
  bool ready = false;
  std::string failure;
  while (!ready) {
    world.with([&] {
      ready = nodes.all_ready();
      failure = nodes.failure();
    });
    if (!failure.empty()) throw std::runtime_error(failure);
    if (!ready && clock_now() - asked > options.ready_within) {
      throw std::runtime_error("a node is not ready after " +
                               std::to_string(static_cast<int>(options.ready_within)) +
                               " ms; its log is in " + options.folder);
    }
    if (!ready) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

  const Millis begin = clock_now() + kLead;
  run.began = begin;
  world.with([&] {
    for (const Action& action : experiment.timeline) {
      alarms.push_back(std::make_unique<Alarm>(world.context));
      alarms.back()->at(begin + action.at, nullptr, [&stand_ins, &nodes, &store, &crowd, &action] {
        stand_ins.act(action);
        if (store) store->act(action);
        nodes.act(action);
        crowd.act(action);
      });
    }
  });
  std::promise<void> load_over;
  std::future<void> over = load_over.get_future();
  clients.with([&] {
    bad.run(begin, begin + experiment.load.span);
    load.run(begin, [&load_over] { load_over.set_value(); });
  });
  follow(over, load, begin, options.progress, [&] {
    world.rethrow();
    clients.rethrow();
    return std::string();
  });
  run.ended = clock_now();
  std::promise<void> stopped;
  std::future<void> all_stopped = stopped.get_future();
  world.with([&] { nodes.stop_all([&stopped] { stopped.set_value(); }); });
  while (all_stopped.wait_for(std::chrono::milliseconds(50)) != std::future_status::ready) world.rethrow();
  world.with([&] {
    alarms.clear();
    nodes.collect(run);
    stand_ins.collect(run);
    crowd.collect(run);
    if (store) store->collect(run);
  });
  clients.with([&] {
    load.collect(run);
    bad.collect(run);
  });
  return run;
}

void play_fleet(const Experiment& experiment, const std::string& folder, int stop_fd, bool spin,
                std::ostream& out) {
  raise_descriptors();
  asio::io_context context(1);
  StandIns stand_ins(context, experiment);
  std::optional<SharedStore> store;
  if (experiment.store.there) store.emplace(context, experiment);
  for (int node = 0; node < experiment.nodes.count; ++node) {
    const std::string listen = "127.0.0.1:" + std::to_string(8081 + node);
    const auto discovery = [&stand_ins, node](int pool) { return stand_ins.discovery_dial(node, pool); };
    const bool shore = !experiment.nodes.shore.empty();
    const std::string path = folder + "/n" + std::to_string(node) + (shore ? ".shore" : ".json");
    std::ofstream(path) << (shore ? node_shore(experiment, node, listen, discovery,
                                               store ? store->dial(node) : "", 0)
                                  : node_configuration(experiment, node, listen, discovery(0),
                                                       stand_ins.known_list(node)));
    out << "node n" << node << ": NODE_CONFIG=" << path << " (discovery " << discovery(0) << ", clients at "
        << listen << ")\n";
  }
  for (int box = 0; box < experiment.fleet.boxes && box < 20; ++box) {
    out << "box s-" << box << ": " << stand_ins.box_dial(box, 0) << "\n";
  }
  out.flush();
  std::vector<std::unique_ptr<Alarm>> alarms;
  const Millis begin = clock_now();
  for (const Action& action : experiment.timeline) {
    alarms.push_back(std::make_unique<Alarm>(context));
    alarms.back()->at(begin + action.at, nullptr, [&stand_ins, &store, &action] {
      stand_ins.act(action);
      if (store) store->act(action);
    });
  }
  asio::posix::stream_descriptor stop(context, stop_fd);
  stop.async_wait(asio::posix::stream_descriptor::wait_read,
                  [&context](const boost::system::error_code&) { context.stop(); });
  work(context, spin);
  stop.release();
  out << "requests at boxes: " << stand_ins.requests() << "\n";
}

Run play_load(const Experiment& experiment, const std::vector<std::string>& addresses,
              const PlayOptions& options) {
  raise_descriptors();
  Experiment clients_only = experiment;
  clients_only.nodes.count = static_cast<int>(addresses.size());
  Run run;
  describe(clients_only, run);
  Front front(clients_only.nodes.count);
  front.addresses = addresses;
  for (auto& in : front.taken_in) in = true;
  Worker clients;
  Load load(clients.context, clients_only, front);
  clients.start(options.spin);
  const Millis begin = clock_now() + kLead;
  run.began = begin;
  std::promise<void> load_over;
  std::future<void> over = load_over.get_future();
  clients.with([&] { load.run(begin, [&load_over] { load_over.set_value(); }); });
  follow(over, load, begin, options.progress, [&] {
    clients.rethrow();
    return std::string();
  });
  run.ended = clock_now();
  clients.with([&] { load.collect(run); });
  return run;
}

}  // namespace shorelead::lab
