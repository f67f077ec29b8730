// The JSON texts of plans and records: they round-trip, and malformed ones are rejected with a cause.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"
#include "fleet/plan.h"

namespace shorelead::fleet {
namespace {

double figure(Random& random) {
  const double range[] = {1, 1000, 1e12};
  const double v = random.unit() * range[random.below(3)];
  return random.below(2) == 0 ? v : std::floor(v);
}

std::string word(Random& random) {
  std::string out;
  for (std::size_t n = random.below(12); n > 0; --n) out += "ab\"\\\n/#\x01\xc3\xa4 \x7f"[random.below(12)];
  return out;
}

Parts parts(Random& random) {
  Parts out;
  for (std::size_t n = random.below(4); n > 0; --n) {
    out[word(random)] = {figure(random), random.below(2) == 0 ? 0 : figure(random)};
  }
  return out;
}

Plan plan_of(Random& random) {
  Plan out;
  out.epoch = random.below(1000);
  out.fence = random.next() >> 20;
  out.history = random.next();
  out.wholes = parts(random);
  for (std::size_t n = random.below(4); n > 0; --n) out.shares[word(random)] = parts(random);
  if (random.below(2) == 0) out.cut_off = {static_cast<int>(random.below(9)), random.unit()};
  for (std::size_t n = random.below(3); n > 0; --n) {
    SlotMap& map = out.affinity[word(random)];
    map.backends = random.next();
    map.slots.resize(random.below(4) == 0 ? 0 : 1 << random.below(6));
    for (Slot& s : map.slots) {
      s = {word(random), random.below(3) > 0, "", random.below(3)};
      if (!s.open) s.to = word(random);
    }
  }
  return out;
}

Record record_of(Random& random) {
  Record out;
  out.id = {word(random), random.next()};
  out.zone = word(random);
  out.weight = figure(random);
  out.epoch = random.below(1000);
  out.in_force = parts(random);
  for (std::size_t n = random.below(3); n > 0; --n) out.demand[word(random)] = figure(random);
  for (std::size_t n = random.below(3); n > 0; --n) out.spent[word(random)] = figure(random);
  for (std::size_t n = random.below(3); n > 0; --n) {
    out.ranks[static_cast<int>(random.below(9))] = {figure(random), figure(random), figure(random), 0, 7};
  }
  out.room = random.unit();
  return out;
}

RC_GTEST_PROP(Documents, RoundTrip, (std::uint64_t seed)) {
  Random random(seed);
  std::string cause;
  const Plan plan = plan_of(random);
  const std::string text = text_of(plan);
  const auto read = parse_plan(text, cause);
  RC_ASSERT(read && *read == plan && text_of(*read) == text && cause.empty());
  const Record record = record_of(random);
  const std::string line = text_of(record);
  const auto again = parse_record(line, cause);
  RC_ASSERT(again && text_of(*again) == line && cause.empty());
  RC_ASSERT(again->id == record.id && again->in_force == record.in_force && again->demand == record.demand);
  RC_ASSERT(again->ranks.size() == record.ranks.size() && again->room == record.room);
  // A text cut off anywhere is rejected with a cause.
  RC_ASSERT(!parse_plan(text.substr(0, random.below(text.size())), cause) && !cause.empty());
  RC_ASSERT(!parse_record(line.substr(0, random.below(line.size())), cause) && !cause.empty());
}

// A valid text in which `from` is replaced by `to`; with an empty `cause` it is still accepted.
struct Broken {
  const char* from;
  std::string to;
  const char* cause;
};

Plan good_plan() {
  Plan p;
  p.epoch = 7;
  p.wholes["b"] = {10, 2};
  p.shares["n#1"]["b"] = {4.5, 1};
  p.affinity["rule"].slots = {{"x", true, "", 3}, {"y", false, "x", 4}};
  return p;
}

TEST(Documents, MalformedDocumentsAreRejectedWithACause) {
  Record r;
  r.id = {"n", 1};
  r.demand["b"] = 3;
  r.ranks[2] = {1, 1, 1, 0, 0};
  const std::string plan = text_of(good_plan());
  const std::string record = text_of(r);
  EXPECT_EQ(plan, R"({"form":1,"epoch":7,"fence":0,"history":0,"wholes":{"b":[10,2]},"budgets":["b"],)"
                  R"("shares":{"n#1":[[4.5,1]]},"cut_off":[1073741824,0],)"
                  R"("affinity":{"rule":{"boxes":0,"names":["x","y"],)"
                  R"("slots":[0,1],)"
                  R"("closed":[1,0],"since":[3,1,4,1]}}})");
  std::string slots = "[0";
  for (int n = 1; n < 131072; ++n) slots += ",0";
  const Broken plans[] = {
      {"\"form\":1", "\"form\":1,\"more\":[{}]", ""},
      {"\"form\":1", "\"form\":2", "form 2 is newer than 1"},
      {"\"form\":1", "\"form\":0", "form 0 is invalid"},
      {"\"form\":1", "\"form\":\"1\"", "form is not a whole number"},
      {"\"form\":1,", "", "there is no form"},
      {"\"fence\":0,", "", "there is no fence"},
      {"\"epoch\":7", "\"epoch\":-7", "epoch is not a whole number"},
      {"\"epoch\":7", "\"epoch\":7.5", "epoch is not a whole number"},
      {"\"epoch\":7", "\"epoch\":9007199254740992", "epoch is beyond 1000000000000000"},
      {"[10,2]", "[-10,2]", "a whole is negative or beyond 1e12"},
      {"[10,2]", "[10,1.1e12]", "a whole is negative or beyond 1e12"},
      {"[10,2]", "[10,1e999]", "broken JSON at byte"},
      {"[10,2]", "[10,NaN]", "broken JSON at byte"},
      {"[10,2]", "[10,2,3]", "a whole does not have two values"},
      {"[10,2]", "\"10\"", "a whole is not a number"},
      {"[10,2]}", "[10,2],\"b\":1}", "wholes has a duplicate name"},
      {"[[4.5,1]]", "[[4.5,null]]", "a share is not a number"},
      {"[[4.5,1]]", "[]", "a member does not have as many shares"},
      {"[[4.5,1]]", "{}", "a member's shares is not a list"},
      {"n#1", std::string(222, 'n'), "shares is too long"},
      {"[\"b\"]", "[\"" + std::string(201, 'b') + "\"]", "a budget is too long"},
      {"[1073741824,0]", "[1073741825,0]", "the cut-off's rank is beyond"},
      {"[1073741824,0]", "[0]", "cut_off does not have two values"},
      {"\"slots\":[0,1]", "\"slots\":[0,1,1]", "the number of slots is not a power of two"},
      {"\"slots\":[0,1]", "\"slots\":[0,2]", "a slot's box has no name"},
      {"\"slots\":[0,1]", "\"slots\":" + slots + "]", "more than 65536 slots"},
      {"[1,0]", "[2,0]", "a closed slot does not exist"},
      {"[1,0]", "[1,0,1,0]", "a closed slot does not exist or is listed twice"},
      {"[1,0]", "[1]", "a pair is incomplete"},
      {"[3,1,4,1]", "[3,1]", "epochs for fewer slots"},
      {"[3,1,4,1]", "[3,1,4,2]", "epochs for more slots"},
      {"}}}", "}}", "broken JSON at byte"},
      {"}}}", "}}}x", "broken JSON at byte"},
      {"}}}", std::string("}}}\0", 4), "a zero byte"},
      {plan.c_str(), "[]", "not a JSON object"},
      {plan.c_str(), "", "broken JSON at byte"},
  };
  const Broken records[] = {
      {"\"name\":\"n\"", "\"name\":7", "name is not a string"},
      {"\"name\":\"n\"", "\"name\":\"" + std::string(201, 'n') + "\"", "name is too long"},
      {"\"incarnation\":1", "\"incarnation\":18446744073709551616", "incarnation is not a whole number"},
      {"\"b\":3", "\"b\":-3", "demand is negative"},
      {"\"b\":3", "\"b\":true", "demand is not a number"},
      {"[2,1,", "[-2,1,", "rank is not a whole number"},
      {"[2,1,", "[1,", "a rank does not have six values"},
      {"[[2,", "[[2,0,0,0,0,0],[2,", "a rank is listed twice"},
      {"\"room\":1", "\"rooms\":1", "there is no room"},
  };
  const auto changed = [](std::string text, const Broken& b) {
    const std::size_t at = text.find(b.from);
    EXPECT_NE(at, std::string::npos) << b.from;
    return text.replace(at, std::string(b.from).size(), b.to);
  };
  std::string cause;
  for (const Broken& b : plans) {
    EXPECT_EQ(parse_plan(changed(plan, b), cause).has_value(), *b.cause == 0) << b.to.substr(0, 80);
    EXPECT_EQ(cause.substr(0, std::string(b.cause).size()), b.cause);
  }
  for (const Broken& b : records) {
    EXPECT_FALSE(parse_record(changed(record, b), cause)) << b.to.substr(0, 80);
    EXPECT_EQ(cause.substr(0, std::string(b.cause).size()), b.cause);
  }
}

// A wrongly computed number must not make the written document unreadable.
TEST(Documents, OutOfRangeNumbersAreWrittenAsTheNearestBound) {
  Record r;
  r.demand = {{"huge", 1e300}, {"less", -1}, {"none", std::nan("")}, {"without end", INFINITY}};
  std::string cause;
  const auto read = parse_record(text_of(r), cause);
  ASSERT_TRUE(read) << cause;
  EXPECT_EQ(read->demand,
            (std::map<std::string, double>{{"huge", 1e12}, {"less", 0}, {"none", 0}, {"without end", 1e12}}));
}

TEST(Documents, SlotMapsAreCompact) {
  Random random(1);
  Plan plan;
  std::vector<Slot>& slots = plan.affinity["basket"].slots;
  slots.resize(4096);
  for (Slot& s : slots)
    s = {"screen-" + std::to_string(random.below(200)) + ".kumamoto.example.org", true, "", 9};
  for (int n = 0; n < 400; ++n) slots[random.below(4096)].since = 1000 + random.below(20);
  EXPECT_LT(text_of(plan).size(), 30000U);
}

}  // namespace
}  // namespace shorelead::fleet
