// Tests of the event log: which events it keeps, and that it is written out when the process crashes.
#include "guard/event_log.h"

#include <gtest/gtest.h>

#include <csignal>
#include <vector>

namespace shorelead::guard {
namespace {

TEST(EventLog, KeepsTheMostRecentInOrder) {
  EventLog log;
  for (std::uint32_t n = 0; n < EventLog::kSize + 10; ++n) log.add({.request = n, .kind = EventKind::kTaken});
  std::vector<std::uint32_t> there;
  log.for_each([&there](const EventRecord& event) { there.push_back(event.request); });
  ASSERT_EQ(there.size(), EventLog::kSize);
  EXPECT_EQ(there.front(), 10U);
  EXPECT_EQ(there.back(), EventLog::kSize + 9);
}

TEST(EventLogDeathTest, IsWrittenOutWhenTheProcessCrashes) {
  EventLog log;
  log.add({.at = 5, .detail = 3, .request = 41, .attempt = 2, .kind = EventKind::kAttemptWritten});
  EXPECT_DEATH(
      {
        log.write_at_crash();
        std::raise(SIGABRT);
      },
      "event 5ms attempt_written request=41.2 reason=0 detail=3");
}

}  // namespace
}  // namespace shorelead::guard
