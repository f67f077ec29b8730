#include "lab/nodes.h"

#include <signal.h>

#include <boost/asio/ip/tcp.hpp>
#include <fstream>

#include "lab/dial.h"
#include "lab/ready_probe.h"

namespace shorelead::lab {
namespace {

constexpr Millis kLookEvery = 20;
constexpr Millis kWatchEvery = 100;
constexpr int kSampleEach = 2;  // of the watch's rounds
constexpr Millis kStopWithin = 8000;

// A port that is free at that address now. Another process could take it before the node does, but none of
// ours uses these addresses.
unsigned short free_port(const std::string& address) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address(address), 0}, true);
  return acceptor.local_endpoint().port();
}

}  // namespace

Nodes::Nodes(boost::asio::io_context& context, const Experiment& experiment, std::vector<std::string> command,
             std::string folder, NodesWorld world, Front& front)
    : context_(context),
      experiment_(experiment),
      command_(std::move(command)),
      folder_(std::move(folder)),
      world_(std::move(world)),
      front_(front),
      nodes_(static_cast<std::size_t>(experiment.nodes.count)),
      watch_(context) {
  for (int node = 0; node < experiment.nodes.count; ++node) {
    const std::string address = loopback(255, node + 1);
    front_.addresses.push_back(address + ":" + std::to_string(free_port(address)));
  }
  for (const int node : experiment.nodes.later) at(node).later = true;
}

void Nodes::later(Millis wait, std::function<void()> task) {
  auto alarm = std::make_shared<Alarm>(context_);
  alarm->at(clock_now() + wait, nullptr, [alarm, task = std::move(task)] { task(); });
}

void Nodes::event(int node, NodeDid what, int code) { events_.push_back({node, what, clock_now(), code}); }

void Nodes::mark(const std::string& what, int node) {
  marks_.push_back({clock_now(), what + " n" + std::to_string(node)});
}

std::string Nodes::path(int node, const char* suffix) const {
  return folder_ + "/n" + std::to_string(node) + suffix;
}

void Nodes::start_all() {
  for (int node = 0; node < static_cast<int>(nodes_.size()); ++node) {
    if (!at(node).later) start(node);
  }
  watch();
}

std::string Nodes::discovery(int number) const {
  const bool moved = nodes_[static_cast<std::size_t>(number)].moved;
  return moved ? world_.second_discovery(number) : world_.discovery(number, 0);
}

// Put beside it and then in its place, so that no node reads half of it.
void Nodes::configure(int number) {
  Node& node = at(number);
  const std::string& listen = front_.addresses[static_cast<std::size_t>(number)];
  if (experiment_.nodes.shore.empty()) {
    std::ofstream(path(number, ".fresh"))
        << node_configuration(experiment_, number, listen, discovery(number), world_.known(number));
    std::rename(path(number, ".fresh").c_str(), path(number, ".json").c_str());
    return;
  }
  std::ofstream(path(number, ".fresh")) << node_shore(
      experiment_, number, listen, [this, number](int pool) { return world_.discovery(number, pool); },
      world_.store(number), node.texts++);
  std::rename(path(number, ".fresh").c_str(), path(number, ".shore").c_str());
}

void Nodes::start(int number) {
  Node& node = at(number);
  node.later = false;
  const bool shore = !experiment_.nodes.shore.empty();
  if (!shore || node.texts == 0) configure(number);
  std::vector<std::string> environment = environment_without("NODE_");
  environment.push_back("NODE_CONFIG=" + path(number, shore ? ".shore" : ".json"));
  environment.push_back("NODE_NAME=n" + std::to_string(number));
  environment.push_back("NODE_LISTEN=" + front_.addresses[static_cast<std::size_t>(number)]);
  if (!shore) environment.push_back("NODE_DISCOVERY=" + discovery(number));
  if (!experiment_.nodes.own.empty()) {
    std::ofstream(path(number, ".own.toml")) << experiment_.nodes.own;
    environment.push_back("NODE_OWN=" + path(number, ".own.toml"));
  }
  failure_ = node.process.start(command_, std::move(environment), path(number, ".log"));
  if (!failure_.empty()) return;
  node.asked = false;
  node.paused = false;
  node.ready = false;
  front_.ending[static_cast<std::size_t>(number)] = false;
  front_.starting[static_cast<std::size_t>(number)] = true;
  ++node.life;
  event(number, NodeDid::kStarted);
  look(number, node.life);
}

void Nodes::look(int number, int life) {
  Node& node = at(number);
  if (!node.process.up() || node.asked || node.life != life) return;
  const auto again = [this, number, life] {
    later(kLookEvery, [this, number, life] { look(number, life); });
  };
  if (node.paused) return again();
  ask_ready(context_, front_.addresses[static_cast<std::size_t>(number)],
            [this, number, life, again](bool ready) {
              Node& now = at(number);
              if (!now.process.up() || now.asked || now.life != life) return;
              if (!ready) return again();
              if (!now.ready) event(number, NodeDid::kReady);
              now.ready = true;
              front_.starting[static_cast<std::size_t>(number)] = false;
              front_.taken_in[static_cast<std::size_t>(number)] = true;
            });
}

bool Nodes::all_ready() const {
  for (const Node& node : nodes_) {
    if (!node.ready && !node.later) return false;
  }
  return true;
}

void Nodes::ended(int number, int code) {
  Node& node = at(number);
  node.ready = false;
  front_.starting[static_cast<std::size_t>(number)] = false;
  front_.ending[static_cast<std::size_t>(number)] = false;
  event(number, NodeDid::kExited, code);
  if (!node.asked) {
    if (failure_.empty()) {
      failure_ = "node n" + std::to_string(number) + " ended by itself with code " + std::to_string(code) +
                 "; its log is " + path(number, ".log");
    }
    front_.taken_in[static_cast<std::size_t>(number)] = false;
  }
}

void Nodes::watch() {
  ++round_;
  bool any = false;
  for (int number = 0; number < static_cast<int>(nodes_.size()); ++number) {
    Process& process = at(number).process;
    if (!process.up()) continue;
    if (const std::optional<int> code = process.ended()) {
      ended(number, *code);
      continue;
    }
    any = true;
    if (round_ % kSampleEach == 0) {
      samples_.push_back({number, clock_now(), process.memory_kb(), process.descriptors(), process.cpu()});
    }
  }
  if (stopping_ && !any) {
    if (const auto done = std::exchange(stopped_, nullptr)) done();
    return;
  }
  watch_.at(clock_now() + kWatchEvery, nullptr, [this] { watch(); });
}

void Nodes::start_when_gone(int number, Millis wait) {
  later(kWatchEvery, [this, number, wait] {
    if (at(number).process.up()) return start_when_gone(number, wait);
    later(wait, [this, number] {
      if (!stopping_ && !at(number).process.up()) start(number);
    });
  });
}

void Nodes::stop_all(std::function<void()> done) {
  stopping_ = true;
  stopped_ = std::move(done);
  for (int number = 0; number < static_cast<int>(nodes_.size()); ++number) {
    if (!at(number).process.up()) continue;
    go_on(number);
    at(number).asked = true;
    at(number).process.signal(SIGTERM);
  }
  later(kStopWithin, [this] {
    for (const Node& node : nodes_) node.process.signal(SIGKILL);
  });
}

void Nodes::collect(Run& run) {
  run.nodes = events_;
  run.samples = samples_;
  run.marks.insert(run.marks.end(), marks_.begin(), marks_.end());
}

}  // namespace shorelead::lab
