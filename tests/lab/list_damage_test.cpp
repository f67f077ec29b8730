// Where a list is cut off, and which faults do it.
#include "lab/list_damage.h"

#include <gtest/gtest.h>

namespace shorelead::lab {
namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kList = "{\"seq\":4,\"whole\":true,\"hosts\":[{\"host\":\"s-1\"}]}";

TEST(ListDamage, CutsBeforeTheListLeaveNoByteOfIt) {
  const std::string response = kHead + chunk(kList + "\n");
  for (std::size_t nth = 0; nth < 4; ++nth) {
    const std::size_t size = first_part(response, CutAt::kBeforeTheList, nth);
    EXPECT_GT(size, 0U);
    EXPECT_LE(size, kHead.size());
    EXPECT_EQ(first_part(chunk(kList), CutAt::kBeforeTheList, nth), 1U);
  }
  EXPECT_NE(first_part(response, CutAt::kBeforeTheList, 0), first_part(response, CutAt::kBeforeTheList, 1));
}

TEST(ListDamage, CutsInTheMiddleLeaveHalfOfTheList) {
  const std::string list = chunk(kList);
  EXPECT_EQ(first_part(list, CutAt::kMiddle, 0), list.size() / 2);
  EXPECT_EQ(first_part(kHead + list, CutAt::kMiddle, 0), kHead.size() + list.size() / 2);
}

TEST(ListDamage, EachFaultThatCutsListsIsKnown) {
  for (const std::string place : {"partial", "begun"}) {
    for (const std::string then : {"_end", "_reset", "_silent", "_late"}) {
      const auto damage = list_damage(place + then);
      ASSERT_TRUE(damage) << place << then;
      EXPECT_EQ(damage->at, place == "begun" ? CutAt::kBeforeTheList : CutAt::kMiddle);
      EXPECT_NE(damage->then, PartialList::kNone);
    }
  }
  EXPECT_FALSE(list_damage("down"));
}

TEST(ListDamage, AnUnreadableEntryLeavesTheListWellFormed) {
  EXPECT_EQ(with_unreadable_entry("{\"hosts\":[]}"), "{\"hosts\":[{\"host\":5}]}");
  EXPECT_EQ(with_unreadable_entry("{\"hosts\":[{}]}"), "{\"hosts\":[{\"host\":5},{}]}");
  EXPECT_EQ(with_unreadable_entry("no list"), "no list");
}

}  // namespace
}  // namespace shorelead::lab
