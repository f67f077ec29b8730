// The process of a node during its start: signals are not lost and do not end it.
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

constexpr int kAnswerTimeoutMs = 5000;  // far more than a response takes

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

// A process that blocks during its start, as its configuration is a pipe without data.
class StartingNode {
 public:
  // `output`: descriptor for its log. `faults`: injected faults (fault_plan.h).
  explicit StartingNode(int output = STDOUT_FILENO, const char* faults = nullptr) {
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
    pipe_ = ::open(path_.c_str(), O_WRONLY);  // returns once the process reads
    // A reload reads an ordinary file.
    std::filesystem::remove(path_);
    std::ofstream(path_) << configuration(port_, discovery_);
  }
  ~StartingNode() {
    ::kill(child_, SIGKILL);
    ::waitpid(child_, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }
  void signal(int number) const { ::kill(child_, number); }
  void deliver_configuration() {
    const std::string text = configuration(port_, discovery_);
    EXPECT_EQ(::write(pipe_, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    ::close(pipe_);
  }
  // Waits until the process accepts clients; false if it has ended.
  bool accepts_clients() {
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
  // Whether it answers a request that is sent as soon as a client can connect.
  bool answers(const std::string& request = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n",
               int within = kAnswerTimeoutMs) {
    if (!accepts_clients()) return false;
    Line client = Line::connect(port_);
    client.write(request);
    pollfd readable{client.fd(), POLLIN, 0};
    return ::poll(&readable, 1, within) > 0;
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

TEST(Start, SighupDuringTheStartDoesNotEndTheProcess) {
  StartingNode node;
  node.signal(SIGHUP);
  node.deliver_configuration();
  EXPECT_TRUE(node.accepts_clients());
}

// A full pipe that is not read.
struct StalledReader {
  StalledReader() {
    EXPECT_EQ(::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK), 0);
    const std::string filler(4096, 'x');
    while (::write(ends[1], filler.data(), filler.size()) > 0) continue;
    ::fcntl(ends[1], F_SETFL, 0);  // blocking, as standard output usually is
  }
  ~StalledReader() {
    for (const int end : ends) ::close(end);
  }
  std::array<int, 2> ends{};
};

TEST(Start, AnUnreadLogDoesNotDelayClients) {
  const StalledReader reader;
  StartingNode node(reader.ends[1]);
  node.deliver_configuration();
  EXPECT_TRUE(node.answers());
}

TEST(Start, RequestsAcceptedDuringTheStartAreAnswered) {
  constexpr int kClientTimeoutMs = 100;  // of the client
  constexpr int kGraceMs = 500;          // after which the request counts as lost
  StartingNode node(STDOUT_FILENO, "signalfd=1,burst=1500/1000000");
  node.deliver_configuration();
  EXPECT_TRUE(node.answers("GET /lookup HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nX-Timeout-Ms: " +
                               std::to_string(kClientTimeoutMs) + "\r\n\r\n",
                           kClientTimeoutMs + kGraceMs));
}

}  // namespace
}  // namespace shorelead::node
