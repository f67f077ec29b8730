// Small stand-ins for the review's cases: backends, discovery and clients on loopback sockets, and a record
// of what was sent, answered and run. They follow the protocol page; each case says what its backends do
// wrong.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace stand {

using Clock = std::chrono::steady_clock;

inline double now_ms() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

[[noreturn]] inline void cannot_run(const std::string& cause) {
  std::fprintf(stderr, "the case cannot run: %s\n", cause.c_str());
  std::_Exit(2);
}

// The record of a run, a line for each event.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) cannot_run("no record can be written at " + path);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const double at = now_ms();
    const std::lock_guard<std::mutex> hold(mutex_);
    std::fprintf(file_, "%10.2f ", at);
    va_list values;
    va_start(values, format);
    std::vfprintf(file_, format, values);
    va_end(values);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* const file_;
  std::mutex mutex_;
};

// Listens on a free loopback port.
inline int listen_on_free_port(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 512) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    cannot_run("no free port");
  port = ntohs(address.sin_port);
  return fd;
}

inline int free_port() {
  int port = 0;
  ::close(listen_on_free_port(port));
  return port;
}

inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (fd < 0 || ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    if (fd >= 0) ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline std::string lower(std::string text) {
  for (char& c : text) c = static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
  return text;
}

// One message with its head and body as they came.
struct Message {
  std::string start;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  std::string field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
  int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

enum class Parsed { kMore, kWhole, kBad };

// Takes one message off the front of `buffer`. `ended`: nothing more comes.
inline Parsed take_message(std::string& buffer, Message& into, bool response, bool ended) {
  const std::size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) return Parsed::kMore;
  Message message;
  std::size_t at = buffer.find("\r\n");
  message.start = buffer.substr(0, at);
  while (at < end) {
    const std::size_t from = at + 2;
    at = buffer.find("\r\n", from);
    const std::string line = buffer.substr(from, at - from);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return Parsed::kBad;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    message.fields[lower(line.substr(0, colon))] = line.substr(value);
  }
  std::size_t body = end + 4;
  if (lower(message.field("transfer-encoding")) == "chunked") {
    while (true) {
      const std::size_t line = buffer.find("\r\n", body);
      if (line == std::string::npos) return Parsed::kMore;
      const std::size_t size = std::strtoul(buffer.c_str() + body, nullptr, 16);
      if (buffer.size() < line + 2 + size + 2) return Parsed::kMore;
      message.body += buffer.substr(line + 2, size);
      body = line + 2 + size + 2;
      if (size == 0) break;
    }
  } else if (!message.field("content-length").empty()) {
    const std::size_t size = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    if (buffer.size() < body + size) return Parsed::kMore;
    message.body = buffer.substr(body, size);
    body += size;
  } else if (response) {
    if (!ended) return Parsed::kMore;
    message.body = buffer.substr(body);
    body = buffer.size();
  }
  buffer.erase(0, body);
  into = message;
  return Parsed::kWhole;
}

// ---- backends ----

// A connection to a backend, served by a thread of its own. What comes is handled, and what is written
// leaves, `delay` ms later: the way between node and backend.
class BackendConnection {
 public:
  BackendConnection(int fd, double delay, std::function<void(BackendConnection&, const Message&)> handle)
      : fd_(fd), delay_(delay), handle_(std::move(handle)) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~BackendConnection() { ::close(fd_); }

  // Runs `task` on this connection's thread, `ms` from now.
  void after(double ms, std::function<void()> task) { due_.emplace(now_ms() + ms, std::move(task)); }
  void write(std::string bytes) {
    after(delay_, [this, bytes = std::move(bytes)] {
      if (::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) over_ = true;
    });
  }
  void end() {
    after(delay_, [this] { over_ = true; });
  }
  int requests() const { return requests_; }  // handled so far on this connection
  int waiting = 0;                            // of those, not answered yet

  void run() {
    while (!over_) {
      const double wait = due_.empty() ? 1000 : due_.begin()->first - now_ms();
      if (wait <= 0) {
        const auto task = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        task();
        continue;
      }
      pollfd one{fd_, static_cast<short>(ended_ ? 0 : POLLIN), 0};
      const timespec span{static_cast<time_t>(wait / 1000),
                          static_cast<long>((wait - 1000 * static_cast<long>(wait / 1000)) * 1e6)};
      const int ready = ::ppoll(&one, 1, &span, nullptr);
      if (ready <= 0) continue;
      char part[16384];
      const ssize_t got = ::recv(fd_, part, sizeof part, MSG_DONTWAIT);
      if (got < 0 && (errno == EAGAIN || errno == EINTR)) continue;
      if (got <= 0) {
        ended_ = true;
        after(delay_, [this] { over_ = true; });
        continue;
      }
      after(delay_, [this, bytes = std::string(part, static_cast<std::size_t>(got))] { take(bytes); });
    }
  }

 private:
  void take(const std::string& bytes) {
    input_ += bytes;
    Message message;
    Parsed parsed;
    while ((parsed = take_message(input_, message, false, false)) == Parsed::kWhole) {
      ++requests_;
      ++waiting;
      handle_(*this, message);
    }
    if (parsed == Parsed::kBad) over_ = true;
  }

  const int fd_;
  const double delay_;
  const std::function<void(BackendConnection&, const Message&)> handle_;
  std::multimap<double, std::function<void()>> due_;
  std::string input_;
  int requests_ = 0;
  bool ended_ = false;
  bool over_ = false;
};

class Backend {
 public:
  using Handle = std::function<void(Backend&, BackendConnection&, const Message&)>;
  Backend(std::string host, std::string site, int block, double delay, Handle handle)
      : host(std::move(host)), site(std::move(site)), block(block), handle_(std::move(handle)) {
    const int listener = listen_on_free_port(port);
    std::thread([this, listener, delay] {
      while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([this, fd, delay] {
          BackendConnection connection(fd, delay, [this](BackendConnection& on, const Message& message) {
            handle_(*this, on, message);
          });
          connection.run();
        }).detach();
      }
    }).detach();
  }
  std::string entry(const std::string& health) const {
    return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + std::to_string(port) + "\",\"site\":\"" +
           site + "\",\"class\":\"m\",\"block\":" + std::to_string(block) + ",\"health\":\"" + health +
           "\",\"share\":1.0,\"born_ms\":0}";
  }
  const std::string host;
  const std::string site;
  const int block;
  int port = 0;
  std::atomic<int> in_hand{0};

 private:
  const Handle handle_;
};

// ---- discovery ----

// Gives the whole list to whoever calls, and to a watch an empty line every 2 s. The list does not change.
class Discovery {
 public:
  explicit Discovery(const std::vector<std::unique_ptr<Backend>>& backends) {
    std::string hosts;
    for (const auto& backend : backends) hosts += (hosts.empty() ? "" : ",") + backend->entry("ready");
    list = "{\"seq\":7,\"whole\":true,\"hosts\":[" + hosts + "]}";
    const int listener = listen_on_free_port(port);
    std::thread([this, listener] {
      while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }
  int port = 0;
  std::string list;

 private:
  static bool send_all(int fd, const std::string& text) {
    return ::send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  }
  static std::string chunk(const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void serve(int fd) const {
    std::string input;
    char part[4096];
    Message call;
    while (take_message(input, call, false, false) != Parsed::kWhole) {
      const ssize_t got = ::recv(fd, part, sizeof part, 0);
      if (got <= 0) return void(::close(fd));
      input.append(part, static_cast<std::size_t>(got));
    }
    if (call.start.find("watch=1") == std::string::npos) {
      send_all(fd, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(list.size()) +
                       "\r\n\r\n" + list);
    } else {
      bool open = send_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list + "\n"));
      while (open) {
        sleep_ms(2000);
        open = send_all(fd, chunk("\n"));
      }
    }
    ::close(fd);
  }
};

// ---- clients ----

struct Answer {
  bool whole = false;
  bool ended = false;  // the connection ended before the answer was whole
  Message message;
  double at = 0;        // of its last byte, or of the end
  std::string partial;  // what had come of an answer that is not whole
};

// One client connection, which carries one request at a time.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { close(); }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
    input_.clear();
  }
  // Sends a request and waits for its answer until `give_up` (ms from now). A connection that ended while it
  // was resting is replaced, as the protocol page says.
  Answer ask(const std::string& request, double give_up) {
    if (fd_ >= 0) {
      char byte;
      const ssize_t got = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (got == 0 || (got < 0 && errno != EAGAIN)) close();
    }
    if (fd_ < 0) fd_ = connect_to(port_);
    Answer answer;
    const double until = now_ms() + give_up;
    if (fd_ < 0 || ::send(fd_, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
      answer.ended = true;
      answer.at = now_ms();
      close();
      return answer;
    }
    while (true) {
      if (take_message(input_, answer.message, true, false) == Parsed::kWhole) {
        answer.whole = true;
        answer.at = now_ms();
        if (lower(answer.message.field("connection")) == "close") close();
        return answer;
      }
      const double left = until - now_ms();
      pollfd one{fd_, POLLIN, 0};
      const int ready = left > 0 ? ::poll(&one, 1, static_cast<int>(left) + 1) : 0;
      if (ready <= 0) {
        if (left > 0) continue;
        answer.at = now_ms();
        answer.partial = input_;
        close();
        return answer;
      }
      char part[16384];
      const ssize_t got = ::recv(fd_, part, sizeof part, 0);
      if (got > 0) {
        input_.append(part, static_cast<std::size_t>(got));
        continue;
      }
      answer.at = now_ms();
      answer.whole = got == 0 && take_message(input_, answer.message, true, true) == Parsed::kWhole;
      answer.ended = !answer.whole;
      answer.partial = input_;
      close();
      return answer;
    }
  }

 private:
  const int port_;
  int fd_ = -1;
  std::string input_;
};

inline std::string request_text(const std::string& method, const std::string& path, const std::string& id,
                                int wait_ms, const std::string& key = "") {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: " + id +
                     "\r\nX-Timeout-Ms: " + std::to_string(wait_ms) + "\r\n";
  if (!key.empty()) text += "Idempotency-Key: " + key + "\r\n";
  if (method == "POST") return text + "Content-Length: 6\r\n\r\nid=" + id.substr(0, 3);
  return text + "\r\n";
}

// Waits until the node at `port` says that it is ready.
inline void wait_until_ready(int port, double limit) {
  while (now_ms() < limit) {
    Client client(port);
    const Answer answer = client.ask("GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n", 500);
    if (answer.whole && answer.message.status() == 200) return;
    sleep_ms(50);
  }
  cannot_run("the node did not become ready");
}

inline std::string ok(const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Writes the node's configuration: `settings` is the platform's object, `sockets` the limit of descriptors.
inline void write_config(const std::string& path, int listen, const Discovery& discovery,
                         const std::string& settings) {
  std::ofstream file(path);
  file << "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" << listen
       << "\",\"discovery\":\"127.0.0.1:" << discovery.port << "\",\"seed\":\"8c1f30d27a5be964\","
       << "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" << discovery.list
       << ",\"settings\":" << settings << "}\n";
  if (!file.flush()) cannot_run("no configuration can be written");
}

struct Options {
  std::string record;  // path of the record
  std::string config;  // path of the node's configuration, to be written
  bool trouble = true;
};

// The script starts the node once this program has written its configuration, and names the files.
inline Options options(int argc, char** argv) {
  if (argc != 3) cannot_run("usage: case RECORD CONFIG");
  const char* const trouble = std::getenv("TROUBLE");
  now_ms();
  std::thread([] {
    sleep_ms(110000);
    cannot_run("it took too long");
  }).detach();
  return {argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0"};
}

}  // namespace stand
