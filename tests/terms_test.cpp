// The terms of the operators' standing test that concern lists and ends (docs/standing-terms.md), each with
// the order of events that breaks it, against peers that the test scripts.
#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <map>

#include "base/random.h"
#include "node/discovery.h"
#include "node/list_stream.h"
#include "node/watch_backoff.h"
#include "node_case.h"
#include "peer.h"

namespace shorelead::node {
namespace {

const std::string kIndented =
    "{\n  \"seq\": 6,\n  \"whole\": true,\n  \"hosts\": [\n    {\n      \"host\": \"s-1}\\\"\",\n"
    "      \"dial\": \"127.0.0.9:81\",\n      \"health\": \"ready\"\n    }\n  ]\n}\n";
const std::string kOneLine = "{\"seq\":7,\"whole\":false,\"hosts\":[]}\n";

// Lists may be indented; a truncated one must not swallow what follows it.
TEST(ListStream, ListsAreReturnedWholeAtEverySplit) {
  struct Case {
    std::string come;
    std::vector<std::string> texts;
  };
  const Case cases[] = {
      {"\n" + kIndented + "\n\r\n" + kOneLine, {kIndented, kOneLine}},
      {"  " + kOneLine + kOneLine + "{\"seq\":8", {"  " + kOneLine, kOneLine}},
      {"{\n  \"seq\": 6,\n\n" + kOneLine, {"{\n  \"seq\": 6,\n\n", kOneLine}},  // a keep-alive inside
      {"{\"seq\n" + kOneLine, {"{\"seq\n", kOneLine}},
      {"{\"seq\\\n" + kOneLine, {"{\"seq\\\n", kOneLine}},
      {"}7\n[\n{}\n]\n" + kOneLine, {"}7\n", "[\n{}\n]\n", kOneLine}},
  };
  for (const Case& one : cases) {
    for (std::size_t split = 0; split <= one.come.size(); ++split) {
      ListStream stream;
      std::vector<std::string> texts;
      for (const std::string& part : {one.come.substr(0, split), one.come.substr(split)}) {
        stream.put(part);
        while (const auto text = stream.next()) texts.push_back(*text);
      }
      ASSERT_EQ(texts, one.texts) << one.come << " at " << split;
    }
  }
}

std::string chunk(const std::string& text) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

// A Discovery that records what it reports; each report ends a run.
struct Watched {
  Line answered(const std::string& lines) {
    discovery.watch();
    Line there = peer.accept();
    once_readable(loop, there, [&there, lines] {
      there.request();
      there.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(lines));
    });
    loop.run();
    return there;
  }

  Loop loop;
  Peer peer;
  std::vector<List> lists;
  Ending ending = Ending::kNotSent;
  Discovery discovery{loop,
                      Poco::Net::SocketAddress("127.0.0.1", peer.port()),
                      5,
                      {[this](const List& list) {
                         lists.push_back(list);
                         loop.stop();
                       },
                       [this](Ending how) {
                         ending = how;
                         loop.stop();
                       }},
                      {20000, 20000, 20000}};
};

TEST(Terms, IndentedListIsApplied) {
  Watched w;
  const Line there = w.answered("\n" + kIndented);
  ASSERT_EQ(w.lists.size(), 1U) << name_of(w.ending);
  EXPECT_EQ(w.lists[0].version, 6U);
  ASSERT_EQ(w.lists[0].backends.size(), 1U);
  EXPECT_EQ(w.lists[0].backends[0].host, "s-1}\"");
  EXPECT_TRUE(w.discovery.watching());
}

// The watch must not wait for ever for the rest of a list.
TEST(Terms, TruncatedListEndsTheWatch) {
  Watched w;
  const Line there = w.answered("{\n  \"seq\": 6,\n\n");
  EXPECT_EQ(w.ending, Ending::kMalformed);
  EXPECT_EQ(w.discovery.version(), 5U);
}

std::string ask_ready(Line& probe) {
  probe.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  return status_of(probe.answer());
}

// Pushed lists bind from a process's start, so it must not serve by the list of the process before it. Where
// lists are requested, that list may be used for a while.
TEST(Terms, NodeWaitsForAPushedListBeforeAcceptingClients) {
  for (const bool pushed : {false, true}) {
    Peer backend;
    Node node;
    node.know("s-1", backend);
    node.config.settings.list_on_request = !pushed;
    node.timeouts.list = 0;
    node.start();
    Line probe = node.client();
    EXPECT_EQ(ask_ready(probe), pushed ? "HTTP/1.1 503" : "HTTP/1.1 200");
    if (!pushed) continue;
    Line watch = node.discovery.accept();
    EXPECT_FALSE(watch.request().empty());
    // Nor after the start of the response; each probe takes a turn of the node's loop, which has read it by
    // then.
    const std::string answer = first_line("{\"seq\":7,\"whole\":true,\"hosts\":[]}\n");
    watch.write(answer.substr(0, answer.size() - 5));
    for (int turn = 0; turn < 50; ++turn) ASSERT_EQ(ask_ready(probe), "HTTP/1.1 503") << turn;
    watch.write(answer.substr(answer.size() - 5));
    while (ask_ready(probe) == "HTTP/1.1 503") continue;
  }
}

// Some watches of 300 nodes fall silent at once, and discovery serves 46 calls a second, each within 2 s or
// not at all. Each node detects the silence 3 s after its last data, which was up to 2 s before. The policy
// repeats a failed call after 5 s, give or take half, then after twice that.
struct Silence {
  double told_in_time = 0;  // share of these nodes that have their list 6 s after the watches fell silent
  Millis late = 0;          // mean delay of the others beyond that
};

Silence fall_silent(int silent, bool to_module, Ending how = Ending::kSilent) {
  constexpr int kNodes = 300;
  constexpr Millis kCall = 6500.0 / kNodes;
  Random random(5);
  std::multimap<Millis, Millis> calls;  // time of the call, and the policy's delay if it fails
  const auto module = [&random](Millis wait) { return wait * (0.5 + random.unit()); };
  for (int node = 0; node < silent; ++node) {
    WatchBackoff backoff;
    backoff.list_received();
    const Millis noticed =
        how == Ending::kSilent ? 3000 - 2000 * random.unit() : Discovery::Timeouts().response;
    const auto wait = backoff.delay_after(how, true, kNodes, random.unit());
    calls.emplace(noticed + (to_module ? module(5000) : wait.value()), to_module ? 10000 : 5000);
  }
  Silence found;
  Millis free = 0;
  for (auto call = calls.begin(); call != calls.end(); call = calls.erase(call)) {
    const auto [at, wait] = *call;
    free = std::max(free, at) + kCall;
    if (free > at + 2000) {
      calls.emplace(at + 2000 + module(wait), 10000);
      continue;
    }
    found.told_in_time += (free <= 6000) / static_cast<double>(silent);
    found.late += std::max(0.0, free - 6000) / silent;
  }
  return found;
}

// Changes missed by a silent watch bind 6 s after it fell silent, although discovery may be healthy.
TEST(Terms, SilentWatchIsReopenedBeforeMissedChangesBind) {
  // If a tenth fall silent, all have their list in time with the back-off, few with the policy's delay. If
  // all do, no spreading suffices.
  EXPECT_LT(fall_silent(30, true).told_in_time, 0.6);
  EXPECT_EQ(fall_silent(30, false).late, 0);
  EXPECT_EQ(fall_silent(30, false, Ending::kTimeout).late, 0) << "nor where calls get no word at all";
  EXPECT_GT(fall_silent(300, false).told_in_time, 1.5 * fall_silent(300, true).told_in_time);
  // A small fleet, or a single node, need not spread its calls.
  for (const double random : {0.0, 0.99}) {
    WatchBackoff backoff;
    EXPECT_LE(backoff.delay_after(Ending::kSilent, true, 3, random).value_or(1e9), 150);
    // Silent again with no list between: broken as before, and so is a call that did not connect.
    EXPECT_LE(backoff.delay_after(Ending::kSilent, true, 3, random).value_or(1e9), 150);
    EXPECT_LE(backoff.delay_after(Ending::kTimeout, true, 3, random).value_or(1e9), 150);
    EXPECT_LE(backoff.delay_after(Ending::kConnectTimeout, true, 3, random).value_or(1e9), 450);
    EXPECT_LE(backoff.delay_after(Ending::kConnectTimeout, true, 300, random).value_or(1e9), 3000);
    backoff.list_received();
    EXPECT_FALSE(backoff.delay_after(Ending::kRejected, true, 3, random)) << "a call that failed";
    EXPECT_LE(backoff.delay_after(Ending::kRejected, false, 300, random).value_or(1e9), 300) << "pushed";
  }
}

// Accepted requests are answered before the process ends, even if their time is not up by then: a request
// that arrived last, or of a class that no longer exists.
TEST(Terms, RequestsInProgressAtShutdownAreAnswered) {
  Peer backend;
  Node node;
  node.know("s-1", backend);
  for (RequestClass& one : node.config.settings.classes) one.deadline = 50;
  node.timeouts.accept_on = 0;
  node.start();
  Line client = node.client();
  client.write(post("/unsafe", "x", "X-Timeout-Ms: 20000\r\n"));
  Line there = backend.accept();
  there.request();
  ::kill(::getpid(), SIGTERM);
  const std::string answer = client.answer();
  EXPECT_EQ(status_of(answer), "HTTP/1.1 504");
  EXPECT_TRUE(holds(answer, "Connection: close\r\n"));
  EXPECT_EQ(there.rest(), "") << "and its attempt is given up";
  node.thread.join();
}

// A backend's duplicate response, some milliseconds after the first, is not passed to the next request.
TEST(Terms, DuplicateResponseIsNotPassedToTheNextRequest) {
  Peer backend;
  Node node;
  node.know("s-1", backend);
  node.config.host.settle = 1e9;
  node.start();
  Line client = node.client();
  std::vector<Line> lines;
  const auto served = [&](Line& there) {
    EXPECT_FALSE(there.request().empty());
    there.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnews");
    EXPECT_TRUE(client.answer().ends_with("news"));
  };
  client.write(get("/safe"));
  served(lines.emplace_back(backend.accept()));
  client.write(get("/safe"));
  lines.front().write(kOk);
  served(lines.emplace_back(backend.accept()));
  EXPECT_EQ(lines.front().rest(), "") << "never to be used again";
  // But connections do not grow with the requests of a moment.
  for (int more = 0; more < 7; ++more) {
    client.write(get("/safe"));
    served(lines.emplace_back(backend.accept()));
  }
  client.write(get("/safe"));
  served(lines[1]);
}

}  // namespace
}  // namespace shorelead::node
