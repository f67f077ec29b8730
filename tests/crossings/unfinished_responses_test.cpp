// Responses that begin and are not finished: each request ends all the same, and its client can tell. The
// other side: responses that are long are not cut off. The backend's part is played by the test.
#include "unfinished_responses.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <thread>

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
  client.write("GET /safe HTTP/1.0\r\nHost: a\r\n" + id_field() + kWait + "\r\n");
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
  client.write(get("/safe/1", kWait));
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
  EXPECT_EQ(node.server->request_counters().all().taken(), 2U);
  EXPECT_EQ(node.server->request_counters().all().bad_gateway, 1U);
}

// The other side: a request behind a response that does become whole is read then.
TEST(UnfinishedResponses, ARequestBehindAWholeResponseIsServed) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(get("/safe/1", kWait));
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
    client.write(get("/safe", kWait));
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
    EXPECT_EQ(node.server->request_counters().all().passed, 1U);
  }
}

// Many at once hold their descriptors and memory only for as long as their requests take.
TEST(UnfinishedResponses, ManyAtOnceLeaveNothingBehind) {
  ServedByMany served(3 * kMany);
  const std::vector<Unfinished> many(kMany, kUnfinished[2]);
  auto all = begin_each(served, many);
  const int open = Stream::open_count();
  for (Begun& one : all) one.backend.write(one.response.sent);
  expect_all_end(all);
  while (Stream::open_count() > open - 2 * static_cast<int>(all.size())) std::this_thread::yield();
  Line client = served.node.client();
  client.write(get("/safe"));
  Line there = served.backend.accept();
  there.request();
  there.write(kOk);
  EXPECT_TRUE(client.answer().ends_with("body"));
}

// A process that is told to end does so, as a response that does not end holds it up no longer than its
// request.
TEST(UnfinishedResponses, AProcessEndsBehindOne) {
  Peer backend;
  Node node;
  node.know("s-1", backend);
  std::atomic<bool> ended = false;
  node.run_loop = [&] {
    node.loop->run();
    ended = true;
  };
  node.start();
  Line client = node.client();
  client.write(get("/safe", kWait));
  Line there = backend.accept();
  there.request();
  there.write(kChunked + "4\r\nmade\r\n");
  EXPECT_EQ(status_of(client.some()), "HTTP/1.1 200");
  ::kill(::getpid(), SIGTERM);
  client.rest();
  while (!ended) std::this_thread::yield();
}

// Guards against a process that ends in the middle of a response without chunks or length: a plain end of the
// connection would pass for the end of the response.
TEST(UnfinishedResponses, AProcessThatEndsShowsThatAResponseIsCutShort) {
  Peer backend;
  Node node;
  node.know("s-1", backend);
  for (RequestClass& one : node.config.settings.classes) one.deadline = 300;
  node.start();
  Line client = node.client();
  client.write("GET /safe HTTP/1.0\r\nHost: a\r\n" + id_field() + kWait + "\r\n");
  Line there = backend.accept();
  there.request();
  Trickles trickles;  // a long response, which is not cut off before the process ends
  there.write(kChunked + "FFFFFF\r\n" + std::string(70000, 'a'));
  trickles.add(there, "a");
  trickles.start();
  EXPECT_EQ(status_of(client.some()), "HTTP/1.1 200");
  ::kill(::getpid(), SIGTERM);
  EXPECT_EQ(error_at_end(client), ECONNRESET);
}

}  // namespace
}  // namespace shorelead::node
