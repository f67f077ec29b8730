// Backends taken out by hand while writes to the folder that lasts fail: what was answered as done is owed by
// the next process too; what cannot be kept is not answered as done.
#include <gtest/gtest.h>

#include <cerrno>
#include <cstdlib>
#include <string>

#include "faults/fault_plan.h"
#include "node/ban_list.h"

namespace shorelead::node {
namespace {

using faults::Call;
using faults::fail_next;

// A node's folder, and the process that keeps its bans there.
struct Kept {
  Kept() { bans.share(path); }
  ~Kept() {
    faults::clear();
    std::system(("rm -rf " + folder).c_str());
  }
  std::string call(manage::CallKind kind, const std::string& id) {
    manage::Call call;
    call.kind = kind;
    call.id = id;
    return bans.change(call);
  }
  std::string disable(const std::string& id) { return call(manage::CallKind::kDisable, id); }
  // As the process that comes after this one finds it.
  bool next_knows(const std::string& id) const {
    Loop other;
    BanList next(
        other, [](const std::string&) { return true; }, [] {});
    next.share(path);
    return next.bans().out(id);
  }

  const faults::StrikeThisThread strike;
  std::string folder = [] {
    std::string name = testing::TempDir() + "shorelead-XXXXXX";
    return std::string(::mkdtemp(name.data()));
  }();
  const std::string path = folder + "/bans";
  Loop loop;
  BanList bans{loop, [](const std::string&) { return true; }, [] {}};
};

bool done(const std::string& answer) { return answer.compare(0, 3, "OK ") == 0; }

constexpr std::array kWrites = {Call::kWriteFile, Call::kOpen, Call::kSync, Call::kRename};

TEST(Bans, WhatIsAnsweredAsDoneIsKeptThoughWritesFail) {
  for (const Call call : kWrites) {
    for (const int error : {ENOSPC, EIO}) {
      for (const int times : {1, 1000}) {
        Kept saved;
        ASSERT_TRUE(done(saved.disable("s-before")));
        fail_next(call, error, times);
        const std::string answer = saved.disable("s-1");
        faults::clear();
        EXPECT_EQ(done(answer), saved.next_knows("s-1")) << name_of(call) << " " << times << ": " << answer;
        EXPECT_TRUE(saved.next_knows("s-before")) << name_of(call) << " " << times;
        if (times == 1) {
          EXPECT_TRUE(done(answer)) << name_of(call) << ": a moment passes: " << answer;
        }
      }
    }
  }
}

// The file cannot be read for a moment: what stands in it is neither passed over nor written over.
TEST(Bans, WhatAnotherProcessKeptIsNotLostWhereReadingFails) {
  for (const int times : {1, 1000}) {
    Kept saved;
    Kept other;
    other.bans.share(saved.path);
    fail_next(Call::kReadFile, EIO, times);
    saved.disable("s-1");
    other.disable("s-2");
    faults::clear();
    saved.disable("s-3");
    EXPECT_TRUE(saved.next_knows("s-3"));
    EXPECT_EQ(saved.next_knows("s-1"), true) << times;
    if (times == 1) {
      EXPECT_TRUE(saved.next_knows("s-2"));
    }
  }
}

// A process that cannot read at its start what is out does not know, and says so until it does.
TEST(Bans, AStartThatCannotReadThemDoesNotKnowThem) {
  Kept saved;
  ASSERT_TRUE(done(saved.disable("s-1")));
  BanList next(
      saved.loop, [](const std::string&) { return true; }, [] {});
  fail_next(Call::kReadFile, EIO, 10);
  next.share(saved.path);
  EXPECT_FALSE(next.known());
  saved.loop.after(300, [&saved] { saved.loop.stop(); });
  saved.loop.run();
  EXPECT_TRUE(next.known());
  EXPECT_TRUE(next.bans().out("s-1"));
}

// What could not be kept holds here, and is kept once that can be.
TEST(Bans, WhatCouldNotBeKeptIsKeptLater) {
  Kept saved;
  fail_next(Call::kWriteFile, ENOSPC, 1000);
  EXPECT_FALSE(done(saved.disable("s-1")));
  EXPECT_TRUE(saved.bans.bans().out("s-1"));
  faults::clear();
  saved.loop.after(1200, [&saved] { saved.loop.stop(); });
  saved.loop.run();
  EXPECT_TRUE(saved.next_knows("s-1"));
  EXPECT_TRUE(done(saved.disable("s-1")));
}

// One that cannot be kept as back stays out, here as there.
TEST(Bans, WhoCannotBeKeptAsBackStaysOut) {
  Kept saved;
  ASSERT_TRUE(done(saved.disable("s-1")));
  fail_next(Call::kRename, EIO, 1000);
  EXPECT_FALSE(done(saved.call(manage::CallKind::kEnable, "s-1")));
  EXPECT_TRUE(saved.bans.bans().out("s-1"));
  faults::clear();
  EXPECT_TRUE(saved.next_knows("s-1"));
  EXPECT_TRUE(done(saved.call(manage::CallKind::kEnable, "s-1")));
  EXPECT_FALSE(saved.next_knows("s-1"));
}

}  // namespace
}  // namespace shorelead::node
