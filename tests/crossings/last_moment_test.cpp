// The last moment of a process: what its clients have sent by then was taken, however much it is, and each
// request of it has its answer before the process ends.
#include <gtest/gtest.h>

#include "backends.h"

namespace shorelead::node {
namespace {

constexpr int kPipelined = 12;
constexpr std::size_t kLongBody = 40000;  // several reads, kept whole, and more than one read takes
constexpr double kPastTheEnd = 800;       // ms after the word to end: longest deadline, and what comes on top

struct Scene {
  Scene() {
    backends.join(node, 2);
    node.timeouts.accept_on = 0;
    node.timeouts.deadline = 50;
    node.start();
  }

  // A request that keeps the process from ending before its last moment.
  Line busy() {
    Line client = node.client();
    client.write(ask("busy"));
    backends.await("busy", 1);
    return client;
  }
  // Stands still until the last moment has passed.
  void let_the_end_come() {
    end_process(node, still);
    const double from = steady_ms();
    still.begin();
    while (steady_ms() - from < kPastTheEnd) std::this_thread::yield();
  }
  static std::string ask(const std::string& name, const std::string& body = "x") {
    return post("/unsafe/hang/" + name, body, "X-Timeout-Ms: 20000\r\n");
  }

  Backends backends{"hang"};
  Node node;
  Standstill still{node};
};

TEST(LastMoment, PipelinedRequestsAreAllAnswered) {
  Scene s;
  Line busy = s.busy();
  Line many = s.node.client();
  std::string all;
  for (int n = 0; n < kPipelined; ++n) all += Scene::ask("many");
  many.write(all);
  s.backends.await("many", 1);
  s.let_the_end_come();
  s.still.go();
  for (int n = 0; n < kPipelined; ++n) {
    const std::string status = status_of(many.answer());
    ASSERT_TRUE(status == "HTTP/1.1 504" || status == "HTTP/1.1 503") << n << ": " << status;
  }
  EXPECT_EQ(status_of(busy.answer()), "HTTP/1.1 504");
  s.node.thread.join();
  EXPECT_EQ(s.backends.count("many"), 1U) << "what comes up at the last moment is not sent on";
}

TEST(LastMoment, ALongRequestThatLiesUnreadIsAnswered) {
  Scene s;
  Line busy = s.busy();
  Line late = s.node.client();
  const std::string ask = Scene::ask("late", std::string(kLongBody, 'b'));
  late.write(ask.substr(0, 1));
  s.let_the_end_come();
  late.write(ask.substr(1));
  s.still.go();
  EXPECT_FALSE(late.answer().empty());
  EXPECT_EQ(status_of(busy.answer()), "HTTP/1.1 504");
  s.node.thread.join();
}

}  // namespace
}  // namespace shorelead::node
