// Affinity rules: which one matches a request, and by which key. Table-driven.
#include "affinity/rules.h"

#include <gtest/gtest.h>

#include <map>

namespace shorelead::affinity {
namespace {

using Fields = std::map<std::string, std::string, std::less<>>;

struct TestRequest {
  explicit TestRequest(Fields given) : fields(std::move(given)) {
    field_lookup = [this](std::string_view name) {
      const auto it = fields.find(name);
      return it == fields.end() ? std::string_view() : std::string_view(it->second);
    };
    request = {"shop",       "check", "acme", "gold", "GET", "/baskets/b77/items?x=/1", "/baskets/{id}/*",
               &field_lookup};
  }
  TestRequest(const TestRequest&) = delete;
  Fields fields;
  std::function<std::string_view(std::string_view)> field_lookup;
  Request request;
};

TEST(Rules, EvaluatesConditions) {
  const TestRequest test_request({{"x-test", "yes"}, {"x-empty", ""}});
  const Condition yes = is(Subject::kClass, "check");
  const Condition no = is(Subject::kMethod, "get");  // methods are compared byte by byte
  const std::vector<std::pair<Condition, bool>> table = {
      {{}, true},
      {yes, true},
      {no, false},
      {is(Subject::kRoute, "shop"), true},
      {is(Subject::kTenant, "acme"), true},
      {is(Subject::kPlan, "silver"), false},
      {field_is("x-test", "yes"), true},
      {field_is("x-test", "ye"), false},
      {field_present("x-test"), true},
      {field_present("x-empty"), false},
      {negated(field_present("x-none")), true},
      {all({yes, no}), false},
      {any({no, yes}), true},
      {any({no, all({yes, negated(no)})}), true},
      {negated(all({yes, negated(no)})), false},
  };
  for (std::size_t n = 0; n < table.size(); ++n) {
    EXPECT_EQ(holds(table[n].first, test_request.request), table[n].second) << n;
  }
  // Without a field look-up no field is present.
  Request bare = test_request.request;
  bare.field = nullptr;
  EXPECT_FALSE(holds(field_present("x-test"), bare));
}

TEST(Rules, ReadsTheKeyFromEachSource) {
  using From = KeySource::From;
  const TestRequest test_request(
      {{"x-basket", "b1"}, {"cookie", "basketx=no; basket=b 9; quoted=\"q\";last=z "}});
  const std::vector<std::pair<KeySource, std::string>> table = {
      {{From::kTenant, "", 0}, "acme"},
      {{From::kField, "x-basket", 0}, "b1"},
      {{From::kField, "x-none", 0}, ""},
      {{From::kCookie, "basket", 0}, "b 9"},
      {{From::kCookie, "quoted", 0}, "\"q\""},
      {{From::kCookie, "last", 0}, "z"},
      {{From::kCookie, "bask", 0}, ""},
      {{From::kPart, "", 1}, "baskets"},
      {{From::kPart, "", 2}, "b77"},
      {{From::kPart, "", 3}, "items"},
      {{From::kPart, "", 4}, ""},
      {{From::kParameter, "id", 0}, "b77"},
      {{From::kParameter, "i", 0}, ""},
      {{From::kParameter, "other", 0}, ""},
  };
  for (std::size_t n = 0; n < table.size(); ++n) {
    EXPECT_EQ(key_of(table[n].first, test_request.request), table[n].second) << n;
  }
}

TEST(Rules, FirstMatchingRuleCountsEvenWithoutAKey) {
  Rule first;
  first.when = is(Subject::kMethod, "PUT");
  Rule second;
  second.when = is(Subject::kClass, "check");
  second.key = {KeySource::From::kField, "x-basket", 0};
  Rule third;  // keyed by tenant, which every request here has
  const std::vector<Rule> rules = {first, second, third};
  const TestRequest with(Fields{{"x-basket", "b1"}});
  const auto found = find(rules, with.request);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->rule, 1u);
  EXPECT_TRUE(found->keyed);
  EXPECT_EQ(found->key, hash_of("b1"));
  const TestRequest without(Fields{});
  const auto unkeyed = find(rules, without.request);
  ASSERT_TRUE(unkeyed);
  EXPECT_EQ(unkeyed->rule, 1u);
  EXPECT_FALSE(unkeyed->keyed);
  EXPECT_FALSE(find({first}, with.request));
}

// Two versions of the program side by side share one map, so a key's slot must never change.
TEST(Rules, SlotsOfKnownKeysNeverChange) {
  struct Known {
    const char* key;
    std::size_t of_1024, of_65536;
  };
  for (const Known& known :
       {Known{"basket-1000000", 952, 60952}, Known{"basket-1000001", 982, 62883}, Known{"7", 27, 1774},
        Known{"a long key of more than sixteen bytes, as cookies are", 736, 47148}}) {
    EXPECT_EQ(slot_of(hash_of(known.key), 1024), known.of_1024) << known.key;
    EXPECT_EQ(slot_of(hash_of(known.key), 65536), known.of_65536) << known.key;
  }
}

TEST(Rules, DoublingTheSlotsSplitsEachInTwo) {
  for (std::uint64_t n = 0; n < 2000; ++n) {
    const std::uint64_t key = hash_of(std::to_string(n));
    for (std::size_t slots = 1; slots <= 4096; slots *= 2) {
      EXPECT_LT(slot_of(key, slots), slots);
      EXPECT_EQ(slot_of(key, slots), slot_of(key, slots * 2) / 2);
    }
  }
}

TEST(Rules, AnotherKeyOrUnitGivesAnotherMapName) {
  Rule rule;
  rule.name = "baskets";
  Rule other = rule;
  other.bound = 2;
  EXPECT_EQ(map_name(rule), map_name(other));
  other.to = Scope::kZone;
  EXPECT_NE(map_name(rule), map_name(other));
  other = rule;
  other.key.part = 2;
  EXPECT_NE(map_name(rule), map_name(other));
}

}  // namespace
}  // namespace shorelead::affinity
