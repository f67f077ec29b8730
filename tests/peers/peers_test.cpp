// Peer messages: their encoding, and the ledgers that their owners keep.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "peers/ledger.h"
#include "peers/message_codec.h"

namespace shorelead::peers {
namespace {

using Kind = PeerMessage::Kind;
using Ending = PeerMessage::Ending;

PeerMessage load_update(double held, Ending ending = Ending::kSent, double ratio = 0) {
  PeerMessage m;
  m.kind = Kind::kLoadUpdate;
  m.work = m.held = held;
  m.ending = ending;
  m.ratio = ratio;
  return m;
}

RC_GTEST_PROP(MessageCodec, DecodesWhatItEncodesWithinTheSizeLimit, ()) {
  PeerMessage m;
  m.kind = static_cast<Kind>(*rc::gen::inRange(0, 5));
  m.about = *rc::gen::arbitrary<std::uint32_t>();
  if (m.kind == Kind::kLoadUpdate || m.kind == Kind::kLoadReply) {
    m.work = *rc::gen::inRange(0, 250) / 8.0;
    m.held = *rc::gen::inRange(0, 30);
    m.ratio = *rc::gen::inRange(1, 64) / 8.0;
  }
  if (m.kind == Kind::kLoadUpdate) m.ending = static_cast<Ending>(*rc::gen::inRange(0, 3));
  if (m.kind == Kind::kLoadUpdate && m.ending != Ending::kAnswered) m.ratio = 0;
  if (m.kind == Kind::kTenantRate || m.kind == Kind::kTenantTotal) m.rate = *rc::gen::inRange(0, 65536);
  const std::string bytes = encode(m);
  RC_ASSERT(bytes.size() <= kMaxPeerMessageBytes);
  const auto back = decode(bytes);
  RC_ASSERT(back.has_value());
  RC_ASSERT(back->kind == m.kind && back->about == m.about && back->ending == m.ending);
  RC_ASSERT(back->work == m.work && back->held == m.held && back->rate == m.rate);
  const bool near = m.ratio == 0 ? back->ratio == 0 : std::abs(back->ratio / m.ratio - 1) < 0.03;
  RC_ASSERT(near);
}

// Truncated anywhere, too long, of another version or of an unknown kind.
TEST(MessageCodec, RejectsMalformedMessages) {
  for (int kind = 0; kind < 5; ++kind) {
    PeerMessage m;
    m.kind = static_cast<Kind>(kind);
    const std::string bytes = encode(m);
    for (std::size_t n = 0; n < bytes.size(); ++n)
      EXPECT_FALSE(decode(bytes.substr(0, n))) << kind << " " << n;
    EXPECT_FALSE(decode(bytes + "x"));
    std::string other = bytes;
    other[0] = static_cast<char>(0x20 | kind);
    EXPECT_FALSE(decode(other));
    other[0] = static_cast<char>(0x10 | (kind + 5));
    EXPECT_FALSE(decode(other));
  }
}

RC_GTEST_PROP(MessageCodec, DecodesOrRejectsAnyBytes, (const std::string& bytes)) { (void)decode(bytes); }

TEST(BackendLedger, AddsUpTheLoadOfOtherPeers) {
  BackendLedger ledger;
  ledger.update(1, load_update(2), 0);
  ledger.update(2, load_update(3), 0);
  ledger.update(1, load_update(1), 10);  // replaces the first update
  EXPECT_EQ(ledger.load_for(1, 0, 20).held, 3);
  EXPECT_EQ(ledger.load_for(2, 0, 20).held, 1);
  EXPECT_EQ(ledger.load_for(3, 0, 20).held, 4);
  EXPECT_EQ(ledger.load_for(3, 0, 5000).held, 0) << "an old update does not count";
}

// Guards against attempts whose responses were lost: they filled a backend's bound for seconds while it was
// idle.
TEST(BackendLedger, DropsAttemptsOvertakenByMoreAnswersThanWereInFlight) {
  BackendLedger ledger;
  ledger.update(1, load_update(1), 0);
  for (int n = 0; n < 2; ++n) {
    EXPECT_EQ(ledger.load_for(9, 0, n).held, 1) << n;
    ledger.update(2, load_update(0, Ending::kAnswered, 1), n);
  }
  EXPECT_EQ(ledger.load_for(9, 0, 3).held, 0);
}

// Guards against reservations of a fixed weight: where many peers query and few send, every backend looked
// full.
TEST(BackendLedger, CountsAQueryWithTheShareOfQueriesFollowedByAnAttempt) {
  BackendLedger mere_queries;
  BackendLedger queries_with_attempts;
  for (int n = 0; n < 400; ++n) {
    mere_queries.load_for(1, 100, n);
    queries_with_attempts.load_for(1, 100, n);
    queries_with_attempts.update(1, load_update(0), n);
  }
  mere_queries.load_for(1, 100, 400);
  queries_with_attempts.load_for(1, 100, 400);
  EXPECT_LT(mere_queries.load_for(2, 100, 401).held, 0.05);
  EXPECT_GT(queries_with_attempts.load_for(2, 100, 401).held, 0.8);
}

TEST(BackendLedger, RatioIsTheMeanOverAllUpdates) {
  BackendLedger ledger;
  for (int n = 0; n < 200; ++n)
    ledger.update(n % 7, load_update(0, Ending::kAnswered, n % 2 == 0 ? 1 : 3), n);
  EXPECT_NEAR(ledger.load_for(9, 0, 200).ratio, 2, 0.4);
}

TEST(RateLedger, AddsUpRatesAndDropsOldOnes) {
  RateLedger ledger;
  ledger.update(1, 10, 0);
  ledger.update(2, 5, 0);
  ledger.update(1, 20, 1000);
  EXPECT_EQ(ledger.total(), 25);
  ledger.update(1, 20, 3000);
  EXPECT_EQ(ledger.total(), 20) << "the rate of peer 2 is outdated";
}

}  // namespace
}  // namespace shorelead::peers
