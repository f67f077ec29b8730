// Responses that begin and are not finished while their process is reloaded or ends. The backend's part is
// played by the test.
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>

#include "unfinished_responses.h"

namespace shorelead::node {
namespace {

// A reload neither keeps one open nor ends it at once.
TEST(UnfinishedResponses, ARequestEndsBehindAReload) {
  Peer backend;
  Node node;
  node.know("s-1", backend);
  node.read_again = [config = node.config] { return config; };
  node.start();
  Line client = node.client();
  client.write(get("/safe", kTimeToBegin));
  Line there = backend.accept();
  there.request();
  there.write(kChunked + "4\r\nmade\r\n");
  EXPECT_EQ(status_of(client.some()), "HTTP/1.1 200");
  ::kill(::getpid(), SIGHUP);
  let_pass(node, backend, 100);
  there.write("4\r\nmore\r\n");
  const std::string rest = client.rest();
  EXPECT_TRUE(holds(rest, "more"));
  EXPECT_TRUE(shows_no_success("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + rest));
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
  client.write(get("/safe", kTimeToBegin));
  Line there = backend.accept();
  there.request();
  there.write(kChunked + "4\r\nmade\r\n");
  EXPECT_EQ(status_of(client.some()), "HTTP/1.1 200");
  ::kill(::getpid(), SIGTERM);
  client.rest();
  await([&] { return ended.load(); });
}

// Guards against a process that ends in the middle of a response without chunks or length: a plain end of the
// connection would pass for the end of the response.
TEST(UnfinishedResponses, AProcessThatEndsShowsThatAResponseIsCutShort) {
  Peer backend;
  Node node;
  node.know("s-1", backend);
  for (RequestClass& one : node.config.settings.classes) one.deadline = 1000;
  node.start();
  Line client = node.client();
  client.write("GET /safe HTTP/1.0\r\nHost: a\r\n" + id_field() + "\r\n");
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
