// What passes to the process that replaces one: the listening socket with those who wait in it, the list, the
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

#include "fleet/bell.h"
#include "handover/ban_file.h"
#include "peer.h"

namespace shorelead::handover {
namespace {

// A folder of the test's own, gone with it.
struct Folder {
  std::string path = [] {
    std::string name = testing::TempDir() + "shorelead-XXXXXX";
    return std::string(::mkdtemp(name.data()));
  }();
  ~Folder() { std::system(("rm -rf " + path).c_str()); }
  std::string at(const std::string& name) const { return path + "/" + name; }
};

// A predecessor with a loop in a thread of its own.
struct Old {
  Folder folder;
  node::Peer clients;  // the listening socket
  net::Loop loop;
  std::string refusal;
  Millis still = 0;
  std::promise<void> came, serves, gone;
  HandoverServer predecessor{loop,
                             folder.at("s"),
                             {[this] { return listening(); }, [] { return std::string(R"({"a":"list"})"); },
                              [this] { return refusal; }, [this] { came.set_value(); },
                              [this] {
                                predecessor.transfer_reserve(still);
                                serves.set_value();
                              },
                              [this] { gone.set_value(); }}};
  struct Ends : net::Watch::Handler {
    explicit Ends(net::Loop& loop) : loop(loop) {}
    void on_readable() override { loop.stop(); }
    net::Loop& loop;
  } ends{loop};
  fleet::Bell end;
  net::Descriptor rung{::dup(end.fd())};
  net::Watch watch{loop, rung, ends, true, false};
  std::thread thread{[this] { loop.run(); }};
  int listening() const { return clients.fd(); }
  ~Old() {
    end.ring();  // the loop is stopped in its own thread, else it waits for its next event
    thread.join();
  }
};

TEST(Handover, WhoWaitsInTheOldQueueIsTakenByTheNewProcess) {
  Old old;
  node::Line waits = node::Line::connect(old.clients.port());
  waits.write("x");
  const auto inherited = request_handover(old.folder.at("s"), 5000);
  ASSERT_TRUE(inherited);
  EXPECT_EQ(inherited->list, R"({"a":"list"})");
  old.came.get_future().wait();
  old.clients.close();  // the old process lets go
  node::Line taken(::accept(inherited->listener, nullptr, nullptr));
  EXPECT_EQ(taken.some(), "x");
  node::Line later = node::Line::connect(node::port_of(inherited->listener));
  ::close(inherited->listener);
  net::Loop loop;
  HandoverClient successor(loop, inherited->channel, [](bool, Millis) {});
  successor.announce_serving();
  old.serves.get_future().wait();
}

// What only one of the two may have is ceded with how long it lasts still; without that word only the end is
// told.
TEST(Handover, ASuccessorThatServesIsToldWhatIsCeded) {
  const std::vector<std::pair<Millis, Millis>> cases = {{0, 0}, {60000.2, 60001}, {1e300, 1e9}, {-5, 0}};
  for (const auto& [said, heard] : cases) {
    Old old;
    old.still = said;
    const auto inherited = request_handover(old.folder.at("s"), 5000);
    ASSERT_TRUE(inherited);
    ::close(inherited->listener);
    net::Loop loop;
    std::optional<Millis> ceded;
    HandoverClient successor(loop, inherited->channel, [&](bool ended, Millis still) {
      if (!ended) ceded = still;
      loop.stop();
    });
    successor.announce_serving();
    loop.run();
    EXPECT_EQ(ceded, heard);
    EXPECT_TRUE(successor.predecessor_alive());
  }
}

TEST(Handover, ASuccessorThatEndsBeforeItServesIsToldAndAnotherMayCome) {
  Old old;
  const auto first = request_handover(old.folder.at("s"), 5000);
  ASSERT_TRUE(first);
  old.came.get_future().wait();
  EXPECT_THROW(request_handover(old.folder.at("s"), 5000), std::runtime_error);  // a third process
  ::close(first->channel);
  ::close(first->listener);
  old.gone.get_future().wait();
  old.came = std::promise<void>();
  const auto second = request_handover(old.folder.at("s"), 5000);
  ASSERT_TRUE(second);
  ::close(second->channel);
  ::close(second->listener);
}

TEST(Handover, NobodyThereOrARefusal) {
  const Folder empty;
  EXPECT_FALSE(request_handover(empty.at("s"), 1000));
  Old old;
  old.refusal = "two processes run already";
  try {
    request_handover(old.folder.at("s"), 5000);
    ADD_FAILURE();
  } catch (const std::runtime_error& error) {
    EXPECT_NE(std::string(error.what()).find("two processes run already"), std::string::npos);
  }
}

// Each process's calls hold at the other, whatever the order; what is not whole is named and not used.
TEST(BanFile, BothProcessesSeeACallMadeToEither) {
  const Folder folder;
  BanFile one(folder.at("bans"));
  BanFile two(folder.at("bans"));
  std::string cause;
  EXPECT_FALSE(one.read_if_new(cause));  // no file yet: nothing is out, and nothing is wrong
  EXPECT_EQ(cause, "");
  const auto of_one = one.change({}, [](auto& set) { set.disable("s-1", 10); });
  EXPECT_TRUE(of_one.saved);
  const auto of_two = two.change({}, [](auto& set) { set.disable("s-2", 20); });
  EXPECT_TRUE(of_two.saved && of_two.bans.out("s-1")) << "what the other was told is not undone";
  EXPECT_FALSE(two.read_if_new(cause)) << "its own change is no news";
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
  EXPECT_EQ(cause, "") << "named once";
  const auto third = one.change(*seen, [](auto& set) { set.disable("s-3", 40); });
  EXPECT_TRUE(third.bans.out("s-1") && third.bans.out("s-3")) << "goes on from what it knows";
}

TEST(BanFile, AFolderThatCannotBeWrittenIsNamedAndTheBanHoldsHere) {
  BanFile file("/nowhere/at/all/bans");
  const auto changed = file.change({}, [](auto& set) { set.disable("s-1", 10); });
  EXPECT_TRUE(changed.bans.out("s-1"));
  EXPECT_FALSE(changed.saved);
  EXPECT_NE(changed.error.find("/nowhere/at/all/bans"), std::string::npos);
}

}  // namespace
}  // namespace shorelead::handover
