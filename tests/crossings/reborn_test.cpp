// A backend that was started anew at its address, told in one change of the list: what was kept to the
// process before is of no use, and a request written to it would end as one that may have run. Lists are
// late: what was opened to the new process by then stays.
#include <gtest/gtest.h>

#include <chrono>

#include "node_case.h"

namespace shorelead::node {
namespace {

constexpr double kMinute = 60000;

// The list's entry of one that was started so long before now.
std::string started_before(const Peer& peer, double ms) {
  const std::chrono::duration<double, std::milli> now = std::chrono::system_clock::now().time_since_epoch();
  return R"({"seq":9,"whole":false,"hosts":[{"host":"s-1","dial":")" + peer.dial() +
         R"(","health":"ready","born_ms":)" + std::to_string(now.count() - ms) + "}]}\n";
}

// One request has been served, on a connection that stands idle now; then the list tells of a new start.
struct Kept {
  explicit Kept(double started_ms_before) {
    watch.request();
    s.client.write(post("/unsafe", "x"));
    before.emplace(s.backend.accept());
    serve(*before);
    watch.write(first_line(started_before(s.backend, started_ms_before)));
  }
  void serve(Line& there) {
    there.request();
    there.write(kOk);
    EXPECT_EQ(status_of(s.client.answer()), "HTTP/1.1 200");
  }

  Served s;
  Line watch = s.node.discovery.accept();
  std::optional<Line> before;
};

TEST(Reborn, ConnectionsToTheOldProcessAreNotReused) {
  Kept kept(0);
  EXPECT_EQ(kept.before->rest(), "") << "closed by the node with nothing more on it";
  kept.s.client.write(post("/unsafe", "x"));
  Line after = kept.s.backend.accept();
  kept.serve(after);
}

TEST(Reborn, ConnectionsToTheNewProcessStay) {
  Kept kept(kMinute);
  for (int n = 0; n < 20; ++n) {
    kept.s.client.write(post("/unsafe", "x"));
    kept.serve(*kept.before);
  }
}

}  // namespace
}  // namespace shorelead::node
