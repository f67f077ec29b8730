// A response of discovery in parts: after which bytes something of it is outstanding.
#include "node/list_response.h"

#include <gtest/gtest.h>

#include <string>

namespace shorelead::node {
namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kList = "{\"seq\":9,\"whole\":true,\"hosts\":[  ]}\n";
const std::string kKeepAlive = "1\r\n\n\r\n";

// Whether the response is incomplete after the first `size` bytes of `text`, received one at a time or at
// once.
bool incomplete_after(const std::string& text, std::size_t size, bool at_once) {
  ListResponse response;
  std::string input;
  for (std::size_t n = 0; n < size; ++n) {
    input += text[n];
    if (at_once && n + 1 < size) continue;
    response.receive(input);
    while (response.next()) continue;
  }
  EXPECT_EQ(response.received_bytes(), size);
  return response.incomplete();
}

TEST(ListResponse, IsIncompleteFromItsFirstByteUntilAListIsWhole) {
  ASSERT_EQ(kList.size(), 0x24U);
  const std::string size = "24\r\n";
  const std::string text = kHead + size + kList + "\r\n" + kKeepAlive + size + kList;
  const std::size_t first_whole = kHead.size() + size.size() + kList.size();
  for (const bool at_once : {false, true}) {
    for (std::size_t n = 1; n <= text.size(); ++n) {
      const std::size_t begins = first_whole + 2;                // of the keep-alive
      const std::size_t next = begins + kKeepAlive.size();       // of the second list
      const bool in_keep_alive = n > begins && n <= begins + 3;  // its size and the end of that line
      const bool outstanding = n < first_whole || in_keep_alive || (n > next && n < text.size());
      EXPECT_EQ(incomplete_after(text, n, at_once), outstanding) << n << " bytes, at once: " << at_once;
    }
  }
}

TEST(ListResponse, HasBegunWithAnyByteAndNotBefore) {
  EXPECT_FALSE(ListResponse().incomplete());
  EXPECT_TRUE(incomplete_after("HTTP/1.1 503 Service Unavailable\r\n\r\n", 1, true));
}

TEST(ListResponse, OfStatedLengthIsIncompleteUntilItsEnd) {
  const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kList.size() - 1) +
                           "\r\n\r\n" + kList.substr(0, kList.size() - 1);
  for (std::size_t n = 1; n < text.size(); ++n) EXPECT_TRUE(incomplete_after(text, n, true)) << n;
  EXPECT_FALSE(incomplete_after(text, text.size(), true));
}

}  // namespace
}  // namespace shorelead::node
