// One client that sends sound small requests on one connection as fast as it can: what the node holds does
// not grow with the time for which it does so, and other clients are answered in time.
#include <gtest/gtest.h>

#include <atomic>
#include <cstdio>
#include <deque>
#include <functional>

#include "crowd.h"
#include "small_fleet.h"

namespace shorelead::node {
namespace {

constexpr int kRequestsPerWrite = 200;
constexpr double kFloodMs = 3000;
constexpr int kFloods = 20;

// Sends without pause until it is destroyed, and reads all answers.
class Flood {
 public:
  Flood(const BoundedNode& node, std::function<std::string()> request)
      : line_(node.client()),
        writer_([this, request = std::move(request)] { write(request); }),
        reader_([this] { read(); }) {}
  ~Flood() {
    stopped_ = true;
    ::shutdown(line_.fd(), SHUT_RDWR);
    writer_.join();
    reader_.join();
  }
  std::size_t received_bytes() const { return received_; }

 private:
  void write(const std::function<std::string()>& request) {
    while (!stopped_) {
      std::string batch;
      for (int n = 0; n < kRequestsPerWrite; ++n) batch += request();
      std::size_t sent = 0;
      while (sent < batch.size()) {
        const ssize_t now = ::send(line_.fd(), batch.data() + sent, batch.size() - sent, MSG_NOSIGNAL);
        if (now <= 0) return;
        sent += static_cast<std::size_t>(now);
      }
    }
  }
  void read() {
    char part[65536];
    for (ssize_t got = 0; (got = ::recv(line_.fd(), part, sizeof part, 0)) > 0;)
      received_ += static_cast<std::size_t>(got);
  }

  Line line_;
  std::atomic<bool> stopped_ = false;
  std::atomic<std::size_t> received_ = 0;
  std::thread writer_;
  std::thread reader_;
};

// Other clients ask meanwhile, one request after another, each on a connection of its own.
void flood(const std::function<std::string()>& request) {
  SmallFleet fleet;
  BoundedNode node(fleet.dials());
  Others others;
  {
    const Flood flood(node, request);
    const double start = now_ms();
    while (now_ms() - start < kFloodMs) others.ask(node, get("/safe", kOtherWait, next_id()));
    EXPECT_GT(flood.received_bytes(), 0U);
  }
  std::printf("peak %.1f MB; others: %d of %d served, worst %.0f ms\n", node.peak_mb(), others.served,
              others.sent, others.worst_ms);
  EXPECT_TRUE(node.runs());
  EXPECT_LT(node.peak_mb(), kMemoryMb);
  EXPECT_EQ(others.late, 0);
  EXPECT_EQ(others.closed, 0);
  EXPECT_GT(others.served, 0);
}

TEST(Flood, OfSafeRequestsLeavesMemoryBounded) {
  flood([] { return get("/safe", "", next_id()); });
}

TEST(Flood, UnderEverNewTenantsLeavesMemoryBounded) {
  int tenant = 0;
  flood([&] { return get("/safe", "X-Tenant-ID: t" + std::to_string(++tenant) + "\r\n", next_id()); });
}

TEST(Flood, UnderEverNewKeysLeavesMemoryBounded) {
  int key = 0;
  flood([&] {
    return "POST /keyed HTTP/1.1\r\nHost: a\r\n" + next_id() + "Idempotency-Key: k" + std::to_string(++key) +
           "\r\nContent-Length: 1\r\n\r\nx";
  });
}

TEST(Flood, OfHealthChecksLeavesMemoryBounded) {
  flood([] { return std::string("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"); });
}

TEST(Flood, OfManyClientsLeavesOthersInTime) {
  SmallFleet fleet;
  BoundedNode node(fleet.dials());
  std::deque<Flood> floods;
  for (int n = 0; n < kFloods; ++n)
    floods.emplace_back(node, [] { return std::string("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"); });
  Others others;
  const double start = now_ms();
  while (now_ms() - start < kFloodMs) others.ask(node, get("/safe", kOtherWait, next_id()));
  std::printf("others: %d of %d served, worst %.0f ms\n", others.served, others.sent, others.worst_ms);
  EXPECT_EQ(others.late, 0);
  EXPECT_EQ(others.served, others.sent);
}

TEST(Flood, OfEverNewClassesLeavesMemoryBounded) {
  int name = 0;
  flood([&] { return get("/class" + std::to_string(++name), "", next_id()); });
}

}  // namespace
}  // namespace shorelead::node
