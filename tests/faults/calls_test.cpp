// Transient failures, as Linux documents them, of system calls on clients' connections: no request is lost.
#include <gtest/gtest.h>

#include <cerrno>

#include "crossings/backends.h"
#include "faults/node_with_faults.h"

namespace shorelead::node {
namespace {

using faults::Call;
using faults::fail_next;

struct ServedWithFaults {
  Backends backends{"hang"};
  NodeWithFaults node;
  Line client = [this] {
    backends.join(node, 1);
    node.start();
    return node.client();
  }();

  std::string ask() {
    client.write(get("/safe"));
    return status_of(client.answer());
  }
};

TEST(Calls, AFailedPeekIsNoEndOfTheConnection) {
  ServedWithFaults s;
  EXPECT_EQ(s.ask(), "HTTP/1.1 200");
  for (int n = 0; n < 20; ++n) {
    fail_next(Call::kPeek, n % 2 == 0 ? EINTR : ENOMEM, 1, n % 3);
    EXPECT_EQ(s.ask(), "HTTP/1.1 200") << n;
  }
  s.node.stop();
  EXPECT_EQ(s.node.server->counters().left_early, 0U);
}

// After a transient failure of a read or write on either side, the transfer continues.
TEST(Calls, ATransientReadOrWriteErrorIsNoBreak) {
  ServedWithFaults s;
  EXPECT_EQ(s.ask(), "HTTP/1.1 200");
  for (const Call call : {Call::kReceive, Call::kSend, Call::kSendMessage}) {
    for (const int error : {EINTR, EAGAIN, ENOBUFS, ENOMEM}) {
      for (int spare = 0; spare < 3; ++spare) {
        fail_next(call, error, 2, spare);
        EXPECT_EQ(s.ask(), "HTTP/1.1 200") << name_of(call) << " " << error << " " << spare;
      }
    }
  }
}

// The system has no memory for a moment to watch another socket.
TEST(Calls, AFailedSocketRegistrationIsRetried) {
  ServedWithFaults s;
  EXPECT_EQ(s.ask(), "HTTP/1.1 200");
  for (int spare = 0; spare < 4; ++spare) {
    fail_next(Call::kEpollControl, ENOMEM, 3, spare);
    Line other = s.node.client();
    other.write(get("/safe"));
    EXPECT_EQ(status_of(other.answer()), "HTTP/1.1 200") << spare;
    EXPECT_EQ(s.ask(), "HTTP/1.1 200") << spare;
  }
}

TEST(Calls, AFailedTimerIsRetried) {
  net::Loop loop;
  const faults::InjectInThisThread strike;
  int fired = 0;
  for (const int error : {ENOMEM, EINTR, ECANCELED}) {
    fail_next(Call::kTimerSet, error, 3);
    loop.after(5, [&fired] { ++fired; });
  }
  fail_next(Call::kRead, EINTR, 3);
  loop.after(50, [&loop] { loop.stop(); });
  loop.run();
  EXPECT_EQ(fired, 3);
  faults::clear();
}

}  // namespace
}  // namespace shorelead::node
