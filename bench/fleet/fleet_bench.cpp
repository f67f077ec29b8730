// One real node before a list of so many backends: requests a second, processor and memory by the length of
// the list. The backends are stand-ins on loopback that answer at once; many entries of the list share a
// listener, as no process may listen on 20,000 sockets, which the node cannot tell. Clients are a closed loop
// on kept connections, for so many seconds. Owns the stand-ins and the clients; decides and judges nothing.
#include <fcntl.h>
#include <sched.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

const auto kLoopback = asio::ip::make_address_v4("127.0.0.1");
constexpr std::size_t kListeners = 200;

struct Counts {
  std::atomic<std::uint64_t> accepted{0};
  std::atomic<std::uint64_t> probes{0};
  std::atomic<std::uint64_t> requests{0};
};

// A connection to a backend: every head is answered at once.
class Backend : public std::enable_shared_from_this<Backend> {
 public:
  Backend(tcp::socket socket, Counts& counts, const std::string& still)
      : socket_(std::move(socket)), counts_(counts), still_(still) {
    socket_.set_option(tcp::no_delay(true));
  }

  void read() {
    socket_.async_read_some(asio::buffer(part_), [self = shared_from_this()](auto error, std::size_t size) {
      if (error) return;
      self->in_.append(self->part_.data(), size);
      self->answer();
    });
  }

 private:
  void answer() {
    out_.clear();
    for (std::size_t end = 0; (end = in_.find("\r\n\r\n")) != std::string::npos; in_.erase(0, end + 4)) {
      const bool probe = in_.compare(0, 7, "GET /-/") == 0;
      ++(probe ? counts_.probes : counts_.requests);
      // Reports that move a little, or stand still.
      const char* const moving =
          ++told_ % 2 == 0 ? "inflight=0,queue=0,util=0.1" : "inflight=1,queue=0,util=0.2";
      const std::string& load = still_.empty() ? std::string(moving) : still_;
      out_.append("HTTP/1.1 200 OK\r\nX-Server-Load: ").append(load);
      out_.append("\r\nContent-Length: 2\r\n\r\nok");
    }
    if (out_.empty()) return read();
    asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](auto error, std::size_t) {
      if (!error) self->read();
    });
  }

  tcp::socket socket_;
  Counts& counts_;
  const std::string still_;  // what reports always say; empty = they move
  std::uint64_t told_ = 0;
  std::array<char, 4096> part_;
  std::string in_;
  std::string out_;
};

class Listener {
 public:
  Listener(asio::io_context& context, Counts& counts, const std::string& still)
      : acceptor_(context, tcp::endpoint(kLoopback, 0)), counts_(counts), still_(still) {
    accept();
  }
  unsigned short port() const { return acceptor_.local_endpoint().port(); }

 private:
  void accept() {
    acceptor_.async_accept([this](auto error, tcp::socket socket) {
      if (error) return;
      ++counts_.accepted;
      std::make_shared<Backend>(std::move(socket), counts_, still_)->read();
      accept();
    });
  }
  tcp::acceptor acceptor_;
  Counts& counts_;
  const std::string still_;  // what reports always say; empty = they move
};

// Discovery: the whole list on the first line of a watch, then signs of life.
class Registry {
 public:
  Registry(asio::io_context& context, std::string list)
      : acceptor_(context, tcp::endpoint(kLoopback, 0)), timer_(context), list_(std::move(list)) {
    accept();
  }
  unsigned short port() const { return acceptor_.local_endpoint().port(); }

 private:
  void accept() {
    acceptor_.async_accept([this](auto error, tcp::socket socket) {
      if (error) return;
      socket_ = std::make_unique<tcp::socket>(std::move(socket));
      std::ostringstream head;
      head << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           << std::hex << list_.size() + 1 << "\r\n";
      out_ = head.str() + list_ + "\n\r\n";
      asio::async_write(*socket_, asio::buffer(out_), [this](auto, std::size_t) { alive(); });
      accept();
    });
  }
  void alive() {
    timer_.expires_after(std::chrono::seconds(2));
    timer_.async_wait([this](auto error) {
      if (error || !socket_) return;
      out_ = "1\r\n\n\r\n";
      asio::async_write(*socket_, asio::buffer(out_), [this](auto failed, std::size_t) {
        if (!failed) alive();
      });
    });
  }
  tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  std::unique_ptr<tcp::socket> socket_;
  std::string list_;
  std::string out_;
};

std::string list_of(int backends, const std::vector<std::unique_ptr<Listener>>& listeners) {
  std::ostringstream text;
  text << R"({"seq":1,"whole":true,"hosts":[)";
  for (int i = 0; i < backends; ++i) {
    text << (i > 0 ? "," : "") << R"({"host":"s-)" << i << R"(","dial":"127.0.0.1:)"
         << listeners[static_cast<std::size_t>(i) % listeners.size()]->port() << R"(","site":")"
         << static_cast<char>('a' + i % 3) << R"(","class":"m","block":)" << i % 5
         << R"(,"health":"ready","share":1.0,"born_ms":0})";
  }
  text << "]}";
  return text.str();
}

struct Answers {
  std::vector<double> times;  // ms
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
};

// A client that asks again as soon as it is answered, on one connection.
class Client {
 public:
  Client(asio::io_context& context, unsigned short port, int number, Clock::time_point from,
         Clock::time_point until, Answers& answers)
      : socket_(context), port_(port), number_(number), from_(from), until_(until), answers_(answers) {
    connect();
  }

 private:
  void connect() {
    in_.clear();
    socket_ = tcp::socket(socket_.get_executor());
    socket_.async_connect({kLoopback, port_}, [this](auto error) {
      if (error) return;
      socket_.set_option(tcp::no_delay(true));
      ask();
    });
  }
  void ask() {
    at_ = Clock::now();
    if (at_ >= until_) return;
    out_ = "GET /look/x HTTP/1.1\r\nHost: a\r\nX-Request-ID: c" + std::to_string(number_) + "-" +
           std::to_string(++asked_) + "\r\nX-Timeout-Ms: 1000\r\n\r\n";
    asio::async_write(socket_, asio::buffer(out_), [this](auto error, std::size_t) {
      if (error) return connect();
      read();
    });
  }
  void read() {
    socket_.async_read_some(asio::buffer(part_), [this](auto error, std::size_t size) {
      if (error) return connect();
      in_.append(part_.data(), size);
      const std::size_t head = in_.find("\r\n\r\n");
      if (head == std::string::npos) return read();
      const std::size_t length = in_.find("Content-Length: ");
      const std::size_t body = std::stoul(in_.substr(length + 16));
      if (in_.size() < head + 4 + body) return read();
      const Clock::time_point now = Clock::now();
      if (now >= from_) {
        const std::string status = in_.substr(9, 3);
        if (status == "200")
          answers_.times.push_back(std::chrono::duration<double, std::milli>(now - at_).count());
        answers_.refused += status == "503" || status == "429";
        answers_.failed += status != "200" && status != "503" && status != "429";
      }
      const bool bye = in_.substr(0, head).find("Connection: close") != std::string::npos;
      in_.erase(0, head + 4 + body);
      bye ? connect() : ask();
    });
  }

  tcp::socket socket_;
  const unsigned short port_;
  const int number_;
  const Clock::time_point from_;
  const Clock::time_point until_;
  Answers& answers_;
  Clock::time_point at_;
  std::uint64_t asked_ = 0;
  std::array<char, 4096> part_;
  std::string in_;
  std::string out_;
};

void pin(int core) {
  if (core < 0) return;
  cpu_set_t set;
  CPU_ZERO(&set);
  CPU_SET(static_cast<std::size_t>(core), &set);
  ::sched_setaffinity(0, sizeof set, &set);
}

// Seconds of processor and bytes of memory of a process.
double cpu_of(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) rest >> skipped;
  double user = 0;
  double system = 0;
  rest >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double memory_of(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

struct Options {
  std::string node;
  std::string own;
  std::vector<int> backends{8, 100, 1000, 5000, 20000};
  int clients = 32;
  int sockets = 4096;
  double seconds = 5;
  double warm_up = 4;
  std::string still;
};

void run(const Options& options, int backends) {
  asio::io_context context;
  Counts counts;
  std::vector<std::unique_ptr<Listener>> listeners;
  for (std::size_t i = 0; i < std::min<std::size_t>(kListeners, static_cast<std::size_t>(backends)); ++i) {
    listeners.push_back(std::make_unique<Listener>(context, counts, options.still));
  }
  const std::string list = list_of(backends, listeners);
  Registry registry(context, list);
  std::thread stand_ins([&context] {
    pin(1);
    context.run();
  });

  tcp::acceptor reserve(context, tcp::endpoint(kLoopback, 0));
  const unsigned short port = reserve.local_endpoint().port();
  reserve.close();
  char folder[] = "/tmp/fleet_bench.XXXXXX";
  if (::mkdtemp(folder) == nullptr) throw std::runtime_error("no folder for the configuration");
  const std::string config = std::string(folder) + "/config.json";
  std::ofstream(config)
      << R"({"name":"n1","listen":"127.0.0.1:)" << port << R"(","discovery":"127.0.0.1:)" << registry.port()
      << R"(","seed":"1f","limits":{"sockets":)" << options.sockets
      << R"(},"known":{"seq":0,"whole":true,"hosts":[]},)"
      << R"("settings":{"Instances":1,"Me":0,"Azs":["a","b","c"],"RegistryMode":"subscribe",)"
      << R"("Services":[{"Name":"look","Aim":400,"GiveUp":1000,"Effect":"pure"}],)"
      << R"("Allowed":{"Probing":true,"Cancel":true,"MostTries":3,"ConnIdle":60000,"ConnectTimeout":200},)"
      << R"("Invariants":{"ColdShare":0.3,"WarmUp":9000,"FallMultiple":3,"Fall":1000,"AskEvery":10000}}})";
  const std::string log = std::string(folder) + "/node.log";
  const pid_t pid = ::fork();
  if (pid == 0) {
    pin(0);
    const int out = ::open(log.c_str(), O_CREAT | O_WRONLY, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    std::vector<const char*> words = {options.node.c_str(), "serve", "--config", config.c_str()};
    if (!options.own.empty()) words.insert(words.end(), {"--own", options.own.c_str()});
    words.push_back(nullptr);
    ::execv(options.node.c_str(), const_cast<char* const*>(words.data()));
    ::_exit(127);
  }

  Answers answers;
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const double bare = memory_of(pid);
  asio::io_context mine;
  const auto in = [](double seconds) {
    return Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
  };
  const Clock::time_point from = in(options.warm_up);
  const Clock::time_point until = in(options.warm_up + options.seconds);
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < options.clients; ++i) {
    clients.push_back(std::make_unique<Client>(mine, port, i, from, until, answers));
  }
  double cpu = 0;
  double memory = 0;
  std::uint64_t opened = 0;
  std::uint64_t probes = 0;
  asio::steady_timer begin(mine, from);
  begin.async_wait([&](auto) {
    cpu = cpu_of(pid);
    opened = counts.accepted;
    probes = counts.probes;
  });
  asio::steady_timer end(mine, until);
  end.async_wait([&](auto) {
    cpu = cpu_of(pid) - cpu;
    opened = counts.accepted - opened;
    probes = counts.probes - probes;
    memory = memory_of(pid);
    mine.stop();
  });
  pin(2);
  mine.run();
  ::kill(pid, SIGTERM);
  ::waitpid(pid, nullptr, 0);
  context.stop();
  stand_ins.join();

  std::vector<double>& times = answers.times;
  std::sort(times.begin(), times.end());
  const auto quantile = [&times](double q) {
    return times.empty() ? 0 : times[static_cast<std::size_t>(q * static_cast<double>(times.size() - 1))];
  };
  const auto served = static_cast<double>(times.size());
  std::printf("| %d | %d | %.0f | %.1f | %.2f | %.2f | %llu | %llu | %.0f | %.0f | %.1f | %.1f |\n", backends,
              options.sockets, served / options.seconds, served > 0 ? cpu * 1e6 / served : 0, quantile(0.5),
              quantile(0.99), static_cast<unsigned long long>(answers.refused),
              static_cast<unsigned long long>(answers.failed), static_cast<double>(opened) / options.seconds,
              static_cast<double>(probes) / options.seconds, bare / 1e6, memory / 1e6);
  std::fflush(stdout);
  ::unlink(config.c_str());
  ::unlink(log.c_str());
  ::rmdir(folder);
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app("One real node before lists of growing length; boxes are stand-ins on loopback",
               "fleet_bench");
  app.add_option("--node", options.node, "the node's program")->required()->check(CLI::ExistingFile);
  app.add_option("--own", options.own, "its file of our own")->check(CLI::ExistingFile);
  app.add_option("--boxes", options.backends, "entries of the list")->check(CLI::Range(1, 100000));
  app.add_option("--clients", options.clients)->check(CLI::Range(1, 2000));
  app.add_option("--sockets", options.sockets, "the node's descriptors")->check(CLI::Range(64, 19000));
  app.add_option("--seconds", options.seconds)->check(CLI::Range(0.5, 120.0));
  app.add_option("--warm-up", options.warm_up)->check(CLI::Range(0.0, 60.0));
  app.add_option("--still", options.still,
                 "what boxes' load reports say all the time; they move if not given");
  CLI11_PARSE(app, argc, argv);
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  std::printf(
      "| boxes | descriptors | requests/s | CPU us a request | p50 ms | p99 ms | refused | failed | opened/s "
      "| "
      "probes/s | MB before load | MB after |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
      "--- | --- |\n");
  for (const int backends : options.backends) run(options, backends);
  return 0;
}
