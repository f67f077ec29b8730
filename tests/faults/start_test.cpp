// A node's process while it starts: what is told to it in the middle is not lost, and ends nothing.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "peer.h"

namespace shorelead::node {
namespace {

constexpr int kAnswerWithin = 5000;  // ms, far more than an answer takes

unsigned short free_port() { return Peer().port(); }

std::string configuration(unsigned short port, const Peer& discovery) {
  return R"({"name":"n1","listen":"127.0.0.1:)" + std::to_string(port) + R"(","discovery":")" +
         discovery.dial() +
         R"(","seed":"1f","limits":{"sockets":1024},"known":{"seq":0,"whole":true,"hosts":[]},
    "settings":{"Instances":1,"Me":0,"RegistryMode":"subscribe",
       "Services":[{"Name":"lookup","Aim":400,"GiveUp":1000,"Effect":"pure"}],
       "Allowed":{"Probing":true,"Cancel":true,"MostTries":3,"ConnIdle":60000,"ConnectTimeout":200},
       "Invariants":{"ColdShare":0.3,"WarmUp":9000,"FallMultiple":3,"Fall":1000,"AskEvery":10000}}})";
}

// A node whose process waits in the middle of its start, as its configuration does not come.
class Starting {
 public:
  // `output`: where its log goes. `faults`: which of its calls fail (fault_plan.h).
  explicit Starting(int output = STDOUT_FILENO, const char* faults = nullptr) {
    EXPECT_EQ(::mkfifo(path_.c_str(), 0600), 0);
    child_ = ::fork();
    if (child_ == 0) {
      ::dup2(output, STDOUT_FILENO);
      if (faults != nullptr) {
        ::setenv("LD_PRELOAD", SHORELEAD_FAULT_LIBRARY, 1);
        ::setenv("SHORELEAD_FAULTS", faults, 1);
        ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 0);
      }
      ::execl(SHORELEAD_NODE, SHORELEAD_NODE, "serve", "--config", path_.c_str(), nullptr);
      ::_exit(127);
    }
    pipe_ = ::open(path_.c_str(), O_WRONLY);  // once it reads
    // Read again it is an ordinary file.
    std::filesystem::remove(path_);
    std::ofstream(path_) << configuration(port_, discovery_);
  }
  ~Starting() {
    ::kill(child_, SIGKILL);
    ::waitpid(child_, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }
  void signal(int number) const { ::kill(child_, number); }
  void go_on() {
    const std::string text = configuration(port_, discovery_);
    EXPECT_EQ(::write(pipe_, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    ::close(pipe_);
  }
  // Whether the process has come to take clients; false: it has ended.
  bool takes_clients() {
    while (::waitpid(child_, nullptr, WNOHANG) == 0) {
      const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
      sockaddr_in to{};
      to.sin_family = AF_INET;
      to.sin_port = htons(port_);
      to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      const bool up = ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
      ::close(fd);
      if (up) return true;
    }
    return false;
  }
  // Whether it answers a client that sends this as soon as it can connect.
  bool answers(const std::string& request = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n",
               int within = kAnswerWithin) {
    if (!takes_clients()) return false;
    Line client = Line::connect(port_);
    client.write(request);
    pollfd come{client.fd(), POLLIN, 0};
    return ::poll(&come, 1, within) > 0;
  }

 private:
  const std::string folder_ = [] {
    std::string name = testing::TempDir() + "shorelead-XXXXXX";
    return std::string(::mkdtemp(name.data()));
  }();
  const std::string path_ = folder_ + "/config.json";
  const Peer discovery_;
  const unsigned short port_ = free_port();
  pid_t child_ = -1;
  int pipe_ = -1;
};

TEST(Start, ANewConfigurationToldInTheMiddleEndsNothing) {
  Starting node;
  node.signal(SIGHUP);
  node.go_on();
  EXPECT_TRUE(node.takes_clients());
}

// A pipe that is full, and that nobody reads.
struct StandingReader {
  StandingReader() {
    EXPECT_EQ(::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK), 0);
    const std::string much(4096, 'x');
    while (::write(ends[1], much.data(), much.size()) > 0) continue;
    ::fcntl(ends[1], F_SETFL, 0);  // as a process finds its standard output
  }
  ~StandingReader() {
    for (const int end : ends) ::close(end);
  }
  std::array<int, 2> ends{};
};

TEST(Start, ALogThatNobodyReadsHoldsNoClientUp) {
  const StandingReader reader;
  Starting node(reader.ends[1]);
  node.go_on();
  EXPECT_TRUE(node.answers());
}

TEST(Start, NoRequestIsAcceptedThatTheUnfinishedStartLeavesUnanswered) {
  constexpr int kWait = 100;  // ms, of the client
  constexpr int kLost = 500;  // beyond that it is lost
  Starting node(STDOUT_FILENO, "signalfd=1,burst=1500/1000000");
  node.go_on();
  EXPECT_TRUE(node.answers("GET /lookup HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nX-Timeout-Ms: " +
                               std::to_string(kWait) + "\r\n\r\n",
                           kWait + kLost));
}

}  // namespace
}  // namespace shorelead::node
