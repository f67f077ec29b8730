// The stand-in's store: transactions, leases and lost tails as published, by table and by random histories.
#include "lab/key_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace shorelead::lab {
namespace {

using Of = Comparison::Of;
using Holds = Comparison::Holds;

std::map<std::string, std::string> contents(const KeyStore& store, std::uint64_t revision) {
  std::map<std::string, std::string> all;
  for (const auto& [key, stored] : store.range("", std::string(1, '\0'), 0, revision).items) {
    all[key] = stored.value + "@" + std::to_string(stored.created) + "," + std::to_string(stored.changed) +
               "," + std::to_string(stored.version) + "," + std::to_string(stored.lease);
  }
  return all;
}

TEST(KeyStore, EachComparisonIsAsPublished) {
  KeyStore store;
  store.grant(77, 1000, 0);
  store.put("other", "x");  // 2
  store.put("k", "a", 77);  // 3
  store.put("k", "b", 77);  // 4: created 3, changed 4, version 2
  store.put("k2", "b", 0);  // 5
  const struct {
    Comparison comparison;
    bool holds;
  } table[] = {
      {{"k", Of::kCreated, Holds::kEqual, 3, "", ""}, true},
      {{"k", Of::kCreated, Holds::kEqual, 4, "", ""}, false},
      {{"k", Of::kChanged, Holds::kEqual, 4, "", ""}, true},
      {{"k", Of::kChanged, Holds::kLess, 4, "", ""}, false},
      {{"k", Of::kVersion, Holds::kGreater, 1, "", ""}, true},
      {{"k", Of::kVersion, Holds::kNotEqual, 2, "", ""}, false},
      {{"k", Of::kLease, Holds::kEqual, 77, "", ""}, true},
      {{"k", Of::kValue, Holds::kEqual, 0, "b", ""}, true},
      {{"k", Of::kValue, Holds::kLess, 0, "b", ""}, false},
      {{"none", Of::kCreated, Holds::kEqual, 0, "", ""}, true},  // not there: each number is 0
      {{"none", Of::kChanged, Holds::kEqual, 1, "", ""}, false},
      {{"none", Of::kValue, Holds::kNotEqual, 0, "b", ""}, false},  // and no comparison of its value holds
      {{"k", Of::kVersion, Holds::kGreater, 0, "", "k3"}, true},
      {{"k", Of::kLease, Holds::kEqual, 77, "", "k3"}, false},  // all of them must
  };
  for (const auto& row : table) {
    const TxnResult result = store.txn({{row.comparison}, {}, {}});
    EXPECT_EQ(result.succeeded, row.holds)
        << row.comparison.key << " " << static_cast<int>(row.comparison.of);
    EXPECT_EQ(result.revision, 5U);
  }
}

TEST(KeyStore, ATransactionIsOneRevisionAndAFaultyOneNone) {
  KeyStore store;
  store.put("a", "1");  // 2
  const TxnResult result =
      store.txn({{{"a", Of::kChanged, Holds::kEqual, 2, "", ""}},
                 {PutOp{"b", "2"}, DeleteOp{"a", ""}, PutOp{"c", "3"}, RangeOp{"a", "z"}},
                 {PutOp{"a", "lost"}}});
  ASSERT_TRUE(result.succeeded);
  EXPECT_EQ(result.revision, 3U);
  EXPECT_EQ(result.ops.at(1).deleted, 1U);
  ASSERT_EQ(result.ops.at(3).range.items.size(), 2U);  // sees what was written before it
  EXPECT_EQ(result.ops.at(3).range.items[0].second.changed, 3U);
  EXPECT_EQ(store.changes(3, 3, "a", "z")->size(), 3U);
  const std::pair<Txn, TxnError> faulty[] = {
      {{{}, {PutOp{"x", ""}, PutOp{"x", ""}}, {}}, TxnError::kDuplicateKey},
      {{{}, {PutOp{"x", ""}, DeleteOp{"a", "z"}}, {}}, TxnError::kDuplicateKey},
      {{{}, {PutOp{"x", ""}, PutOp{"y", "", 5}}, {}}, TxnError::kNoLease},
      {{{}, {PutOp{"x", ""}, RangeOp{"a", "z", 0, 9}}, {}}, TxnError::kFuture},
  };
  for (const auto& [txn, error] : faulty) {
    EXPECT_EQ(store.txn(txn).error, error);
    EXPECT_EQ(store.revision(), 3U);
    EXPECT_EQ(contents(store, 0).count("x"), 0U);
  }
}

// Any revision reads as it was then, a transaction is one revision at most, a lease that is over has no key,
// and a store that lost its tail is what it was, its leases of then whole again.
RC_GTEST_PROP(KeyStore, HistoriesReadBack, ()) {
  KeyStore store;
  Millis now = 0;
  std::map<std::uint64_t, std::map<std::string, std::string>> was{{1, {}}};
  const int steps = 30 + *rc::gen::inRange(0, 30);
  for (int n = 0; n < steps; ++n) {
    const auto key = [] { return std::string(1, *rc::gen::element('a', 'b', 'c', 'd', 'e')); };
    const std::uint64_t before = store.revision();
    const std::int64_t lease = *rc::gen::element(0, 1, 2, 3);
    switch (*rc::gen::element(0, 0, 1, 2, 3, 4, 5, 5, 5, 5)) {
      case 0:
        store.grant(*rc::gen::element(1, 2, 3), *rc::gen::inRange(1, 50), now);
        break;
      case 1:
        store.keep_alive(lease, now);
        break;
      case 2:
        store.revoke(lease);
        RC_ASSERT((store.keys_of(lease).empty() || lease == 0));
        RC_ASSERT(store.revision() <= before + 1);
        break;
      case 3:
        now += *rc::gen::inRange(0, 30);
        store.expire(now);
        for (std::int64_t id = 1; id < 4; ++id)
          RC_ASSERT((store.lease(id) != nullptr || store.keys_of(id).empty()));
        break;
      case 4: {
        const std::uint64_t to = *rc::gen::inRange<std::uint64_t>(1, store.revision() + 1);
        store.restore(to, now);
        RC_ASSERT(store.revision() == to);
        was.erase(was.upper_bound(to), was.end());
        for (std::int64_t id = 1; id < 4; ++id) {
          RC_ASSERT((store.lease(id) != nullptr ||
                     store.keys_of(id).empty()));  // no key that nothing ever takes away
          const Leases::Lease* const lease = store.lease(id);
          const bool whole = lease == nullptr || lease->ends == now + lease->length;
          RC_ASSERT(whole);
        }
        break;
      }
      default: {
        const TxnResult result =
            store.txn({{{key(), Of::kVersion, *rc::gen::element(Holds::kGreater, Holds::kEqual), 0, "", ""}},
                       {PutOp{key(), std::to_string(n), lease}, PutOp{key(), "", 0}},
                       {DeleteOp{key(), key()}}});
        RC_ASSERT(store.revision() <= before + 1);
        RC_ASSERT((result.error == TxnError::kNone || store.revision() == before));
      }
    }
    // Runs out of several leases take a revision each; those in between are not recorded here.
    was[store.revision()] = contents(store, 0);
    for (const auto& [revision, all] : was) RC_ASSERT(contents(store, revision) == all);
  }
}

}  // namespace
}  // namespace shorelead::lab
