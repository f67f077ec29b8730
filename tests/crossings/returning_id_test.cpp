// A request whose client left while it ran, and that comes again under its id: what may have run is not run
// again.
#include <gtest/gtest.h>

#include "node_case.h"

namespace shorelead::node {
namespace {

constexpr int kManyIds = 300;

std::string unsafe_request(const std::string& id) {
  return "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Request-ID: " + id + "\r\nContent-Length: 1\r\n\r\nx";
}

std::string keyed_request(const std::string& id) {
  return "POST /keyed HTTP/1.1\r\nHost: a\r\nX-Request-ID: " + id +
         "\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx";
}

// Returns what a client gets that sends this request again.
std::string answer_again(const Node& node, const std::string& request) {
  Line again = node.client();
  again.write(request);
  return status_of(again.answer());
}

TEST(ReturningId, IsNotRunAgainWhereItsClientLeftWhileItRan) {
  for (const bool reset : {false, true}) {
    for (const auto& request : {unsafe_request("a1"), keyed_request("a1")}) {
      Served served;
      auto& [backend, node, client] = served;
      client.write(request);
      Line there = backend.accept();
      EXPECT_FALSE(there.request().empty());
      reset ? client.reset() : client.close();
      EXPECT_EQ(there.rest(), "");  // the attempt is given up
      EXPECT_EQ(answer_again(node, request), "HTTP/1.1 409");
    }
  }
}

TEST(ReturningId, IsNotRunAgainAfterItWasServed) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(unsafe_request("a1"));
  Line there = backend.accept();
  EXPECT_FALSE(there.request().empty());
  there.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  EXPECT_EQ(answer_again(node, unsafe_request("a1")), "HTTP/1.1 409");
}

// What has not run may come again: one that was refused, and one whose client left before it was sent.
TEST(ReturningId, IsServedWhereNothingOfItRan) {
  Peer backend;
  Node node;
  node.start();  // with no backend
  Line client = node.client();
  client.write(unsafe_request("a1"));
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 503");
  EXPECT_EQ(answer_again(node, unsafe_request("a1")), "HTTP/1.1 503");
}

TEST(ReturningId, OfASafeRequestIsServedAgain) {
  Served served;
  auto& [backend, node, client] = served;
  client.write("GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: a1\r\n\r\n");
  Line there = backend.accept();
  EXPECT_FALSE(there.request().empty());
  there.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  Line again = node.client();
  again.write("GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: a1\r\n\r\n");
  EXPECT_FALSE(there.request().empty());
  there.write(kOk);
  EXPECT_EQ(status_of(again.answer()), "HTTP/1.1 200");
}

// Other clients' requests in between do not make the node forget.
TEST(ReturningId, IsKnownBehindManyOthers) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(unsafe_request("first"));
  Line there = backend.accept();
  EXPECT_FALSE(there.request().empty());
  client.close();
  EXPECT_EQ(there.rest(), "");
  Line other = node.client();
  Line at_backend = [&] {
    other.write(unsafe_request("other"));
    return backend.accept();
  }();
  for (int n = 0; n < kManyIds; ++n) {
    if (n > 0) other.write(unsafe_request("other" + std::to_string(n)));
    EXPECT_FALSE(at_backend.request().empty());
    at_backend.write(kOk);
    EXPECT_EQ(status_of(other.answer()), "HTTP/1.1 200");
  }
  EXPECT_EQ(answer_again(node, unsafe_request("first")), "HTTP/1.1 409");
}

}  // namespace
}  // namespace shorelead::node
