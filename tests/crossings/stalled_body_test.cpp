// Backends that stop reading a long request body, or read it slowly: the client has written all of it, and is
// owed a final answer in its time, whatever part of the body has reached a backend.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "backends.h"
#include "node_case.h"

namespace shorelead::node {
namespace {

constexpr int kWaitMs = 400;
constexpr double kLateMs = 500;  // after its time an answer is only of no use, later it is lost
constexpr std::size_t kReadBeforeStop = 8192;
constexpr std::size_t kLong = 1000000;
constexpr std::size_t kPiece = 20000;
constexpr int kSmallBuffer = 16384;
const std::string kBodyWait = "X-Timeout-Ms: " + std::to_string(kWaitMs) + "\r\n";

std::string hex(std::size_t size) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%zx", size);
  return text.data();
}

std::string long_request(const std::string& path, std::size_t size, bool chunked) {
  const std::string key = path == "/keyed" ? "Idempotency-Key: k\r\n" : "";
  const std::string head = "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + id_field() + kBodyWait + key;
  const std::string body(size, 'b');
  if (!chunked) return head + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + body;
  return head + "Transfer-Encoding: chunked\r\n\r\n" + hex(size) + "\r\n" + body + "\r\n0\r\n\r\n";
}

// Reads at least so many bytes and then no more.
void read_some(Line& backend, std::size_t size) {
  for (std::size_t got = 0; got < size;) {
    const std::size_t part = backend.some().size();
    if (part == 0) return;
    got += part;
  }
}

// How long after its time the client has its answer.
double lateness(Line& client, double written_at, std::string& answer) {
  answer = client.answer();
  return steady_ms() - written_at - kWaitMs;
}

TEST(StalledBody, AClientIsAnsweredInTimeWhoseBackendStopsReading) {
  for (const std::string path : {"/unsafe", "/keyed"}) {
    for (const bool chunked : {false, true}) {
      for (const std::size_t size : {std::size_t{100000}, std::size_t{300000}, kLong}) {
        Served served;
        auto& [backend, node, client] = served;
        ::setsockopt(backend.fd(), SOL_SOCKET, SO_RCVBUF, &kSmallBuffer, sizeof kSmallBuffer);
        client.write(long_request(path, size, chunked));
        const double written_at = steady_ms();
        Line there = backend.accept();
        read_some(there, kReadBeforeStop);
        std::string answer;
        EXPECT_LT(lateness(client, written_at, answer), kLateMs)
            << path << " " << size << (chunked ? " chunked" : "");
        EXPECT_FALSE(answer.empty());
      }
    }
  }
}

TEST(StalledBody, AClientIsAnsweredInTimeWhoseBackendReadsSlowly) {
  for (const std::string path : {"/unsafe", "/keyed"}) {
    Served served;
    auto& [backend, node, client] = served;
    client.write(long_request(path, kLong, false));
    const double written_at = steady_ms();
    Line there = backend.accept();
    std::atomic<bool> stopped = false;
    std::thread reads([&] {  // 400 bytes a ms
      while (!stopped) {
        const double next = steady_ms() + static_cast<double>(kPiece) / 400;
        std::array<char, kPiece> part{};
        if (::recv(there.fd(), part.data(), part.size(), MSG_WAITALL) <= 0) return;
        while (steady_ms() < next && !stopped) std::this_thread::yield();
      }
    });
    std::string answer;
    EXPECT_LT(lateness(client, written_at, answer), kLateMs) << path;
    EXPECT_FALSE(answer.empty());
    stopped = true;
    ::shutdown(there.fd(), SHUT_RDWR);
    reads.join();
  }
}

// A client that takes longer than its time for its body, and for one piece of it, has none of its time used
// up.
TEST(StalledBody, ASlowUploadIsServedHoweverLongItTakes) {
  Served served;
  auto& [backend, node, client] = served;
  client.write("POST /unsafe HTTP/1.1\r\nHost: a\r\n" + id_field() + kBodyWait +
               "Content-Length: 200000\r\n\r\n");
  Line there = backend.accept();
  std::string got;
  for (int piece = 0; piece < 10; ++piece) {
    const double next = steady_ms() + (piece == 3 ? 1.5 : 0.25) * kWaitMs;
    client.write(std::string(kPiece, 'b'));
    while (steady_ms() < next) std::this_thread::yield();
  }
  Parser parser(Parser::Kind::kRequest, kLong);
  while (parser.advance(got) != Parser::State::kDone) {
    const std::string part = there.some();
    ASSERT_FALSE(part.empty());
    got += part;
  }
  there.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
}

}  // namespace
}  // namespace shorelead::node
