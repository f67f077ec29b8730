// Since when the last byte of an upload may have been written, by what has been read of it.
#include "node/upload_deadline.h"

#include <gtest/gtest.h>

namespace shorelead::node {
namespace {

constexpr Millis kTimeout = 400;
constexpr std::uint64_t kMb = 1U << 20;

TEST(UploadDeadline, DoesNotRunWhileNothingIsLeftUnread) {
  UploadDeadline deadline(kTimeout, std::nullopt);
  for (int n = 1; n < 100; ++n) deadline.read(static_cast<std::uint64_t>(n) * 1000, true, 1000 * n);
  EXPECT_FALSE(deadline.running());
}

TEST(UploadDeadline, RunsFromTheFirstReadThatLeftSomethingAndIsNotPutOff) {
  UploadDeadline deadline(kTimeout, 100000);
  deadline.read(16384, false, 1000);
  deadline.read(32768, false, 1300);
  ASSERT_TRUE(deadline.running());
  EXPECT_EQ(deadline.may_be_written_since(), 1000);
  EXPECT_EQ(deadline.due(), 1000 + kTimeout);
}

TEST(UploadDeadline, StartsAnewOnceTheClientWasWaitedFor) {
  UploadDeadline deadline(kTimeout, 100000);
  deadline.read(16384, false, 1000);
  deadline.read(32768, true, 1200);
  EXPECT_FALSE(deadline.running());
  deadline.read(49152, false, 5000);
  EXPECT_EQ(deadline.due(), 5000 + kTimeout);
}

// The rest of a stated length is more than the buffers between hold.
TEST(UploadDeadline, DoesNotRunWhileTheRestCannotHaveBeenWritten) {
  UploadDeadline deadline(kTimeout, 32 * kMb);
  deadline.read(21 * kMb, false, 1000);
  EXPECT_FALSE(deadline.running());
  deadline.read(22 * kMb, false, 2000);
  EXPECT_EQ(deadline.may_be_written_since(), 2000);
  deadline.read(31 * kMb, false, 9000);
  EXPECT_EQ(deadline.may_be_written_since(), 2000);
}

// What comes shows that it had not all been written at an earlier time.
TEST(UploadDeadline, OfAnUnknownLengthMovesOnWithWhatIsRead) {
  UploadDeadline deadline(kTimeout, std::nullopt);
  for (std::uint64_t n = 0; n <= 30; ++n)
    deadline.read(1 + n * kMb, false, 1000 + 100 * static_cast<Millis>(n));
  ASSERT_TRUE(deadline.running());
  EXPECT_GE(deadline.may_be_written_since(), 1000 + 100 * 19);
  EXPECT_LE(deadline.may_be_written_since(), 1000 + 100 * 20);
}

}  // namespace
}  // namespace shorelead::node
