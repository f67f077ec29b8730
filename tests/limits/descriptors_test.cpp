// Want of descriptors: who opens, who gives way, what is kept. In counts alone.
#include "limits/descriptors.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <list>
#include <set>

namespace shorelead::limits {
namespace {

// Guards against probes that push out what requests need: whatever the counts, a probe never has a backend's
// connection closed, nor a request refused a descriptor that is there.
RC_GTEST_PROP(Descriptors, ProbesNeverTakeWhatRequestsNeed, ()) {
  const int most = *rc::gen::inRange(32, 60000);
  const Descriptors descriptors(most);
  DescriptorCounts counts;
  counts.open = *rc::gen::inRange(0, most + 1);
  counts.backends = *rc::gen::inRange(0, counts.open + 1);
  counts.probing = *rc::gen::inRange(0, counts.backends + 1);
  const Step probe = descriptors.step(Purpose::kProbe, counts);
  RC_ASSERT(probe != Step::kEvictBackend && probe != Step::kEvictClient);
  RC_ASSERT(counts.probing < descriptors.probing_budget() || probe == Step::kRefuse);
  const Step request = descriptors.step(Purpose::kRequest, counts);
  RC_ASSERT((request == Step::kOpen) == (counts.open < most));
  RC_ASSERT(request != Step::kRefuse && request != Step::kEvictClientOnly);
  // Clients leave an eighth to requests, whatever else is open, and never close a backend's for that.
  const bool reserved = counts.open - counts.backends >= most - std::max(1, most / 8);
  const Step client = descriptors.step(Purpose::kClient, counts);
  RC_ASSERT((client == Step::kOpen) == (counts.open < most && !reserved));
  RC_ASSERT((client == Step::kEvictClientOnly) == reserved);
  RC_ASSERT(client != Step::kRefuse);
  RC_ASSERT(descriptors.keep(Purpose::kRequest, counts));
}

// Guards against what was measured with 5,000 backends and 4,096 descriptors: connections opened and closed
// without end (24,211 for 392 answers). A list longer than the descriptors, probed all the time: requests
// find theirs kept, but for those to backends seldom asked.
TEST(Descriptors, AListLongerThanTheDescriptorsLeavesRequestsTheirConnections) {
  constexpr int kBackends = 5000;
  constexpr int kUsed = 500;  // backends that requests go to
  const Descriptors descriptors(1024);
  const int clients = 100;
  std::list<int> unused;  // the longest unused first
  std::set<int> kept;
  int evictions = 0;
  int opened_for_requests = 0;
  int probes_refused = 0;
  const auto counts = [&] {
    return DescriptorCounts{clients + static_cast<int>(kept.size()), static_cast<int>(kept.size()), 0};
  };
  const auto ask = [&](int backend, Purpose purpose) {
    if (kept.count(backend) > 0)
      return unused.splice(unused.end(), unused, std::find(unused.begin(), unused.end(), backend));
    Step step = descriptors.step(purpose, counts());
    for (; step != Step::kOpen && step != Step::kRefuse; step = descriptors.step(purpose, counts())) {
      ASSERT_NE(purpose, Purpose::kProbe);
      ASSERT_EQ(step, Step::kEvictBackend);
      kept.erase(unused.front());
      unused.pop_front();
      ++evictions;
    }
    if (step == Step::kRefuse) return static_cast<void>(++probes_refused);
    opened_for_requests += purpose == Purpose::kRequest;
    kept.insert(backend);
    if (descriptors.keep(purpose, counts())) return unused.push_back(backend);
    kept.erase(backend);
  };
  for (int round = 0; round < 20; ++round) {
    for (int backend = 0; backend < kBackends; ++backend) {
      ask(backend, Purpose::kProbe);
      ask((backend * 7) % kUsed, Purpose::kRequest);
    }
  }
  EXPECT_EQ(evictions, 0);
  EXPECT_LE(opened_for_requests, kUsed);
  EXPECT_EQ(probes_refused, 0);  // they go out, on connections that are closed after them
}

TEST(Descriptors, StatesInOrder) {
  const Descriptors descriptors(1000);
  const std::pair<DescriptorCounts, DescriptorState> cases[] = {
      {{10, 5, 0}, DescriptorState::kPlenty},      {{500, 374, 0}, DescriptorState::kPlenty},
      {{500, 375, 0}, DescriptorState::kHoarding}, {{875, 10, 0}, DescriptorState::kShort},
      {{999, 900, 0}, DescriptorState::kShort},    {{1000, 0, 0}, DescriptorState::kOut},
  };
  for (const auto& [counts, state] : cases) {
    EXPECT_EQ(descriptors.state(counts), state)
        << counts.open << " open, " << counts.backends << " to backends";
  }
  // Where a hoard of backends' connections is over its budget, it gives way before clients do.
  EXPECT_EQ(descriptors.step(Purpose::kRequest, {1000, 501, 0}), Step::kEvictBackend);
  EXPECT_EQ(descriptors.step(Purpose::kRequest, {1000, 500, 0}), Step::kEvictClient);
  EXPECT_EQ(descriptors.step(Purpose::kClient, {874, 0, 0}), Step::kOpen);
  EXPECT_EQ(descriptors.step(Purpose::kClient, {875, 0, 0}), Step::kEvictClientOnly);
  EXPECT_EQ(descriptors.step(Purpose::kClient, {999, 125, 0}), Step::kOpen);
  EXPECT_EQ(descriptors.step(Purpose::kProbe, {1000, 100, 0}), Step::kEvictClientOnly);
  EXPECT_EQ(descriptors.step(Purpose::kProbe, {1000, 400, 0}), Step::kRefuse);
}

}  // namespace
}  // namespace shorelead::limits
