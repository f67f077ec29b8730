// The shutdown deadline of a process: every request that its clients have sent by then is answered before the
// process ends, however much input that is.
#include <gtest/gtest.h>

#include "backends.h"

namespace shorelead::node {
namespace {

constexpr int kPipelined = 12;
constexpr std::size_t kLongBody = 40000;  // bytes: takes several reads, and is buffered whole
constexpr double kPastTheDeadline = 800;  // ms after SIGTERM

struct Scene {
  Scene() {
    backends.join(node, 2);
    node.timeouts.accept_on = 0;
    node.timeouts.deadline = 50;
    node.start();
  }

  // A request that keeps the process running until the shutdown deadline.
  Line busy() {
    Line client = node.client();
    client.write(ask("busy"));
    backends.await("busy", 1);
    return client;
  }
  // Sends SIGTERM and stops the node's thread until the shutdown deadline has passed.
  void pass_shutdown_deadline() {
    end_process(node, still);
    const double from = steady_ms();
    still.begin();
    while (steady_ms() - from < kPastTheDeadline) std::this_thread::yield();
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
  s.pass_shutdown_deadline();
  s.still.go();
  for (int n = 0; n < kPipelined; ++n) {
    const std::string status = status_of(many.answer());
    ASSERT_TRUE(status == "HTTP/1.1 504" || status == "HTTP/1.1 503") << n << ": " << status;
  }
  EXPECT_EQ(status_of(busy.answer()), "HTTP/1.1 504");
  s.node.thread.join();
  EXPECT_EQ(s.backends.count("many"), 1U) << "what comes up at the last moment is not sent on";
}

TEST(LastMoment, ALargeUnreadRequestIsAnswered) {
  Scene s;
  Line busy = s.busy();
  Line late = s.node.client();
  const std::string ask = Scene::ask("late", std::string(kLongBody, 'b'));
  late.write(ask.substr(0, 1));
  s.pass_shutdown_deadline();
  late.write(ask.substr(1));
  s.still.go();
  EXPECT_FALSE(late.answer().empty());
  EXPECT_EQ(status_of(busy.answer()), "HTTP/1.1 504");
  s.node.thread.join();
}

}  // namespace
}  // namespace shorelead::node
