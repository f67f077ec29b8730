// Responses that begin and are not finished: each request ends all the same, and its client can tell. The
// other side: responses that are long are not cut off. The backend's part is played by the test.
#include "unfinished_responses.h"

#include <gtest/gtest.h>

namespace shorelead::node {
namespace {

// Guards against requests that nobody answers once their response has begun.
TEST(UnfinishedResponses, ARequestEndsWhereverItsResponseStops) {
  ServedByMany served(kBackends);
  auto all = begin_each(served, kUnfinished);
  for (Begun& one : all) one.backend.write(one.response.sent);
  expect_all_end(all);
}

TEST(UnfinishedResponses, ARequestEndsIfItsResponseBeginsLateAndStops) {
  ServedByMany served(kBackends);
  auto all = begin_each(served, {kUnfinished[2], kUnfinished[5], kUnfinished[9]}, "X-Timeout-Ms: 600\r\n");
  let_pass(served.node, served.backend, 450);
  // The time of some may be over.
  for (Begun& one : all)
    ::send(one.backend.fd(), one.response.sent.data(), one.response.sent.size(), MSG_NOSIGNAL);
  expect_all_end(all);
}

// The same if bytes go on coming, as long as they do not make a long response.
TEST(UnfinishedResponses, ARequestEndsWhereverItsResponseTrickles) {
  ServedByMany served(kBackends);
  auto all = begin_each(served, kUnfinished);
  Trickles trickles;
  for (Begun& one : all) {
    one.backend.write(one.response.sent);
    if (!one.response.trickle.empty()) trickles.add(one.backend, one.response.trickle);
  }
  trickles.start();
  expect_all_end(all);
}

// A body that ends with its connection would pass for whole if the connection were closed.
TEST(UnfinishedResponses, AClientWithoutChunksSeesAReset) {
  Served served;
  auto& [backend, node, client] = served;
  client.write("GET /safe HTTP/1.0\r\nHost: a\r\n" + id_field() + kTimeToBegin + "\r\n");
  Line there = backend.accept();
  there.request();
  there.write(kChunked + "4\r\nmade\r\n");
  EXPECT_EQ(error_at_end(client), ECONNRESET);
}

// A request that was read behind one whose response stops is answered: the response has not begun to be
// forwarded, as its end is not known.
TEST(UnfinishedResponses, RequestsBehindOneAreAnswered) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(post("/unsafe/1", "x", kWait) + get("/safe/2"));
  Line there = backend.accept();
  there.request();
  there.write(kChunked + "4\r\nmade\r\n");
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 504");
  Line next = backend.accept();
  EXPECT_TRUE(holds(next.request(), "/safe/2"));
  next.write(kOk);
  EXPECT_TRUE(client.answer().ends_with("body"));
}

// One that comes while a response is forwarded is not read before that is whole, so none is read and left.
TEST(UnfinishedResponses, ARequestIsNotReadBehindAResponseThatMayBeCutShort) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(get("/safe/1", kTimeToBegin));
  Line there = backend.accept();
  there.request();
  there.write(kChunked + "4\r\nmade\r\n");
  EXPECT_EQ(status_of(client.some()), "HTTP/1.1 200");
  client.write(get("/safe/2"));
  client.rest();
  Line other = node.client();
  other.write(get("/safe/3"));
  Line next = backend.accept();
  EXPECT_TRUE(holds(next.request(), "/safe/3"));
  next.write(kOk);
  EXPECT_TRUE(other.answer().ends_with("body"));
  EXPECT_EQ(counts_after_turn(node).taken(), 2U);
  EXPECT_EQ(counts_after_turn(node).bad_gateway, 1U);
}

// The other side: a request behind a response that does become whole is read then.
TEST(UnfinishedResponses, ARequestBehindAWholeResponseIsServed) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(get("/safe/1", kTimeToBegin));
  Line there = backend.accept();
  there.request();
  there.write(kChunked + "4\r\nmade\r\n");
  EXPECT_EQ(status_of(client.some()), "HTTP/1.1 200");
  client.write(get("/safe/2"));
  client.await_taken();
  there.write("0\r\n\r\n");
  EXPECT_TRUE(holds(there.request(), "/safe/2"));
  there.write(kOk);
  std::string got = client.some();
  while (!got.ends_with("body")) {
    const std::string part = client.some();
    ASSERT_FALSE(part.empty());
    got += part;
  }
  EXPECT_TRUE(holds(got, "0\r\n\r\nHTTP/1.1 200"));
}

// The other side: a long response comes whole, however long after the deadline it goes on.
TEST(UnfinishedResponses, ALongResponseIsNotCutOffAfterTheDeadline) {
  constexpr std::size_t kFirst = 70000;
  constexpr std::size_t kRest = 30000;
  const std::string size = "186A0\r\n";
  for (const std::string& head : {kChunked + size, kToTheClose, kOldToTheClose, kLongLength}) {
    Served served;
    auto& [backend, node, client] = served;
    client.write(get("/safe", "X-Timeout-Ms: 500\r\n"));
    Line there = backend.accept();
    there.request();
    there.write(head + std::string(kFirst, 'a'));
    std::string got = client.some();
    let_pass(node, backend, 1000);
    there.write(std::string(kRest, 'b') + (head == kChunked + size ? "\r\n0\r\n\r\n" : ""));
    if (head != kChunked + size && head != kLongLength) there.close();
    Parser parser(Parser::Kind::kResponse, 1U << 20);
    while (parser.advance(got) != Parser::State::kDone) {
      const std::string part = client.some();
      ASSERT_FALSE(part.empty()) << head;
      got += part;
    }
    EXPECT_TRUE(parser.body(got) == std::string(kFirst, 'a') + std::string(kRest, 'b')) << head;
    EXPECT_EQ(counts_after_turn(node).passed, 1U);
  }
}

// Guards against a response whose request is still being uploaded: its time counts from its first byte.
TEST(UnfinishedResponses, ARequestEndsIfItsResponseBeginsBeforeItsBodyHasCome) {
  Served served;
  auto& [backend, node, client] = served;
  client.write("POST /unsafe HTTP/1.1\r\nHost: a\r\n" + id_field() + kWait +
               "Content-Length: 200000\r\n\r\n" + std::string(70000, 'x'));
  Line there = backend.accept();
  EXPECT_TRUE(holds(there.some(), "/unsafe"));
  there.write(kLongLength + "made");
  EXPECT_TRUE(shows_no_success(client.rest()));
}

// A client that reads late gets what was sent, and then the end.
TEST(UnfinishedResponses, ARequestEndsIfItsClientReadsLate) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(get("/safe", kWait));
  Line there = backend.accept();
  there.request();
  const std::string body(70000, 'a');
  there.write(kChunked + "186A0\r\n" + body);
  let_pass(node, backend, 3500);  // over the longest pause
  const std::string got = client.rest();
  EXPECT_TRUE(holds(got, body));
  EXPECT_TRUE(shows_no_success(got));
}

// Many at once hold their descriptors and memory only for as long as their requests take.
TEST(UnfinishedResponses, ManyAtOnceLeaveNothingBehind) {
  ServedByMany served(3 * kMany);
  const std::vector<Unfinished> many(kMany, kUnfinished[2]);
  auto all = begin_each(served, many, kTimeToBeginMany);
  EXPECT_GE(Stream::open_count(), 2 * static_cast<int>(all.size()));
  for (Begun& one : all) one.backend.write(one.response.sent);
  expect_all_end(all);
  // Each response had begun: a connection is kept behind an error response.
  EXPECT_EQ(counts_after_turn(served.node).bad_gateway, all.size());
  await([] { return Stream::open_count() <= kDiscoveryStreams; });
  Line client = served.node.client();
  client.write(get("/safe"));
  Line there = served.backend.accept();
  there.request();
  there.write(kOk);
  EXPECT_TRUE(client.answer().ends_with("body"));
}

}  // namespace
}  // namespace shorelead::node
