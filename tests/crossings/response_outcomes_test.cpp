// What the record of a backend learns from responses that are forwarded while they are received. The
// backends' part is played by the test.
#include <gtest/gtest.h>
#include <poll.h>

#include <array>
#include <string>

#include "unfinished_responses.h"

namespace shorelead::node {
namespace {

constexpr std::size_t kPeers = 3;
constexpr std::size_t kFaulty = 0;
constexpr int kRequests = 45;
constexpr int kShare = kRequests / static_cast<int>(kPeers);
// Failures until a backend is ejected, and one for each time that it is tried again.
constexpr int kMostWhenEjected = 9;
const std::string kLongBody(100000, 'a');
const std::string kGood =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n" + kLongBody;

// A node before three backends, of which one treats its responses in a way of its own.
class Backends {
 public:
  Backends() {
    for (std::size_t n = 0; n < kPeers; ++n) node_.know("s-" + std::to_string(n), peers_[n]);
    node_.start();
  }

  // Sends requests one after another; the faulty backend's are given to `faulty`. Returns its number of them.
  int play(const std::function<void(Line& client, Line& backend)>& faulty) {
    int count = 0;
    for (int n = 0; n < kRequests; ++n) {
      Line client = node_.client();
      client.write(get("/safe", kTimeout));
      const std::size_t at = asked();
      Line there = peers_[at].accept();
      EXPECT_FALSE(there.request().empty());
      if (at == kFaulty) {
        ++count;
        faulty(client, there);
      } else {
        there.write(kGood);
        EXPECT_TRUE(client.rest().ends_with(kLongBody));
      }
    }
    return count;
  }

 private:
  static inline const std::string kTimeout = "X-Timeout-Ms: 300\r\nConnection: close\r\n";

  // Which backend is being connected to.
  std::size_t asked() const {
    std::array<pollfd, kPeers> all{};
    for (std::size_t n = 0; n < kPeers; ++n) all[n] = {peers_[n].fd(), POLLIN, 0};
    EXPECT_GT(::poll(all.data(), all.size(), kHangSeconds * 1000), 0) << "nobody connects";
    std::size_t n = 0;
    while (n + 1 < kPeers && all[n].revents == 0) ++n;
    return n;
  }

  std::array<Peer, kPeers> peers_;
  Node node_;
};

// Guards against a response that counts as a success once it has begun.
TEST(ResponseOutcomes, ABackendWhoseResponsesAreCutShortIsEjected) {
  const int count = Backends().play([](Line& client, Line& backend) {
    backend.write(kLongLength + std::string(70000, 'a'));
    backend.close();
    EXPECT_TRUE(shows_no_success(client.rest()));
  });
  EXPECT_LE(count, kMostWhenEjected);
}

TEST(ResponseOutcomes, ABackendWhoseResponsesStopIsEjected) {
  const int count = Backends().play([](Line& client, Line& backend) {
    backend.write(kChunked + "4\r\nmade\r\n");
    EXPECT_TRUE(shows_no_success(client.rest()));
  });
  EXPECT_LE(count, kMostWhenEjected);
}

// The other side: whole responses, and those that their clients leave, are not held against the backend.
TEST(ResponseOutcomes, ABackendIsNotEjectedForItsClients) {
  const int count = Backends().play([](Line& client, Line& backend) {
    backend.write(kLongLength + std::string(70000, 'a'));
    EXPECT_EQ(status_of(client.some()), "HTTP/1.1 200");
    client.reset();
    backend.rest();
  });
  EXPECT_GE(count, kShare - 1);
}

TEST(ResponseOutcomes, ABackendWithWholeResponsesIsNotEjected) {
  const int count = Backends().play([](Line& client, Line& backend) {
    backend.write(kToTheClose + kLongBody);
    backend.close();
    EXPECT_TRUE(holds(client.rest(), "0\r\n\r\n"));
  });
  EXPECT_GE(count, kShare - 1);
}

}  // namespace
}  // namespace shorelead::node
