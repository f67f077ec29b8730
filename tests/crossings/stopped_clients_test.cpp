// Clients that stop sending in the middle of a request and stay connected: they get an error, or the end of
// their connection, within 3 s of their last byte, however much they sent before.
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

// A request on the same loop: when it is answered, the node has handled everything that arrived before it.
void ask_whether_ready(Line& client) {
  client.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ(client.answer().rfind("HTTP/1.1 200 ", 0), 0U);
}

// A client that connects later and sends nothing is closed by the same time-out, so the stopped one has to be
// answered by then.
TEST(StoppedClients, AStoppedClientIsAnsweredAsSoonAsASilentOneIsClosed) {
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
