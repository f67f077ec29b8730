// Bans made while writes to the shared directory fail: an acknowledged ban is known to the next process, and
// a ban that cannot be saved is not acknowledged.
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

// The directory of a node, and a process that saves its bans there.
struct SavedBans {
  SavedBans() { bans.use_file(path); }
  ~SavedBans() {
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
  // Whether the process that follows this one finds the backend banned.
  bool next_process_bans(const std::string& id) const {
    Loop other;
    BanList next(
        other, [](const std::string&) { return true; }, [] {});
    next.use_file(path);
    return next.bans().out(id);
  }

  const faults::InjectInThisThread strike;
  std::string folder = [] {
    std::string name = testing::TempDir() + "shorelead-XXXXXX";
    return std::string(::mkdtemp(name.data()));
  }();
  const std::string path = folder + "/bans";
  Loop loop;
  BanList bans{loop, [](const std::string&) { return true; }, [] {}};
};

bool succeeded(const std::string& answer) { return answer.compare(0, 3, "OK ") == 0; }

constexpr std::array kWrites = {Call::kWriteFile, Call::kOpen, Call::kSync, Call::kRename};

TEST(Bans, AnAcknowledgedBanIsSavedDespiteWriteErrors) {
  for (const Call call : kWrites) {
    for (const int error : {ENOSPC, EIO}) {
      for (const int times : {1, 1000}) {
        SavedBans saved;
        ASSERT_TRUE(succeeded(saved.disable("s-before")));
        fail_next(call, error, times);
        const std::string answer = saved.disable("s-1");
        faults::clear();
        EXPECT_EQ(succeeded(answer), saved.next_process_bans("s-1"))
            << name_of(call) << " " << times << ": " << answer;
        EXPECT_TRUE(saved.next_process_bans("s-before")) << name_of(call) << " " << times;
        if (times == 1) {
          EXPECT_TRUE(succeeded(answer)) << name_of(call) << ": one failure is retried: " << answer;
        }
      }
    }
  }
}

// While the file cannot be read, its content is neither ignored nor overwritten.
TEST(Bans, AReadErrorDoesNotLoseBansOfAnotherProcess) {
  for (const int times : {1, 1000}) {
    SavedBans saved;
    SavedBans other;
    other.bans.use_file(saved.path);
    fail_next(Call::kReadFile, EIO, times);
    saved.disable("s-1");
    other.disable("s-2");
    faults::clear();
    saved.disable("s-3");
    EXPECT_TRUE(saved.next_process_bans("s-3"));
    EXPECT_EQ(saved.next_process_bans("s-1"), true) << times;
    if (times == 1) {
      EXPECT_TRUE(saved.next_process_bans("s-2"));
    }
  }
}

// A process that cannot read the file at its start reports that the bans are unknown, until it can.
TEST(Bans, AreUnknownUntilTheFileCanBeRead) {
  SavedBans saved;
  ASSERT_TRUE(succeeded(saved.disable("s-1")));
  BanList next(
      saved.loop, [](const std::string&) { return true; }, [] {});
  fail_next(Call::kReadFile, EIO, 10);
  next.use_file(saved.path);
  EXPECT_FALSE(next.file_read());
  saved.loop.after(300, [&saved] { saved.loop.stop(); });
  saved.loop.run();
  EXPECT_TRUE(next.file_read());
  EXPECT_TRUE(next.bans().out("s-1"));
}

// A ban that cannot be saved holds in this process, and is saved once writing succeeds.
TEST(Bans, AnUnsavedBanHoldsAndIsSavedLater) {
  SavedBans saved;
  fail_next(Call::kWriteFile, ENOSPC, 1000);
  EXPECT_FALSE(succeeded(saved.disable("s-1")));
  EXPECT_TRUE(saved.bans.bans().out("s-1"));
  faults::clear();
  saved.loop.after(1200, [&saved] { saved.loop.stop(); });
  saved.loop.run();
  EXPECT_TRUE(saved.next_process_bans("s-1"));
  EXPECT_TRUE(succeeded(saved.disable("s-1")));
}

// If enabling a backend cannot be saved, it stays banned in this process and in the file.
TEST(Bans, ABackendStaysBannedIfEnablingCannotBeSaved) {
  SavedBans saved;
  ASSERT_TRUE(succeeded(saved.disable("s-1")));
  fail_next(Call::kRename, EIO, 1000);
  EXPECT_FALSE(succeeded(saved.call(manage::CallKind::kEnable, "s-1")));
  EXPECT_TRUE(saved.bans.bans().out("s-1"));
  faults::clear();
  EXPECT_TRUE(saved.next_process_bans("s-1"));
  EXPECT_TRUE(succeeded(saved.call(manage::CallKind::kEnable, "s-1")));
  EXPECT_FALSE(saved.next_process_bans("s-1"));
}

}  // namespace
}  // namespace shorelead::node
