// Connections that fail for a moment because of this machine: no backend is blamed, and the attempt is
// retried.
#include <gtest/gtest.h>

#include <cerrno>
#include <thread>

#include "crossings/upstream_case.h"
#include "faults/fault_plan.h"
#include "node/local_failures.h"
#include "node/outcome.h"

namespace shorelead::node {
namespace {

using faults::Call;
using faults::fail_next;

TEST(Connect, ALocalConnectErrorIsRetried) {
  for (const int error : {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ENOBUFS, EAGAIN, EINTR, ENOMEM}) {
    Peer peer;
    Backends b;
    const faults::InjectInThisThread strike;
    fail_next(Call::kConnect, error, 3);
    b.send(peer, kLong);
    std::thread there([&peer] {
      std::optional<Line> line = peer.accept_until_stopped();
      if (!line) return;
      line->request();
      line->write(kEmptyOk);
    });
    EXPECT_EQ(b.run(), Ending::kServed) << error;
    peer.stop();
    there.join();
    faults::clear();
  }
}

TEST(Connect, AMissingDescriptorIsRetried) {
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    Peer peer;
    Backends b;
    const faults::InjectInThisThread strike;
    fail_next(Call::kSocket, error, 3);
    b.send(peer, kLong);
    std::thread there([&peer] {
      Line line = peer.accept();
      line.request();
      line.write(kEmptyOk);
    });
    EXPECT_EQ(b.run(), Ending::kServed) << error;
    there.join();
    faults::clear();
  }
}

// If the error lasts, the attempt ends in time, as not sent.
TEST(Connect, ALastingLocalErrorEndsAsNotSent) {
  Peer peer;
  Backends b;
  const faults::InjectInThisThread strike;
  fail_next(Call::kConnect, ENETUNREACH, 1'000'000);
  b.send(peer, kSoon);
  EXPECT_EQ(b.run(), Ending::kLocalFailure);
  EXPECT_EQ(outcome_of(b.last), Outcome::kNotSent);
  faults::clear();
}

// A refusal by the backend is no local failure and is reported at once.
TEST(Connect, ARefusedConnectionIsNotRetried) {
  Peer peer;
  Backends b;
  b.upstream.send(1, 0, 0, "127.0.0.1:1", b.loop.now() + kLong, post_of(1));
  EXPECT_EQ(b.run(), Ending::kRefused);
}

// If connecting fails repeatedly for one backend while it works for others, the backend is the cause.
TEST(LocalFailures, RepeatedFailuresForOneBackendAloneAreItsOwn) {
  LocalFailures failures;
  for (int n = 0; n < 5; ++n)
    EXPECT_EQ(failures.gave_up(1, 100 * n), Ending::kLocalFailure) << "fails for all backends";
  failures.connect_begun(2, 1000);
  EXPECT_EQ(failures.gave_up(1, 999), Ending::kRefused);
  failures.connect_begun(1, 1100);
  failures.connect_begun(2, 1200);
  EXPECT_EQ(failures.gave_up(1, 1150), Ending::kLocalFailure) << "connecting to it has worked since";
}

}  // namespace
}  // namespace shorelead::node
