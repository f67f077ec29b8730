#include "lab/nodes.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <map>
#include <stdexcept>

extern char** environ;

namespace shorelead::lab {
namespace {

constexpr Millis kLookEvery = 20;
constexpr Millis kWatchEvery = 100;
constexpr int kSampleEach = 2;  // of the watch's rounds
constexpr Millis kStopWithin = 8000;

std::string node_address(int node) {
  return "127." + std::to_string(32 + ::getpid() % 200) + ".255." + std::to_string(node + 1);
}

// A port that is free at that address now. Another process could take it before the node does, but none of
// ours uses these addresses.
unsigned short free_port(const std::string& address) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address(address), 0}, true);
  return acceptor.local_endpoint().port();
}

double status_kb(pid_t pid, const char* field) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(field, 0) == 0) return std::strtod(line.c_str() + std::strlen(field) + 1, nullptr);
  }
  return 0;
}

int count_descriptors(pid_t pid) {
  DIR* const folder = ::opendir(("/proc/" + std::to_string(pid) + "/fd").c_str());
  if (folder == nullptr) return 0;
  int count = 0;
  while (const dirent* const entry = ::readdir(folder)) count += entry->d_name[0] != '.';
  ::closedir(folder);
  return count;
}

double cpu_ms(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const std::size_t after = text.rfind(')');
  if (after == std::string::npos) return 0;
  unsigned long user = 0;
  unsigned long system = 0;
  if (std::sscanf(text.c_str() + after + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
                  &system) != 2) {
    return 0;
  }
  return static_cast<double>(user + system) * 1000 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

}  // namespace

std::string node_configuration(const Experiment& experiment, int node, const std::string& listen,
                               const std::string& discovery, const std::string& known) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> out(buffer);
  const auto text = [&out](const char* key, const std::string& value) {
    out.Key(key);
    out.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
  };
  const auto number = [&out](const char* key, double value) {
    out.Key(key);
    out.Double(value);
  };
  const auto whole = [&out](const char* key, int value) {
    out.Key(key);
    out.Int(value);
  };
  const auto flag = [&out](const char* key, bool value) {
    out.Key(key);
    out.Bool(value);
  };
  out.StartObject();
  text("name", "n" + std::to_string(node));
  text("listen", listen);
  text("discovery", discovery);
  text("seed", Draw(experiment.seed + static_cast<std::uint64_t>(node), "node").hex(16));
  out.Key("limits");
  out.StartObject();
  number("cores", 1);
  whole("memory_mb", experiment.nodes.memory_mb);
  whole("sockets", experiment.nodes.sockets);
  out.EndObject();
  out.Key("known");
  out.RawValue(known.c_str(), known.size(), rapidjson::kObjectType);
  out.Key("settings");
  out.StartObject();
  whole("Instances", experiment.nodes.count);
  whole("Me", node);
  whole("Locality", node % static_cast<int>(experiment.fleet.zones.size()));
  out.Key("Azs");
  out.StartArray();
  for (const std::string& zone : experiment.fleet.zones) out.String(zone.c_str());
  out.EndArray();
  text("RegistryMode", "automatic");
  out.Key("Services");
  out.StartArray();
  static const char* const kEffects[] = {"pure", "token", "side_effect"};
  static const char* const kGroups[] = {"all", "zone", "cell"};
  for (const ClassSpec& spec : experiment.classes) {
    out.StartObject();
    text("Name", spec.rules.name);
    text("Effect", kEffects[static_cast<int>(spec.rules.effect)]);
    if (spec.rules.effect == Effect::kKeyed) {
      text("Group", kGroups[static_cast<int>(spec.rules.group)]);
      number("DedupWindow", spec.rules.window);
    }
    number("Aim", spec.rules.aim);
    number("GiveUp", spec.rules.give_up);
    number("Worth", spec.rules.worth);
    out.EndObject();
  }
  out.EndArray();
  out.Key("Allowed");
  out.StartObject();
  flag("Probing", true);
  flag("Cancel", experiment.rules.cancel);
  flag("ParallelTries", experiment.rules.parallel);
  flag("RetryAfter", experiment.rules.retry_after);
  number("MaxRetryAfter", 600);
  whole("MostTries", experiment.rules.most_attempts);
  number("ConnIdle", experiment.fleet.idle_close);
  number("ConnectTimeout", experiment.rules.connect_timeout);
  out.EndObject();
  out.Key("Invariants");
  out.StartObject();
  number("ColdShare", experiment.fleet.spec.cold_from);
  number("WarmUp", experiment.fleet.spec.warm_up);
  number("FallMultiple", experiment.fleet.spec.fall_multiple > 0 ? experiment.fleet.spec.fall_multiple : 3);
  number("Fall", experiment.fleet.spec.fall_span > 0 ? experiment.fleet.spec.fall_span : 1000);
  number("AskEvery", 10000);
  number("StopSendingWithin", experiment.rules.drain_grace);
  out.EndObject();
  out.EndObject();
  out.EndObject();
  return buffer.GetString();
}

std::string node_shore(const Experiment& experiment, int node, const std::string& listen,
                       const std::function<std::string(int)>& discovery, std::size_t n) {
  std::map<std::string, std::string> values{
      {"listen", listen},
      {"seed", Draw(experiment.seed + static_cast<std::uint64_t>(node), "node").hex(16)},
      {"nodes", std::to_string(experiment.nodes.count)},
      {"index", std::to_string(node)},
      {"zone", experiment.fleet.zones[static_cast<std::size_t>(node) % experiment.fleet.zones.size()]},
      {"discovery", discovery(0)}};
  for (std::size_t pool = 0; pool < experiment.fleet.pools.size(); ++pool) {
    values["discovery." + experiment.fleet.pools[pool].name] = discovery(static_cast<int>(pool));
  }
  const std::string& text = experiment.nodes.shore[n % experiment.nodes.shore.size()];
  std::string out;
  std::size_t from = 0;
  for (std::size_t at = text.find('@'); at != std::string::npos; at = text.find('@', from)) {
    const std::size_t end = text.find('@', at + 1);
    out.append(text, from, at - from).append(values.at(text.substr(at + 1, end - at - 1)));
    from = end + 1;
  }
  return out.append(text, from);
}

Nodes::Nodes(boost::asio::io_context& context, const Experiment& experiment, std::vector<std::string> command,
             std::string folder, std::function<std::string(int, int)> discovery,
             std::function<std::string(int)> known, Front& front)
    : context_(context),
      experiment_(experiment),
      command_(std::move(command)),
      folder_(std::move(folder)),
      discovery_(std::move(discovery)),
      known_(std::move(known)),
      front_(front),
      nodes_(static_cast<std::size_t>(experiment.nodes.count)),
      watch_(context) {
  for (int node = 0; node < experiment.nodes.count; ++node) {
    const std::string address = node_address(node);
    front_.addresses.push_back(address + ":" + std::to_string(free_port(address)));
  }
}

Nodes::~Nodes() {
  for (const Node& node : nodes_) {
    if (!node.up) continue;
    ::kill(node.pid, SIGKILL);
    ::waitpid(node.pid, nullptr, 0);
  }
}

void Nodes::later(Millis wait, std::function<void()> task) {
  auto alarm = std::make_shared<Alarm>(context_);
  alarm->at(clock_now() + wait, nullptr, [alarm, task = std::move(task)] { task(); });
}

void Nodes::event(int node, NodeDid what, int code) { events_.push_back({node, what, clock_now(), code}); }

std::string Nodes::path(int node, const char* suffix) const {
  return folder_ + "/n" + std::to_string(node) + suffix;
}

void Nodes::start_all() {
  for (int node = 0; node < static_cast<int>(nodes_.size()); ++node) start(node);
  watch();
}

// Put beside it and then in its place, so that no node reads half of it.
void Nodes::configure(int number) {
  Node& node = nodes_[static_cast<std::size_t>(number)];
  const std::string& listen = front_.addresses[static_cast<std::size_t>(number)];
  if (experiment_.nodes.shore.empty()) {
    std::ofstream(path(number, ".json"))
        << node_configuration(experiment_, number, listen, discovery_(number, 0), known_(number));
    return;
  }
  std::ofstream(path(number, ".fresh")) << node_shore(
      experiment_, number, listen, [this, number](int pool) { return discovery_(number, pool); },
      node.texts++);
  std::rename(path(number, ".fresh").c_str(), path(number, ".shore").c_str());
}

void Nodes::reload(int number, Millis every, Millis until) {
  const Node& node = nodes_[static_cast<std::size_t>(number)];
  if (!node.up || stopping_) return;
  if (!experiment_.nodes.shore.empty()) configure(number);
  event(number, NodeDid::kReloaded);
  ::kill(node.pid, SIGHUP);
  if (every <= 0 || clock_now() + every >= until) return;
  later(every, [this, number, every, until] { reload(number, every, until); });
}

void Nodes::start(int number) {
  Node& node = nodes_[static_cast<std::size_t>(number)];
  const std::string& listen = front_.addresses[static_cast<std::size_t>(number)];
  const std::string name = "n" + std::to_string(number);
  const bool shore = !experiment_.nodes.shore.empty();
  if (!shore || node.texts == 0) configure(number);
  std::vector<std::string> environment;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    if (std::strncmp(*variable, "NODE_", 5) != 0) environment.emplace_back(*variable);
  }
  environment.push_back("NODE_CONFIG=" + path(number, shore ? ".shore" : ".json"));
  environment.push_back("NODE_NAME=" + name);
  environment.push_back("NODE_LISTEN=" + listen);
  if (!shore) environment.push_back("NODE_DISCOVERY=" + discovery_(number, 0));
  if (!experiment_.nodes.own.empty()) {
    std::ofstream(path(number, ".own.toml")) << experiment_.nodes.own;
    environment.push_back("NODE_OWN=" + path(number, ".own.toml"));
  }
  std::vector<char*> arguments;
  for (const std::string& word : command_) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  std::vector<char*> variables;
  for (std::string& variable : environment) variables.push_back(variable.data());
  variables.push_back(nullptr);
  const std::string log = path(number, ".log");
  const pid_t pid = ::fork();
  if (pid < 0) {
    failure_ = std::string("cannot start a process: ") + std::strerror(errno);
    return;
  }
  if (pid == 0) {
    // Only what is safe between fork and exec. A node must not outlive a lab that is killed; and it must not
    // hold the stand-ins' listeners open, or a box that died would go on taking connections.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int in = ::open("/dev/null", O_RDONLY);
    ::dup2(in, 0);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::close_range(3, ~0U, 0);
    ::execvpe(arguments[0], arguments.data(), variables.data());
    static const char kCannot[] = "the program cannot be started\n";
    const ssize_t unused = ::write(2, kCannot, sizeof kCannot - 1);
    ::_exit(unused >= 0 ? 127 : 126);
  }
  node.pid = pid;
  node.up = true;
  node.asked = false;
  node.ready = false;
  node.started = clock_now();
  ++node.life;
  event(number, NodeDid::kStarted);
  look(number, node.life);
}

// One blocking question on loopback, with short limits: a node that does not answer within them is asked
// again.
bool Nodes::answers_ready(int number) const {
  const std::string& dial = front_.addresses[static_cast<std::size_t>(number)];
  const std::size_t colon = dial.rfind(':');
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  const timeval limit{0, 20000};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<unsigned short>(std::stoi(dial.substr(colon + 1))));
  ::inet_pton(AF_INET, dial.substr(0, colon).c_str(), &to.sin_addr);
  bool ready = false;
  if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) {
    const std::string ask = "GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n";
    char answer[16] = {};
    ready = ::send(fd, ask.data(), ask.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(ask.size()) &&
            ::recv(fd, answer, sizeof answer - 1, MSG_WAITALL) > 12 &&
            std::strncmp(answer + 9, "200", 3) == 0;
  }
  ::close(fd);
  return ready;
}

void Nodes::look(int number, int life) {
  Node& node = nodes_[static_cast<std::size_t>(number)];
  if (!node.up || node.asked || node.life != life) return;
  if (answers_ready(number)) {
    node.ready = true;
    event(number, NodeDid::kReady);
    front_.taken_in[static_cast<std::size_t>(number)] = true;
    return;
  }
  later(kLookEvery, [this, number, life] { look(number, life); });
}

bool Nodes::all_ready() const {
  for (const Node& node : nodes_) {
    if (!node.ready) return false;
  }
  return true;
}

void Nodes::ended(int number, int status) {
  Node& node = nodes_[static_cast<std::size_t>(number)];
  node.up = false;
  node.ready = false;
  const int code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
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
    Node& node = nodes_[static_cast<std::size_t>(number)];
    if (!node.up) continue;
    int status = 0;
    if (::waitpid(node.pid, &status, WNOHANG) == node.pid) {
      ended(number, status);
      continue;
    }
    any = true;
    if (round_ % kSampleEach == 0) {
      samples_.push_back({number, clock_now(), status_kb(node.pid, "VmRSS:"), count_descriptors(node.pid),
                          cpu_ms(node.pid)});
    }
  }
  if (stopping_ && !any) {
    if (const auto done = std::exchange(stopped_, nullptr)) done();
    return;
  }
  watch_.at(clock_now() + kWatchEvery, nullptr, [this] { watch(); });
}

void Nodes::act(const Action& action) {
  const bool ours = action.kind == Action::Kind::kNodeKill || action.kind == Action::Kind::kNodeTerm ||
                    action.kind == Action::Kind::kNodeReload;
  if (!ours) return;
  std::vector<int> numbers = action.nodes;
  if (numbers.empty()) {
    for (int number = 0; number < static_cast<int>(nodes_.size()); ++number) numbers.push_back(number);
  }
  for (const int number : numbers) {
    Node& node = nodes_[static_cast<std::size_t>(number)];
    if (!node.up) continue;
    const std::string name = "n" + std::to_string(number);
    const auto not_taken_in = [this, number, life = node.life] {
      const Node& now = nodes_[static_cast<std::size_t>(number)];
      // One that has come back ready meanwhile stays in.
      if (now.life == life || !now.ready) front_.taken_in[static_cast<std::size_t>(number)] = false;
    };
    switch (action.kind) {
      case Action::Kind::kNodeReload:
        marks_.push_back({clock_now(), "reload " + name});
        reload(number, action.every, clock_now() + action.length);
        break;
      case Action::Kind::kNodeKill: {
        marks_.push_back({clock_now(), "kill node " + name});
        node.asked = true;
        event(number, NodeDid::kKilled);
        ::kill(node.pid, SIGKILL);
        int status = 0;
        ::waitpid(node.pid, &status, 0);
        ended(number, status);
        later(experiment_.nodes.notice, not_taken_in);
        later(action.back, [this, number] {
          if (!stopping_) start(number);
        });
        break;
      }
      case Action::Kind::kNodeTerm: {
        marks_.push_back({clock_now(), "restart node " + name});
        node.asked = true;
        event(number, NodeDid::kTerminated);
        ::kill(node.pid, SIGTERM);
        later(experiment_.nodes.notice, not_taken_in);
        start_when_gone(number, action.back);
        break;
      }
      default:
        break;
    }
  }
}

void Nodes::start_when_gone(int number, Millis wait) {
  later(kWatchEvery, [this, number, wait] {
    if (nodes_[static_cast<std::size_t>(number)].up) return start_when_gone(number, wait);
    later(wait, [this, number] {
      if (!stopping_) start(number);
    });
  });
}

void Nodes::stop_all(std::function<void()> done) {
  stopping_ = true;
  stopped_ = std::move(done);
  for (Node& node : nodes_) {
    if (!node.up) continue;
    node.asked = true;
    ::kill(node.pid, SIGTERM);
  }
  later(kStopWithin, [this] {
    for (const Node& node : nodes_) {
      if (node.up) ::kill(node.pid, SIGKILL);
    }
  });
}

void Nodes::collect(Run& run) {
  run.nodes = events_;
  run.samples = samples_;
  run.marks.insert(run.marks.end(), marks_.begin(), marks_.end());
}

}  // namespace shorelead::lab
