// A response of discovery's that has begun, but of which no list can be read: the process has been told what
// it does not know, and sends nothing by the list before it. The node runs as a process of its own.
#include <gtest/gtest.h>

#include "crossings/answering_peer.h"
#include "crossings/backends.h"
#include "crossings/node_process.h"

namespace shorelead::node {
namespace {

constexpr double kGrace = 250 + 50;  // of the settings below, plus delays of the sockets
constexpr int kRequests = 20;

const std::string kSettings =
    R"({"Instances":1,"Me":0,"RegistryMode":"subscribe",)"
    R"("Services":[{"Name":"safe","Aim":400,"GiveUp":1000,"Effect":"pure"}],)"
    R"("Allowed":{"Probing":true,"Cancel":true,"MostTries":3,"ConnIdle":60000,"ConnectTimeout":200},)"
    R"("Costs":{"Probe":0.002},)"
    R"("Invariants":{"ColdShare":0.3,"WarmUp":9000,"FallMultiple":3,"Fall":1000,"AskEvery":10000,)"
    R"("StopSendingWithin":250}})";

std::string chunk(const std::string& text) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

const std::string kHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kWithoutBackends = "{\"seq\":9,\"whole\":true,\"hosts\":[]}\n";

// A node with one backend, by the list of a watch that is open.
class NodeWithAList {
 public:
  NodeWithAList() {
    client_.emplace(node_.client());
    watch_.emplace(discovery_.accept());
    watch_->request();
    watch_->write(kHead + chunk(R"({"seq":8,"whole":true,"hosts":[)" + entry() + "]}\n"));
    while (ask() != "HTTP/1.1 200") continue;
  }

  Line& watch() { return *watch_; }
  // Ends the watch and returns the node's next call.
  Line& next_call() {
    watch_->write("0\r\n\r\n");
    // The node first checks by a connection without a request whether discovery can be reached.
    do watch_.emplace(discovery_.accept());
    while (watch_->request().empty());
    EXPECT_EQ(ask(), "HTTP/1.1 200") << "a call that nobody has answered binds nobody";
    return *watch_;
  }

  // The node has just been told something that it cannot read.
  void expect_nothing_sent_after_the_grace() {
    const double bound = steady_ms() + kGrace;
    while (steady_ms() < bound) ask();
    const std::size_t before = backend_.count("/safe");
    for (int n = 0; n < kRequests; ++n) EXPECT_EQ(ask(), "HTTP/1.1 503") << n;
    EXPECT_EQ(backend_.count("/safe"), before);
  }

 private:
  std::string entry() const {
    return R"({"host":"s-1","dial":")" + backend_.dial() + R"(","health":"ready"})";
  }
  std::string ask() {
    client_->write(get("/safe", "X-Timeout-Ms: 1000\r\n"));
    return status_of(client_->answer());
  }
  std::string configuration() const {
    return R"({"name":"n0","listen":"127.0.0.1:1","discovery":")" + discovery_.dial() +
           R"(","seed":"1f","limits":{"sockets":256},"known":{"seq":1,"whole":true,"hosts":[)" + entry() +
           R"(]},"settings":)" + kSettings + "}";
  }

  const std::atomic<bool> fails_checks_{false};
  AnsweringPeer backend_{backend_that(fails_checks_)};
  Peer discovery_;
  const NodeProcess node_{256, [text = configuration()](Config& config) {
                            config = parse_config(text, {});
                            config.listen = Poco::Net::SocketAddress("127.0.0.1", 0);
                          }};
  std::optional<Line> client_;
  std::optional<Line> watch_;
};

enum class Then { kSilence, kEnd, kReset };

void expect_bound_by(const std::string& first_bytes, Then then) {
  NodeWithAList node;
  Line& call = node.next_call();
  call.write(first_bytes);
  if (then != Then::kSilence) call.await_taken();
  if (then == Then::kEnd) call.close();
  if (then == Then::kReset) call.reset();
  node.expect_nothing_sent_after_the_grace();
}

TEST(BegunResponse, NothingIsSentByTheOldListOnceTheHeadOfAnAnswerHasBegun) {
  for (const Then then : {Then::kSilence, Then::kEnd, Then::kReset}) {
    expect_bound_by(kHead.substr(0, kHead.size() / 2), then);
    expect_bound_by(kHead, then);
  }
}

TEST(BegunResponse, NothingIsSentByTheOldListOnceTheFramingOfAListHasBegun) {
  const std::string size = chunk(kWithoutBackends).substr(0, 4);  // "22", CR LF
  expect_bound_by(kHead + size, Then::kSilence);
  for (const std::size_t bytes : {std::size_t{1}, size.size()}) {
    NodeWithAList node;
    node.watch().write(size.substr(0, bytes));
    node.expect_nothing_sent_after_the_grace();
  }
}

TEST(BegunResponse, NothingIsSentByTheOldListOnceAListWasRejected) {
  const std::string rejected[] = {R"({"seq":9,"whole":true,"hosts":[{"host":5}]})",
                                  R"({"seq":3,"whole":false,"hosts":[]})", "no list"};
  for (const std::string& list : rejected) {
    NodeWithAList node;
    node.watch().write(chunk(list + "\n"));
    node.expect_nothing_sent_after_the_grace();
  }
}

// Discovery may still answer a call that the node has left, and that answer is written to nobody.
TEST(BegunResponse, NothingIsSentByTheOldListOnceACallWasGivenUp) {
  NodeWithAList node;
  EXPECT_EQ(node.next_call().rest(), "") << "closed by the node";
  node.expect_nothing_sent_after_the_grace();
}

}  // namespace
}  // namespace shorelead::node
