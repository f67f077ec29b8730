// Time limits of an attempt: one at a time, also when other events occur in the turn of the loop in which it
// is reached.
#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "node/upstream.h"
#include "peer.h"

namespace shorelead::node {
namespace {

constexpr Millis kSoon = 20;
constexpr Millis kLong = 15000;

// Upstream alone on a loop; each end of an attempt ends a run.
struct Attempts {
  explicit Attempts(Millis connect_timeout)
      : upstream(loop, connect_timeout, 60000, 0, flows,
                 {[this](RequestId, int, const Result& result) {
                    last = result.ending;
                    if (next) return loop.later(next);
                    loop.stop();
                  },
                  [](BackendId, const Result&) {}, [](bool) { return true; }, [](bool) { return true; }}) {}

  // A request with a streamed body that has been received whole.
  std::shared_ptr<Message> large() const {
    auto message = std::make_shared<Message>(Parser::Kind::kRequest);
    message->raw = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n";
    message->parser.advance(message->raw);
    message->flow = std::make_shared<net::Flow>(flows, 4);
    message->flow->put("body");
    message->flow->end();
    return message;
  }

  void send(const Peer& peer, Millis wait, const std::shared_ptr<Message>& message) {
    upstream.send(1, 0, 0, peer.dial(), loop.now() + wait, message);
  }

  Loop loop;
  std::shared_ptr<net::FlowBudget> flows = std::make_shared<net::FlowBudget>(1U << 20);
  Ending last = Ending::kNotSent;
  Loop::Task next;
  Upstream upstream;
};

// A backend that answers `at_once` requests on one connection at once, and the next when answer() is called.
class Backend {
 public:
  explicit Backend(int at_once)
      : thread_([this, at_once] {
          Line there = peer.accept();
          for (int n = 0; n <= at_once; ++n) {
            EXPECT_FALSE(there.request().empty());
            if (n == at_once) held_.get_future().wait();
            there.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
          }
        }) {}
  ~Backend() { thread_.join(); }
  void answer() { held_.set_value(); }

  Peer peer;

 private:
  std::promise<void> held_;
  std::thread thread_;
};

// A body that is complete when its attempt reuses a connection sets a limit of its own. The limit set before
// has to be cancelled: it would fire while the connection is idle, or end its next attempt.
TEST(Limits, ACompleteBodyOnAReusedConnectionLeavesNoTimerBehind) {
  Backend backend(2);
  Attempts a(kLong);
  a.next = [&] {
    EXPECT_EQ(a.last, Ending::kServed);
    a.next = [&] {
      EXPECT_EQ(a.last, Ending::kServed);
      a.next = nullptr;
      // A limit left over from that attempt would fire while this one is in flight.
      a.send(backend.peer, kLong, a.large());
      a.loop.after(5 * kSoon, [&] { backend.answer(); });
    };
    a.send(backend.peer, kSoon, a.large());
  };
  a.send(backend.peer, kLong, a.large());
  a.loop.run();
  EXPECT_EQ(a.last, Ending::kServed) << name_of(a.last);
  EXPECT_EQ(a.upstream.opened(), 1U);
}

// A connection has been established, but the loop has not seen it, when its connect time-out passes: it is
// used, and the limit set by the body is the attempt's only one.
TEST(Limits, AConnectionEstablishedAtItsTimeoutHasOneTimer) {
  Backend backend(1);
  Attempts a(kSoon);
  a.send(backend.peer, 5 * kSoon, a.large());
  const Millis over = a.loop.now() + kSoon;
  while (a.loop.now() <= over) continue;  // both events are due when the loop first runs
  a.next = [&] {
    EXPECT_EQ(a.last, Ending::kServed) << name_of(a.last);
    a.next = nullptr;
    a.send(backend.peer, kLong, a.large());
    a.loop.after(10 * kSoon, [&] { backend.answer(); });
  };
  a.loop.run();
  EXPECT_EQ(a.last, Ending::kServed) << name_of(a.last);
  EXPECT_EQ(a.upstream.opened(), 1U);
}

}  // namespace
}  // namespace shorelead::node
