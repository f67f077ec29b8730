// What the auditor holds a process to at its end and among idle clients: lost is lost, but for a kill without
// notice, and for a new connection that is shut unread while idle clients fill the node.
#include <gtest/gtest.h>

#include "lab/audit.h"

namespace shorelead::lab {
namespace {

constexpr Millis kSent = 1000;
constexpr Millis kEnd = 1400;

// A request whose connection was ended with no byte of an answer.
lab::Run unanswered() {
  lab::Run run;
  ClassRules rules;
  rules.name = "charge";
  rules.effect = Effect::kUnsafe;
  rules.give_up = 1000;
  run.classes = {rules};
  run.boxes = {{"s-0", 0, 0, 0, 0}};
  run.node_count = 1;
  run.nodes.push_back({0, NodeDid::kStarted, 1, 0});
  Asked asked;
  asked.id = "a";
  asked.sent = kSent;
  asked.due = kSent + 1000;
  asked.ended = kEnd;
  asked.end = ClientEnd::kReset;
  run.asked = {asked};
  return run;
}

// An attempt at it that reached a box then, and ran.
Arrived attempt(Millis at) {
  Arrived arrived;
  arrived.serial = 1;
  arrived.id = "a";
  arrived.request_class = 0;
  arrived.first_byte = at;
  arrived.last_byte = arrived.began = at + 1;
  return arrived;
}

int lost(const lab::Run& run) {
  const Audit audit = lab::audit(run, {});
  const auto found = audit.counts.find(Breach::kLost);
  return found == audit.counts.end() ? 0 : found->second;
}

TEST(EndingAudit, WhatAKillAfterSigtermFindsUnansweredIsLost) {
  lab::Run run = unanswered();
  run.nodes.push_back({0, NodeDid::kTerminated, kSent - 700, 0});
  run.nodes.push_back({0, NodeDid::kEnded, kEnd, 0});
  EXPECT_EQ(lost(run), 1);
  run.nodes.back().what = NodeDid::kKilled;
  EXPECT_EQ(lost(run), 0) << "without notice";
}

TEST(EndingAudit, OnlyANewConnectionMayBeShutUnreadAndOnlyInACrowd) {
  lab::Run run = unanswered();
  run.asked[0].fresh = true;
  EXPECT_EQ(lost(run), 1);
  run.crowds.push_back({0, kSent - 100, kEnd});
  EXPECT_EQ(lost(run), 0);
  EXPECT_EQ(audit(run, {}).shut_in_crowd, 1);
  run.asked[0].fresh = false;
  EXPECT_EQ(lost(run), 1);
  run.asked[0].fresh = true;
  run.crowds[0].node = 1;
  EXPECT_EQ(lost(run), 1);
  run.crowds[0] = {0, kSent - 300, kEnd - 100};
  EXPECT_EQ(lost(run), 1) << "it was over by then";
  run.crowds[0] = {0, kSent - 100, kEnd};
  run.arrived.push_back(attempt(kSent + 1));
  EXPECT_EQ(lost(run), 1) << "it was read, as it was sent on";
}

// The client sends once more what its kept connection was ended under; the record has the second sending.
TEST(EndingAudit, WhatWasSentOnAndSentOnceMoreIsLostUnlessItsProcessWasKilledThen) {
  lab::Run run = unanswered();
  run.arrived.push_back(attempt(kSent - 500));
  run.asked[0].resent = kSent - 400;
  run.asked[0].end = ClientEnd::kNoConnection;
  EXPECT_EQ(lost(run), 1);
  run.nodes.push_back({0, NodeDid::kKilled, kSent - 401, 0});
  EXPECT_EQ(lost(run), 0);
  run.nodes.back().at = kSent - 1000;
  EXPECT_EQ(lost(run), 1) << "the one before was";
}

}  // namespace
}  // namespace shorelead::lab
