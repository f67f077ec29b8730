// Requests that change a registry: the simulated registry, which parses and answers with its own code, takes
// any transaction in the same sense; responses that are cut, foreign or do not fit are rejected with a cause.
#include "membership/registry/writes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "lab/etcd_text.h"

namespace shorelead::membership::registry {
namespace {

namespace etcd = lab::etcd;

Step any_step() {
  const auto key = [] { return "/f/" + std::string(1, *rc::gen::element('a', 'b', 'c')); };
  switch (*rc::gen::element(0, 1, 2)) {
    case 0:
      return Put{key() + std::to_string(*rc::gen::inRange(0, 999)), *rc::gen::arbitrary<std::string>(),
                 *rc::gen::element<std::int64_t>(0, 7)};
    case 1:
      return Get{key(), *rc::gen::element<std::string>("", "/f0"), *rc::gen::arbitrary<bool>()};
    default:
      return Delete{key()};
  }
}

Txn any_txn() {
  Txn txn;
  const auto number = [] { return *rc::gen::element<std::uint64_t>(0, 2, 3, 9); };
  for (int n = *rc::gen::inRange(0, 3); n > 0; --n) {
    const auto of = *rc::gen::element(Compare::Of::kCreated, Compare::Of::kChanged);
    txn.compare.push_back({*rc::gen::element<std::string>("/f/a", "/f/z"), of, number()});
  }
  for (int n = *rc::gen::inRange(0, 4); n > 0; --n) txn.success.push_back(any_step());
  for (int n = *rc::gen::inRange(0, 4); n > 0; --n) txn.failure.push_back(any_step());
  return txn;
}

// The simulated registry's response to a request's text.
std::string answer_of(lab::KeyStore& store, const std::string& text, lab::TxnResult& result) {
  std::string cause;
  const auto call = etcd::read_call("/v3/kv/txn", text, cause);
  RC_ASSERT(call.has_value());
  const auto& asked = std::get<etcd::KeyCall>(*call);
  result = store.txn(asked.txn);
  return etcd::head(store.cluster(), 0, result.revision) + etcd::tail(asked, result) + "}";
}

RC_GTEST_PROP(Writes, TransactionMeansTheSameToTheSimulatedRegistry, ()) {
  lab::KeyStore store;
  store.grant(7, 1000, 0);
  store.put("/f/a", "1", 7);
  store.put("/f/b", "2");
  const Txn asked = any_txn();
  bool holds = true;
  for (const Compare& compare : asked.compare) {
    const bool there = compare.key == "/f/a";  // created, and changed, at 2
    holds = holds && compare.number == (there ? 2U : 0U);
  }
  lab::TxnResult done;
  const std::string text = answer_of(store, txn_request(asked), done);
  if (done.error != lab::TxnError::kNone) return;
  std::string cause;
  const auto answer = parse_txn(asked, text, cause);
  RC_ASSERT(answer.has_value());
  RC_ASSERT(answer->succeeded == holds);
  RC_ASSERT(answer->header.revision == store.revision());
  const std::vector<Step>& steps = holds ? asked.success : asked.failure;
  for (std::size_t n = 0; n < steps.size(); ++n) {
    RC_ASSERT(answer->pages[n].items.size() == done.ops[n].range.items.size());
    for (std::size_t k = 0; k < answer->pages[n].items.size(); ++k) {
      const auto& [key, stored] = done.ops[n].range.items[k];
      const KeyValue& read = answer->pages[n].items[k];
      RC_ASSERT(read.key == key);
      RC_ASSERT(read.value == stored.value);
      RC_ASSERT(read.created == stored.created);
      RC_ASSERT(read.revision == stored.changed);
    }
    if (const auto* const put = std::get_if<Put>(&steps[n])) {
      const auto found = store.range(put->key, "", 0, 0);
      RC_ASSERT((found.items.empty() || found.items[0].second.value == put->value));
      RC_ASSERT((found.items.empty() || found.items[0].second.lease == put->lease));
    }
  }
  // Cut anywhere it is rejected with a cause.
  const std::size_t cut = *rc::gen::inRange<std::size_t>(0, text.size());
  cause.clear();
  RC_ASSERT(!parse_txn(asked, text.substr(0, cut), cause).has_value());
  RC_ASSERT(!cause.empty());
}

TEST(Writes, ResponsesThatDoNotFitAreRejectedWithACause) {
  const Txn asked{{}, {Put{"a", "b"}, Get{"a", ""}}, {Delete{"a"}}};
  const std::string good = R"({"response_put":{}},{"response_range":{"count":"1","kvs":[{"key":"YQ=="}]}})";
  std::string cause;
  EXPECT_TRUE(parse_txn(asked, R"({"header":{},"succeeded":true,"responses":[)" + good + "]}", cause))
      << cause;
  const std::pair<std::string, const char*> bad[] = {
      {R"({"succeeded":true,"responses":[)" + good + "]}", "no header"},
      {R"({"header":{},"succeeded":true})", "not as many responses"},
      {R"({"header":{},"responses":[)" + good + "]}", "not as many responses"},
      {R"({"header":{},"responses":[{"response_put":{}}]})", "does not fit its step"},
      {R"({"header":{},"succeeded":1})", "succeeded is neither"},
      {R"({"header":{},"succeeded":true,"responses":[3,4]})", "does not fit its step"},
      {R"({"header":{},"succeeded":true,"responses":[{"response_put":{}},{"response_range":{"kvs":3}}]})",
       "kvs is not a list"},
  };
  for (const auto& [text, words] : bad) {
    EXPECT_FALSE(parse_txn(asked, text, cause)) << text;
    EXPECT_NE(cause.find(words), std::string::npos) << text << ": " << cause;
  }
}

TEST(Writes, LeaseResponsesAreParsed) {
  std::string cause;
  const auto granted =
      parse_grant(R"({"header":{"cluster_id":"3","revision":"5"},"ID":"7587848390","TTL":"5"})", cause);
  ASSERT_TRUE(granted) << cause;
  EXPECT_EQ(granted->id, 7587848390);
  EXPECT_EQ(granted->seconds, 5);
  const auto kept =
      parse_kept(7, "{\"result\":{\"header\":{\"revision\":\"5\"},\"ID\":\"7\",\"TTL\":\"4\"}}\n", cause);
  ASSERT_TRUE(kept) << cause;
  EXPECT_EQ(kept->seconds, 4);
  for (const char* const gone :
       {R"({"result":{"header":{},"ID":"7"}})", R"({"result":{"header":{},"ID":"7","TTL":"-1"}})"}) {
    ASSERT_TRUE(parse_kept(7, gone, cause)) << cause;
    EXPECT_EQ(parse_kept(7, gone, cause)->seconds, 0);
  }
  EXPECT_FALSE(parse_kept(8, R"({"result":{"header":{},"ID":"7","TTL":"4"}})", cause));  // of another lease
  for (const char* const bad :
       {"", "{}", R"({"header":{},"TTL":"5"})", R"({"header":{},"ID":"-7","TTL":"5"})",
        R"({"header":{},"ID":"7"})", R"({"header":{},"ID":"7","TTL":"x"})"}) {
    cause.clear();
    EXPECT_FALSE(parse_grant(bad, cause)) << bad;
    EXPECT_FALSE(cause.empty()) << bad;
  }
  const Refusal full =
      parse_refusal(R"({"error":"etcdserver: mvcc: database space exceeded","code":8,"message":"x"})");
  EXPECT_EQ(full.code, 8);
  EXPECT_EQ(parse_refusal("<html>").code, 0);
}

}  // namespace
}  // namespace shorelead::membership::registry
