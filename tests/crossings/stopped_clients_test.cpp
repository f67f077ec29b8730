// Clients that stop in the middle of a request and stay: they are owed an error, or the end of their
// connection, within 3 s of their last byte, however much came before it.
#include <gtest/gtest.h>

#include <thread>

#include "front_case.h"

namespace shorelead::node {
namespace {

constexpr Millis kRequestWait = 100;
constexpr Millis kSweep = 5;
constexpr std::size_t kAnnounced = 65000;  // bytes of a body that is kept whole
constexpr std::size_t kSent = 60000;

std::string half_of_a_long_request() {
  return "POST /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nContent-Length: " +
         std::to_string(kAnnounced) + "\r\n\r\n" + std::string(kSent, 'b');
}

// An answer on the same loop: what the node found before it asked is done by then.
void ask_whether_ready(Line& client) {
  client.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ(client.answer().rfind("HTTP/1.1 200 ", 0), 0U);
}

// Whoever connects behind it and says nothing is ended by the same wait, so it has to be over by then.
TEST(StoppedClients, OneThatStopsInALongRequestIsAnsweredAsSoonAsOneThatSaysNothing) {
  Front::Timeouts timeouts;
  timeouts.request = kRequestWait;
  timeouts.sweep = kSweep;
  Clients c(timeouts);
  Line stopped = Line::connect(c.front.port());
  bool answered = false;
  std::thread clients([&] {
    stopped.write(half_of_a_long_request());
    stopped.await_taken();
    Line behind = Line::connect(c.front.port());
    for (int n = 0; n < 16; ++n) ask_whether_ready(behind);  // by then all of it was read
    Line silent = Line::connect(c.front.port());
    EXPECT_EQ(silent.rest(), "");
    ask_whether_ready(behind);
    answered = stopped.readable();
    if (answered) {
      EXPECT_EQ(stopped.answer().rfind("HTTP/1.1 408 ", 0), 0U);
    }
    c.loop.stop();
  });
  c.loop.run();
  clients.join();
  EXPECT_TRUE(answered);
  EXPECT_TRUE(c.taken.empty());
}

}  // namespace
}  // namespace shorelead::node
