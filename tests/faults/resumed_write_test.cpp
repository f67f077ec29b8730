// A request for which the system has no room at first, and whose backend leaves the list before it has.
#include <gtest/gtest.h>

#include <cerrno>
#include <thread>

#include "crossings/upstream_case.h"
#include "faults/fault_plan.h"

namespace shorelead::node {
namespace {

using faults::Call;
using faults::fail_next;

constexpr int kAlways = 1'000'000;
constexpr Millis kStillWaiting = 5;

// What the peer receives on its connection up to the end of that.
std::string received(Peer& peer) {
  std::optional<Line> line = peer.accept_until_stopped();
  if (!line) return "no connection";
  const std::string got = line->request();
  if (!got.empty()) line->write(kEmptyOk);
  return got;
}

TEST(ResumedWrite, NothingGoesToABackendThatWasWithdrawnBeforeTheFirstByteWasWritten) {
  Peer peer;
  Backends b;
  const faults::InjectInThisThread strike;
  fail_next(Call::kSendMessage, EAGAIN, kAlways);
  fail_next(Call::kSend, EAGAIN, kAlways);
  b.send(peer, kLong);
  std::string got;
  std::thread there([&] { got = received(peer); });
  b.loop.after(kStillWaiting, [&b] {
    b.upstream.withdraw({0});
    faults::clear();
  });
  EXPECT_EQ(b.run(), Ending::kStoppedUnsent);
  peer.stop();
  there.join();
  EXPECT_EQ(got, "");
}

// The other side: a request is sent once the system has room again.
TEST(ResumedWrite, ARequestIsSentOnceTheSystemHasRoom) {
  Peer peer;
  Backends b;
  const faults::InjectInThisThread strike;
  fail_next(Call::kSendMessage, EAGAIN, 3);
  fail_next(Call::kSend, EAGAIN, 3);
  b.send(peer, kLong);
  std::string got;
  std::thread there([&] { got = received(peer); });
  EXPECT_EQ(b.run(), Ending::kServed);
  peer.stop();
  there.join();
  EXPECT_EQ(got.substr(0, 6), "POST /");
  faults::clear();
}

}  // namespace
}  // namespace shorelead::node
