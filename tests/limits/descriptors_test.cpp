// The limits of descriptors: who may open a connection, whose is closed for it, and which are kept.
#include "limits/descriptors.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <list>
#include <set>

namespace shorelead::limits {
namespace {

// Guards against probes that take what requests need: whatever the counts, a probe never causes a backend's
// connection to be closed, and a request is never refused a free descriptor.
RC_GTEST_PROP(Descriptors, ProbesNeverTakeDescriptorsThatRequestsNeed, ()) {
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
  // Clients leave an eighth to requests, whatever else is open, and no backend's connection is closed for
  // them.
  const bool reserved = counts.open - counts.backends >= most - std::max(1, most / 8);
  const Step client = descriptors.step(Purpose::kClient, counts);
  RC_ASSERT((client == Step::kOpen) == (counts.open < most && !reserved));
  RC_ASSERT((client == Step::kEvictClientOnly) == reserved);
  RC_ASSERT(client != Step::kRefuse);
  RC_ASSERT(descriptors.keep(Purpose::kRequest, counts));
}

// Guards against endless opening and closing of connections, as measured with 5,000 backends and 4,096
// descriptors: 24,211 connections for 392 responses. The list is longer than the descriptors and is probed
// all the time; the connections to backends that requests use are kept.
TEST(Descriptors, AListLongerThanTheDescriptorsKeepsRequestsConnections) {
  constexpr int kBackends = 5000;
  constexpr int kUsedBackends = 500;  // number of backends that requests go to
  const Descriptors descriptors(1024);
  const int clients = 100;
  std::list<int> idle;  // idle longest first
  std::set<int> kept;
  int evictions = 0;
  int opened_for_requests = 0;
  int probes_refused = 0;
  const auto counts = [&] {
    return DescriptorCounts{clients + static_cast<int>(kept.size()), static_cast<int>(kept.size()), 0};
  };
  const auto use_connection = [&](int backend, Purpose purpose) {
    if (kept.count(backend) > 0)
      return idle.splice(idle.end(), idle, std::find(idle.begin(), idle.end(), backend));
    Step step = descriptors.step(purpose, counts());
    for (; step != Step::kOpen && step != Step::kRefuse; step = descriptors.step(purpose, counts())) {
      ASSERT_NE(purpose, Purpose::kProbe);
      ASSERT_EQ(step, Step::kEvictBackend);
      kept.erase(idle.front());
      idle.pop_front();
      ++evictions;
    }
    if (step == Step::kRefuse) return static_cast<void>(++probes_refused);
    opened_for_requests += purpose == Purpose::kRequest;
    kept.insert(backend);
    if (descriptors.keep(purpose, counts())) return idle.push_back(backend);
    kept.erase(backend);
  };
  for (int round = 0; round < 20; ++round) {
    for (int backend = 0; backend < kBackends; ++backend) {
      use_connection(backend, Purpose::kProbe);
      use_connection((backend * 7) % kUsedBackends, Purpose::kRequest);
    }
  }
  EXPECT_EQ(evictions, 0);
  EXPECT_LE(opened_for_requests, kUsedBackends);
  EXPECT_EQ(probes_refused, 0);  // probes are sent on connections that are closed after them
}

TEST(Descriptors, StatesAndStepsFollowFromTheCounts) {
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
  // If backends' connections are over budget, they are closed before clients'.
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
