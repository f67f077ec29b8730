// A backend was restarted at its address, reported by one change of the list: connections to the old process
// are of no use, and a request written on one would count as possibly processed. Lists arrive late:
// connections already opened to the new process stay.
#include <gtest/gtest.h>

#include <chrono>

#include "node_case.h"

namespace shorelead::node {
namespace {

constexpr double kMinute = 60000;

// The list's entry of a backend that was started `ms` ago.
std::string list_of_start(const Peer& peer, double ms) {
  const std::chrono::duration<double, std::milli> now = std::chrono::system_clock::now().time_since_epoch();
  return R"({"seq":9,"whole":false,"hosts":[{"host":"s-1","dial":")" + peer.dial() +
         R"(","health":"ready","born_ms":)" + std::to_string(now.count() - ms) + "}]}\n";
}

// One request was served on a connection that is idle now; then the list reports a new start.
struct IdleConnection {
  explicit IdleConnection(double started_ms_before) {
    watch.request();
    s.client.write(post("/unsafe", "x"));
    connection.emplace(s.backend.accept());
    serve(*connection);
    watch.write(first_line(list_of_start(s.backend, started_ms_before)));
  }
  void serve(Line& there) {
    there.request();
    there.write(kOk);
    EXPECT_EQ(status_of(s.client.answer()), "HTTP/1.1 200");
  }

  Served s;
  Line watch = s.node.discovery.accept();
  std::optional<Line> connection;
};

TEST(BackendRestart, ConnectionsToTheOldProcessAreNotReused) {
  IdleConnection idle(0);
  EXPECT_EQ(idle.connection->rest(), "") << "closed by the node with nothing more on it";
  idle.s.client.write(post("/unsafe", "x"));
  Line after = idle.s.backend.accept();
  idle.serve(after);
}

TEST(BackendRestart, ConnectionsToTheNewProcessStay) {
  IdleConnection idle(kMinute);
  for (int n = 0; n < 20; ++n) {
    idle.s.client.write(post("/unsafe", "x"));
    idle.serve(*idle.connection);
  }
}

}  // namespace
}  // namespace shorelead::node
