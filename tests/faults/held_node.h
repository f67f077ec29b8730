// The process of a node that stops itself at one call (holding_calls.cpp), and a client of its whose
// connection may be refused.
#pragma once

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>

#include "peer.h"

namespace shorelead::node {

inline constexpr int kConnectsWithinMs = 100;
inline constexpr int kBackends = 300;     // in the list that the process is given
inline constexpr int kWaitMs = 396;       // of the client for its answer
inline constexpr int kLostAfterMs = 500;  // behind that

// A client whose connection may be refused, as nobody listens yet.
class Client {
 public:
  explicit Client(unsigned short port)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to);
    pollfd writable{fd_, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    // Where the listener's queue is full the system answers nothing.
    connected_ = ::poll(&writable, 1, kConnectsWithinMs) > 0 &&
                 ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
  }
  Client(Client&& other) noexcept : fd_(std::exchange(other.fd_, -1)), connected_(other.connected_) {}
  ~Client() {
    if (fd_ >= 0) ::close(fd_);
  }
  bool connected() const { return connected_; }
  // Writes without regard to the end of the connection, which finish() sees.
  void write(const std::string& text) { (void)::send(fd_, text.data(), text.size(), MSG_NOSIGNAL); }
  void end_sending() { ::shutdown(fd_, SHUT_WR); }
  // Reads `answers` responses or the end of the connection; false if neither comes in time.
  bool finish(std::size_t answers) {
    std::string text;
    Parser parser(Parser::Kind::kResponse);
    char part[4096];
    for (std::size_t n = 0; n < answers;) {
      if (parser.advance(text) == Parser::State::kDone) {
        text.erase(0, parser.size());
        parser.reset();
        ++n;
        continue;
      }
      pollfd readable{fd_, POLLIN, 0};
      if (::poll(&readable, 1, kWaitMs + kLostAfterMs) <= 0) return false;
      const ssize_t got = ::recv(fd_, part, sizeof part, 0);
      if (got <= 0) return true;
      text.append(part, static_cast<std::size_t>(got));
    }
    return true;
  }

 private:
  int fd_;
  bool connected_ = false;
};

class HeldNode {
 public:
  // `hold`: where the process stops; `faults`: calls that fail in it meanwhile (fault_plan.h).
  explicit HeldNode(const std::string& hold, const char* faults = nullptr, unsigned short port = 0)
      : port_(port == 0 ? Peer().port() : port) {
    std::ofstream(path_) << configuration();
    child_ = ::fork();
    if (child_ == 0) {
      const std::string libraries = faults == nullptr
                                        ? SHORELEAD_HOLD_LIBRARY
                                        : std::string(SHORELEAD_HOLD_LIBRARY) + ":" + SHORELEAD_FAULT_LIBRARY;
      ::setenv("LD_PRELOAD", libraries.c_str(), 1);
      ::setenv("SHORELEAD_HOLD", hold.c_str(), 1);
      if (faults != nullptr) ::setenv("SHORELEAD_FAULTS", faults, 1);
      ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 0);
      ::execl(SHORELEAD_NODE, SHORELEAD_NODE, "serve", "--log-level", "error", "--config", path_.c_str(),
              nullptr);
      ::_exit(127);
    }
  }
  ~HeldNode() {
    end();
    std::filesystem::remove_all(folder_);
  }
  unsigned short port() const { return port_; }
  // Whether the process stops there within the time; some steps need a client.
  bool stops() {
    for (int ms = 0; ms < kStopsWithinMs; ++ms) {
      int status = 0;
      if (::waitpid(child_, &status, WUNTRACED | WNOHANG) == child_) return WIFSTOPPED(status);
      pollfd nobody{-1, 0, 0};
      ::poll(&nobody, 1, 1);
    }
    return false;
  }
  void go_on() { ::kill(child_, SIGCONT); }
  void end() {
    if (child_ < 0) return;
    ::kill(child_, SIGKILL);
    ::waitpid(std::exchange(child_, -1), nullptr, 0);
  }
  // A client of a process that listens by now, or will.
  Client connected_client() const {
    for (int n = 0; n < kConnectAttempts; ++n) {
      Client client(port_);
      if (client.connected()) return client;
      pollfd nobody{-1, 0, 0};
      ::poll(&nobody, 1, 1);
    }
    ADD_FAILURE() << "the process never listens";
    return Client(port_);
  }

 private:
  static constexpr int kStopsWithinMs = 5000;
  static constexpr int kConnectAttempts = 3000;

  std::string configuration() const {
    std::string backends;
    for (int n = 0; n < kBackends; ++n) {
      backends += std::string(n == 0 ? "" : ",") + R"({"host":"s-)" + std::to_string(n) +
                  R"(","dial":"127.0.0.1:9","health":"ready"})";
    }
    return R"({"name":"n1","listen":"127.0.0.1:)" + std::to_string(port_) + R"(","discovery":")" +
           discovery_.dial() +
           R"(","seed":"1f","limits":{"sockets":1024},"known":{"seq":0,"whole":true,"hosts":[)" + backends +
           R"(]},"settings":{"Instances":1,"Me":0,"RegistryMode":"subscribe",
       "Services":[{"Name":"keyed","Aim":200,"GiveUp":396,"Effect":"token","Group":"all","DedupWindow":800}],
       "Allowed":{"Probing":true,"Cancel":true,"MostTries":3,"ConnIdle":60000,"ConnectTimeout":200},
       "Invariants":{"ColdShare":0.3,"WarmUp":9000,"FallMultiple":3,"Fall":1000,"AskEvery":10000,
       "StopSendingWithin":250}}})";
  }

  const std::string folder_ = [] {
    std::string name = testing::TempDir() + "shorelead-XXXXXX";
    return std::string(::mkdtemp(name.data()));
  }();
  const std::string path_ = folder_ + "/config.json";
  const Peer discovery_;  // takes calls and answers none
  const unsigned short port_;
  pid_t child_ = -1;
};

}  // namespace shorelead::node
