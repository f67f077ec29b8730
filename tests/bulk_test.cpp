// Large bodies in both directions: streamed within bounds, and either complete or visibly truncated.
#include <gtest/gtest.h>

#include <future>
#include <string>
#include <thread>

#include "node_case.h"

namespace shorelead::node {
namespace {

constexpr std::size_t kLarge = 32U << 20;

std::string pattern(std::size_t size) {
  std::string text(size, ' ');
  for (std::size_t n = 0; n < size; ++n) text[n] = static_cast<char>('a' + (n * 7 + n / 251) % 26);
  return text;
}

std::string large_post(const std::string& fields) {
  return "POST /unsafe HTTP/1.1\r\nHost: a\r\n" + id_field() + fields + "\r\n";
}

// Reads `size` bytes, or what comes before the end of the connection.
std::string read_bytes(Line& line, std::size_t size) {
  std::string text;
  while (text.size() < size) {
    const std::string part = line.some();
    if (part.empty()) break;
    text += part;
  }
  return text;
}

TEST(Bulk, ALargeResponseIsForwardedWhileItIsReceived) {
  Served served;
  auto& [backend, node, client] = served;
  const std::string body = pattern(kLarge);
  client.write(get("/safe"));
  Line at_backend = backend.accept();
  at_backend.request();
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLarge) + "\r\n\r\n";
  at_backend.write(head + body.substr(0, 100000));
  std::string got = client.some();  // before the rest is sent
  EXPECT_EQ(status_of(got), "HTTP/1.1 200");
  std::thread rest([&] { at_backend.write(body.substr(100000)); });
  const std::size_t at = got.find("\r\n\r\n");
  ASSERT_NE(at, std::string::npos);
  EXPECT_TRUE(holds(got, "Content-Length: " + std::to_string(kLarge)));
  got = got.substr(at + 4) + read_bytes(client, at + 4 + kLarge - got.size());
  rest.join();
  EXPECT_TRUE(got == body);
  // Both connections are reused.
  client.write(get("/safe"));
  EXPECT_FALSE(at_backend.request().empty());
  at_backend.write(kOk);
  EXPECT_TRUE(client.answer().ends_with("body"));
  EXPECT_EQ(counts_after_turn(node).passed, 2U);
}

TEST(Bulk, AChunkedResponseIsForwardedInChunks) {
  Served served;
  auto& [backend, node, client] = served;
  const std::string body = pattern(300000);
  client.write(get("/safe"));
  Line at_backend = backend.accept();
  at_backend.request();
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < body.size(); at += 7777) {
    const std::string part = body.substr(at, 7777);
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx;x=y\r\n", part.size());
    text += size.data() + part + "\r\n";
  }
  std::thread writes([&] { at_backend.write(text + "0\r\nTrailer: t\r\n\r\n"); });
  Parser parser(Parser::Kind::kResponse, 1U << 20);
  std::string got;
  while (parser.advance(got) != Parser::State::kDone) {
    const std::string part = client.some();
    ASSERT_FALSE(part.empty() || parser.advance(got) == Parser::State::kBad);
    got += part;
  }
  writes.join();
  EXPECT_TRUE(parser.body(got) == body);
}

// The first bytes of a response of unknown length must not wait until it exceeds what is buffered whole.
TEST(Bulk, AResponseOfUnknownLengthIsForwardedBeforeTheAttemptTimesOut) {
  Peer backend;
  Node node;
  node.know("s-1", backend);
  node.config.settings.classes[0].aim = 300;
  node.start();
  Line client = node.client();
  client.write(get("/safe"));
  Line at_backend = backend.accept();
  at_backend.request();
  at_backend.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
  std::string got = client.some();  // the backend sends no more until this has arrived
  EXPECT_EQ(status_of(got), "HTTP/1.1 200");
  at_backend.write("0\r\n\r\n");
  while (!got.ends_with("0\r\n\r\n")) {
    const std::string part = client.some();
    ASSERT_FALSE(part.empty());
    got += part;
  }
  EXPECT_TRUE(holds(got, "2\r\nok\r\n"));
}

TEST(Bulk, ABrokenResponseIsVisiblyTruncatedForTheClient) {
  for (const std::string framing : {"Content-Length: 1000000\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    Served served;
    auto& [backend, node, client] = served;
    client.write(get("/safe"));
    Line at_backend = backend.accept();
    at_backend.request();
    const std::string chunk = holds(framing, "chunked") ? "186A0\r\n" : "";
    at_backend.write("HTTP/1.1 200 OK\r\n" + framing + "\r\n" + chunk + pattern(100000));
    EXPECT_EQ(status_of(client.some()), "HTTP/1.1 200");
    at_backend.reset();
    const std::string rest = client.rest();
    EXPECT_FALSE(rest.ends_with("0\r\n\r\n")) << framing;
    while (counts_after_turn(node).in_progress > 0) std::this_thread::yield();
    EXPECT_EQ(counts_after_turn(node).bad_gateway, 1U);
  }
}

TEST(Bulk, ALargeBodyIsForwardedWhileItIsReceivedAndCountedWhenComplete) {
  for (const bool chunked : {false, true}) {
    Served served;
    auto& [backend, node, client] = served;
    const std::string body = pattern(kLarge);
    client.write(large_post(chunked ? std::string("Transfer-Encoding: chunked\r\n")
                                    : "Content-Length: " + std::to_string(kLarge) + "\r\n"));
    const auto put = [&client = client, chunked](const std::string& part) {
      std::array<char, 32> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
      client.write(chunked ? size.data() + part + "\r\n" : part);
    };
    put(body.substr(0, 200000));
    Line at_backend = backend.accept();  // before the rest is sent
    EXPECT_EQ(counts_after_turn(node).taken(), 0U);
    std::thread writes([&] {
      put(body.substr(200000));
      if (chunked) client.write("0\r\n\r\n");
    });
    Parser parser(Parser::Kind::kRequest, 2 * kLarge);
    std::string got;
    while (parser.advance(got) != Parser::State::kDone) {
      const std::string part = at_backend.some();
      ASSERT_FALSE(part.empty() || parser.advance(got) == Parser::State::kBad) << parser.cause();
      got += part;
    }
    writes.join();
    EXPECT_TRUE(parser.body(got) == body);
    at_backend.write(kOk);
    EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
    client.write(get("/safe"));
    EXPECT_FALSE(at_backend.request().empty());
    at_backend.write(kOk);
    EXPECT_TRUE(client.answer().ends_with("body"));
  }
}

// A client leaves, or sends a malformed chunk, in the middle of its body: the backend's copy stays
// incomplete, and the node keeps nothing of it.
TEST(Bulk, AnIncompleteBodyNeverRuns) {
  Served served;
  auto& [backend, node, client] = served;
  for (int n = 0; n < 20; ++n) {
    Line leaving = node.client();
    leaving.write(large_post("Transfer-Encoding: chunked\r\n") + "30D40\r\n" + pattern(200000) + "\r\n");
    Line at_backend = backend.accept();
    if (n % 2 == 0) {
      leaving.close();
    } else {
      leaving.write("no size\r\n");
      EXPECT_EQ(status_of(leaving.answer()), "HTTP/1.1 400");
    }
    EXPECT_FALSE(at_backend.rest().ends_with("0\r\n\r\n"));
  }
  client.write(get("/safe"));
  Line at_backend = backend.accept();
  EXPECT_FALSE(at_backend.request().empty());
  at_backend.write(kOk);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
  EXPECT_EQ(counts_after_turn(node).taken(), 1U);
}

// A body that was partly sent to a backend cannot be sent to another one: the client is refused while it
// still sends, and gets the response.
TEST(Bulk, APartlySentBodyIsNotRetried) {
  Served served;
  auto& [backend, node, client] = served;
  client.write(large_post("Content-Length: 1000000\r\n") + pattern(200000));
  Line at_backend = backend.accept();
  at_backend.some();
  at_backend.reset();
  EXPECT_EQ(status_of(client.some()), "HTTP/1.1 503");  // not whole anywhere: harmless
}

}  // namespace
}  // namespace shorelead::node
