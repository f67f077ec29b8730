// The handover to a successor process: the listening socket with its queue, the list of backends, and the
// bans.
#include "handover/handover.h"

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <future>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fleet/wakeup_event.h"
#include "handover/ban_file.h"
#include "peer.h"

namespace shorelead::handover {
namespace {

// A temporary directory, removed at the end of the test.
struct TemporaryDirectory {
  std::string path = [] {
    std::string name = testing::TempDir() + "shorelead-XXXXXX";
    return std::string(::mkdtemp(name.data()));
  }();
  ~TemporaryDirectory() { std::system(("rm -rf " + path).c_str()); }
  std::string at(const std::string& name) const { return path + "/" + name; }
};

// A predecessor with its loop in its own thread.
struct PredecessorProcess {
  TemporaryDirectory folder;
  node::Peer clients;  // the listening socket
  net::Loop loop;
  std::string refusal;
  Millis remaining = 0;
  std::promise<void> connected, serves, lost;
  HandoverServer predecessor{loop,
                             folder.at("s"),
                             {[this] { return listening(); }, [] { return std::string(R"({"a":"list"})"); },
                              [this] { return refusal; }, [this] { connected.set_value(); },
                              [this] {
                                predecessor.transfer_reserve(remaining);
                                serves.set_value();
                              },
                              [this] { lost.set_value(); }}};
  struct StopLoop : net::Watch::Handler {
    explicit StopLoop(net::Loop& loop) : loop(loop) {}
    void on_readable() override { loop.stop(); }
    net::Loop& loop;
  } stop_loop{loop};
  fleet::WakeupEvent end;
  net::Descriptor end_descriptor{::dup(end.fd())};
  net::Watch watch{loop, end_descriptor, stop_loop, true, false};
  std::thread thread{[this] { loop.run(); }};
  int listening() const { return clients.fd(); }
  ~PredecessorProcess() {
    end.notify();  // stops the loop in its own thread; otherwise it would wait for its next event
    thread.join();
  }
};

TEST(Handover, TheSuccessorAcceptsClientsWaitingInTheQueue) {
  PredecessorProcess predecessor_process;
  node::Line waiting = node::Line::connect(predecessor_process.clients.port());
  waiting.write("x");
  const auto inherited = request_handover(predecessor_process.folder.at("s"), 5000);
  ASSERT_TRUE(inherited);
  EXPECT_EQ(inherited->list, R"({"a":"list"})");
  predecessor_process.connected.get_future().wait();
  predecessor_process.clients.close();  // the old process closes its listener
  node::Line accepted(::accept(inherited->listener, nullptr, nullptr));
  EXPECT_EQ(accepted.some(), "x");
  node::Line later = node::Line::connect(node::port_of(inherited->listener));
  ::close(inherited->listener);
  net::Loop loop;
  HandoverClient successor(loop, inherited->channel, [](bool, Millis) {});
  successor.announce_serving();
  predecessor_process.serves.get_future().wait();
}

// The reserve is transferred with the time, rounded up and bounded, that the predecessor's requests still
// run.
TEST(Handover, TheReserveIsTransferredOnceTheSuccessorServes) {
  const std::vector<std::pair<Millis, Millis>> cases = {{0, 0}, {60000.2, 60001}, {1e300, 1e9}, {-5, 0}};
  for (const auto& [sent, received] : cases) {
    PredecessorProcess predecessor_process;
    predecessor_process.remaining = sent;
    const auto inherited = request_handover(predecessor_process.folder.at("s"), 5000);
    ASSERT_TRUE(inherited);
    ::close(inherited->listener);
    net::Loop loop;
    std::optional<Millis> transferred;
    HandoverClient successor(loop, inherited->channel, [&](bool ended, Millis remaining) {
      if (!ended) transferred = remaining;
      loop.stop();
    });
    successor.announce_serving();
    loop.run();
    EXPECT_EQ(transferred, received);
    EXPECT_TRUE(successor.predecessor_alive());
  }
}

TEST(Handover, AfterAFailedSuccessorAnotherIsAccepted) {
  PredecessorProcess predecessor_process;
  const auto first = request_handover(predecessor_process.folder.at("s"), 5000);
  ASSERT_TRUE(first);
  predecessor_process.connected.get_future().wait();
  EXPECT_THROW(request_handover(predecessor_process.folder.at("s"), 5000),
               std::runtime_error);  // a third process
  ::close(first->channel);
  ::close(first->listener);
  predecessor_process.lost.get_future().wait();
  predecessor_process.connected = std::promise<void>();
  const auto second = request_handover(predecessor_process.folder.at("s"), 5000);
  ASSERT_TRUE(second);
  ::close(second->channel);
  ::close(second->listener);
}

TEST(Handover, NoPredecessorGivesNothingAndARefusalThrows) {
  const TemporaryDirectory empty;
  EXPECT_FALSE(request_handover(empty.at("s"), 1000));
  PredecessorProcess predecessor_process;
  predecessor_process.refusal = "two processes run already";
  try {
    request_handover(predecessor_process.folder.at("s"), 5000);
    ADD_FAILURE();
  } catch (const std::runtime_error& error) {
    EXPECT_NE(std::string(error.what()).find("two processes run already"), std::string::npos);
  }
}

// Changes of each process reach the other, in any order; a damaged file is reported once and not used.
TEST(BanFile, BothProcessesSeeEachOthersChanges) {
  const TemporaryDirectory folder;
  BanFile one(folder.at("bans"));
  BanFile two(folder.at("bans"));
  std::string cause;
  EXPECT_FALSE(one.read_if_new(cause));  // no file yet: no bans and no error
  EXPECT_EQ(cause, "");
  const auto of_one = one.change({}, [](auto& set) { set.disable("s-1", 10); });
  EXPECT_TRUE(of_one.saved);
  const auto of_two = two.change({}, [](auto& set) { set.disable("s-2", 20); });
  EXPECT_TRUE(of_two.saved && of_two.bans.out("s-1")) << "the change of the other process is kept";
  EXPECT_FALSE(two.read_if_new(cause)) << "its own change is not reported";
  const auto seen = one.read_if_new(cause);
  ASSERT_TRUE(seen);
  EXPECT_TRUE(seen->out("s-1") && seen->out("s-2"));
  two.change(of_two.bans, [](auto& set) { set.enable("s-1", 30); });
  EXPECT_FALSE(one.read_if_new(cause)->out("s-1"));
  std::ofstream(folder.at("bans")) << "something else\n";
  EXPECT_FALSE(one.read_if_new(cause));
  EXPECT_NE(cause.find("is no file of bans"), std::string::npos) << cause;
  cause.clear();
  EXPECT_FALSE(one.read_if_new(cause));
  EXPECT_EQ(cause, "") << "reported once";
  const auto third = one.change(*seen, [](auto& set) { set.disable("s-3", 40); });
  EXPECT_TRUE(third.bans.out("s-1") && third.bans.out("s-3")) << "falls back to the known bans";
}

TEST(BanFile, AnUnwritableDirectoryIsReportedAndTheBanHolds) {
  BanFile file("/nowhere/at/all/bans");
  const auto changed = file.change({}, [](auto& set) { set.disable("s-1", 10); });
  EXPECT_TRUE(changed.bans.out("s-1"));
  EXPECT_FALSE(changed.saved);
  EXPECT_NE(changed.error.find("/nowhere/at/all/bans"), std::string::npos);
}

}  // namespace
}  // namespace shorelead::handover
