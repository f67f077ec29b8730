// The HTTP parser. Messages are fed in two parts, split at every position, with the same result.
#include "net/http.h"

#include <gtest/gtest.h>

namespace shorelead::net {
namespace {

using Kind = Parser::Kind;
using State = Parser::State;

const std::string kPost =
    "POST /charge/7?user=k HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: 9b1f\r\nX-Timeout-Ms:480 \r\n"
    "Content-Length: 5\r\n\r\nhello";

// Parses `text` in two parts, split at `split`.
Message parse(const std::string& text, std::size_t split, Kind kind) {
  Message message(kind);
  message.raw = text.substr(0, split);
  message.parser.advance(message.raw);
  message.raw = text;
  message.parser.advance(message.raw);
  return message;
}

State state_of(Message& message) { return message.parser.advance(message.raw); }

void expect_refused(const std::string& text, int status, const std::string& cause) {
  for (std::size_t split = 0; split <= text.size(); ++split) {
    Message message = parse(text, split, Kind::kRequest);
    ASSERT_EQ(state_of(message), State::kBad) << text << " split at " << split;
    EXPECT_EQ(message.parser.refusal(), status) << text << " split at " << split;
    EXPECT_EQ(message.parser.cause(), cause) << text << " split at " << split;
  }
}

std::string request(const std::string& fields, const std::string& body = "") {
  return "POST /a HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + body;
}

TEST(Http, ARequestIsParsedAlikeAtEverySplit) {
  for (std::size_t split = 0; split <= kPost.size(); ++split) {
    Message message = parse(kPost, split, Kind::kRequest);
    ASSERT_EQ(state_of(message), State::kDone) << split;
    EXPECT_EQ(message.head().method.in(message.raw), "POST");
    EXPECT_EQ(message.head().target.in(message.raw), "/charge/7?user=k");
    EXPECT_EQ(message.value("x-request-id"), "9b1f");
    EXPECT_EQ(message.value("X-TIMEOUT-MS"), "480");
    EXPECT_EQ(message.body(), "hello");
    EXPECT_EQ(message.parser.size(), kPost.size());
    EXPECT_TRUE(message.head().keep_alive);
  }
}

TEST(Http, ABodyTakenInPartsIsCompleteAtEverySplit) {
  const std::string next = "GET /b HTTP/1.1\r\n";
  const std::string chunked =
      request("Transfer-Encoding: chunked\r\n", "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n");
  for (const std::string& text : {chunked, request("Content-Length: 13\r\n", "abc0123456789")}) {
    for (std::size_t split = 0; split <= text.size(); ++split) {
      Message message(Kind::kRequest);
      std::string body;
      for (const std::string& part : {text.substr(0, split), text.substr(split) + next}) {
        message.raw += part;
        message.parser.advance(message.raw);
        if (message.parser.has_head()) body += message.parser.take_body(message.raw);
      }
      ASSERT_EQ(state_of(message), State::kDone) << split;
      EXPECT_EQ(body, "abc0123456789");
      EXPECT_EQ(message.raw.substr(message.parser.size()), next) << "the next message stays in the buffer";
      EXPECT_EQ(message.head().target.in(message.raw), "/a");
    }
  }
}

// Found by the fuzzer: the parser waited for a line end if this came in one piece, and refused it in two.
TEST(Http, GarbageAfterALineEndIsRefusedAtEverySplit) { expect_refused("\r\n\aHn", 400, "bad request line"); }

TEST(Http, ALongBodyIsAcceptedOnlyIfStreamingIsEnabled) {
  const std::string head = request("Content-Length: 70000\r\n");
  expect_refused(head, 413, "body too large");
  Message message(Kind::kRequest, kMaxRequestBody);
  message.raw = head;
  EXPECT_EQ(state_of(message), State::kBody);
  EXPECT_TRUE(message.parser.large());
  Message over(Kind::kRequest, kMaxRequestBody);
  over.raw = request("Content-Length: " + std::to_string(kMaxRequestBody + 1) + "\r\n");
  EXPECT_EQ(state_of(over), State::kBad);
  Message to_head(Kind::kResponse);
  to_head.parser.expect_no_body();
  to_head.raw = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
  EXPECT_EQ(state_of(to_head), State::kDone);
}

TEST(Http, EveryPrefixIsIncompleteButNotBad) {
  for (std::size_t length = 0; length < kPost.size(); ++length) {
    Message message(Kind::kRequest);
    message.raw = kPost.substr(0, length);
    const State state = state_of(message);
    EXPECT_TRUE(state == State::kHead || state == State::kBody) << length;
  }
}

TEST(Http, ParsesByteByByteWhileTheBufferMoves) {
  Message message(Kind::kRequest);
  for (const char c : kPost) {
    std::string moved = message.raw + c;
    message.raw = std::move(moved);
    message.parser.advance(message.raw);
  }
  EXPECT_EQ(state_of(message), State::kDone);
  EXPECT_EQ(message.body(), "hello");
}

TEST(Http, AChunkedBodyIsDecodedAtEverySplit) {
  const std::string text =
      request("Transfer-Encoding: chunked\r\n", "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n");
  for (std::size_t split = 0; split <= text.size(); ++split) {
    Message message = parse(text, split, Kind::kRequest);
    ASSERT_EQ(state_of(message), State::kDone) << split;
    EXPECT_EQ(message.body(), "abc0123456789");
    EXPECT_EQ(message.parser.size(), text.size());
  }
}

TEST(Http, StopsAtTheEndOfItsMessage) {
  Message message(Kind::kRequest);
  message.raw = kPost + "GET /next";
  EXPECT_EQ(state_of(message), State::kDone);
  EXPECT_EQ(message.parser.size(), kPost.size());
  EXPECT_EQ(message.body(), "hello");
}

TEST(Http, AmbiguousFramingIsRefused) {
  expect_refused(request("Content-Length: 1\r\nContent-Length: 1\r\n"), 400, "repeated Content-Length");
  expect_refused(request("Content-Length: 1\r\nContent-Length: 2\r\n"), 400, "repeated Content-Length");
  expect_refused(request("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"), 400,
                 "Content-Length beside Transfer-Encoding");
  expect_refused(request("Transfer-Encoding: gzip, chunked\r\n"), 400, "unknown Transfer-Encoding");
  expect_refused(request("Content-Length: +5\r\n"), 400, "bad Content-Length");
  expect_refused(request("Content-Length: 5, 5\r\n"), 400, "bad Content-Length");
  expect_refused(request("Content-Length:\r\n"), 400, "bad Content-Length");
  expect_refused(request("Content-Length : 5\r\n"), 400, "bad header field");
  expect_refused(request("X-A: b\r\n c\r\n"), 400, "bad header field");
  expect_refused(request("no colon\r\n"), 400, "bad header field");
  expect_refused(request("Host: b\r\n"), 400, "needs one Host");
  expect_refused("GET /a HTTP/1.1\r\n\r\n", 400, "needs one Host");
  expect_refused("GET /a HTTP/1.1\nHost: a\r\n\r\n", 400, "line without CR LF");
  expect_refused("GET  /a HTTP/1.1\r\nHost: a\r\n\r\n", 400, "bad request line");
  expect_refused("GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400, "bad request line");
  expect_refused("GET /a HTTP/2.0\r\nHost: a\r\n\r\n", 400, "bad request line");
  expect_refused(request("X: a\rb\r\n"), 400, "bad header field");
}

TEST(Http, BadChunksAreRefused) {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  expect_refused(request(chunked, "x\r\nabc\r\n"), 400, "bad chunk");
  expect_refused(request(chunked, "-1\r\nabc\r\n"), 400, "bad chunk");
  expect_refused(request(chunked, "3\nabc\r\n"), 400, "bad chunk");
  expect_refused(request(chunked, "3\r\nabcd\r\n"), 400, "bad chunk");
  expect_refused(request(chunked, "\r\n"), 400, "bad chunk");
  expect_refused(request(chunked, "fffffffffffffffff\r\n"), 400, "bad chunk");
}

TEST(Http, BodiesOver64KiBAreRefused) {
  expect_refused(request("Content-Length: 65537\r\n"), 413, "body too large");
  expect_refused(request("Content-Length: 99999999999999999999999\r\n"), 413, "body too large");
  expect_refused(request("Transfer-Encoding: chunked\r\n", "10001\r\n"), 413, "body too large");
  Message whole(Kind::kRequest);
  whole.raw = request("Content-Length: 65536\r\n", std::string(65536, 'x'));
  EXPECT_EQ(state_of(whole), State::kDone);
}

// Guards against filling the buffer with framing: the limit of the body does not bound one-byte chunks.
TEST(Http, EndlessFramingIsRefused) {
  Message message(Kind::kRequest);
  message.raw = request("Transfer-Encoding: chunked\r\n");
  const std::string chunk = "1;" + std::string(200, 'e') + "\r\nx\r\n";
  for (int i = 0; i < 4000; ++i) message.raw += chunk;
  EXPECT_EQ(state_of(message), State::kBad);
  EXPECT_EQ(message.parser.refusal(), 413);
}

TEST(Http, LargeHeadsAreRefused) {
  Message endless(Kind::kRequest);
  endless.raw = "GET /" + std::string(kMaxHeadBytes, 'a');
  EXPECT_EQ(state_of(endless), State::kBad);
  EXPECT_EQ(endless.parser.refusal(), 431);
  Message many(Kind::kRequest);
  many.raw = "GET /a HTTP/1.1\r\n";
  for (int i = 0; i < 101; ++i) many.raw += "A: b\r\n";
  EXPECT_EQ(state_of(many), State::kBad);
  EXPECT_EQ(many.parser.refusal(), 431);
}

TEST(Http, ParsesResponsesWithEveryKindOfLength) {
  for (const std::string text : {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                                 "HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}) {
    for (std::size_t split = 0; split <= text.size(); ++split) {
      Message message = parse(text, split, Kind::kResponse);
      ASSERT_EQ(state_of(message), State::kDone) << text << split;
      EXPECT_EQ(message.head().status, 200);
      EXPECT_EQ(message.body(), "ok");
    }
  }
  Message until_close(Kind::kResponse);
  until_close.raw = "HTTP/1.1 200 OK\r\n\r\nok";
  EXPECT_EQ(state_of(until_close), State::kBody);
  EXPECT_FALSE(until_close.head().keep_alive);
  EXPECT_EQ(until_close.parser.finish(), State::kDone);
  EXPECT_EQ(until_close.body(), "ok");
  Message bodiless(Kind::kResponse);
  bodiless.raw = "HTTP/1.1 204 No Content\r\n\r\n";
  EXPECT_EQ(state_of(bodiless), State::kDone);
}

// Guards against waiting for the time-out of an attempt after garbage that cannot become a response.
TEST(Http, GarbageIsRefusedAtItsFirstWrongByte) {
  for (const std::string text :
       {"\x01\x02\x03", "HTTQ", "HTTP/2.0 200 OK", "<html>", " HTTP/1.1 200 OK\r\n\r\n"}) {
    for (std::size_t split = 0; split <= text.size(); ++split) {
      Message message = parse(text, split, Kind::kResponse);
      EXPECT_EQ(state_of(message), State::kBad) << text << " split at " << split;
    }
  }
  expect_refused(std::string("\x16\x03\x01", 3), 400, "bad request line");
}

// Guards against taking a truncated 200 for a complete one.
TEST(Http, ATruncatedResponseIsNeverComplete) {
  for (const std::string text : {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no",
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
                                 "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\n"}) {
    Message message(Kind::kResponse);
    message.raw = text;
    EXPECT_NE(state_of(message), State::kDone) << text;
    EXPECT_EQ(message.parser.finish(), State::kBad) << text;
  }
}

TEST(Http, KeepAliveFollowsTheVersionAndTheConnectionField) {
  const auto keeps = [](const std::string& text) {
    Message message(Kind::kRequest);
    message.raw = text;
    EXPECT_EQ(message.parser.advance(message.raw), State::kDone) << text;
    return message.head().keep_alive;
  };
  EXPECT_TRUE(keeps("GET /a HTTP/1.1\r\nHost: a\r\n\r\n"));
  EXPECT_FALSE(keeps("GET /a HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\n\r\n"));
  EXPECT_FALSE(keeps("GET /a HTTP/1.0\r\n\r\n"));
  EXPECT_TRUE(keeps("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"));
}

TEST(Http, HopByHopFieldsAreNotForwarded) {
  Message message(Kind::kRequest);
  message.raw = request(
      "Connection: x-private\r\nX-Private: 1\r\nX-Request-ID: 7\r\nIdempotency-Key: k\r\nTE: trailers\r\n"
      "X-Timeout-Ms: 9\r\nContent-Length: 0\r\n");
  ASSERT_EQ(state_of(message), State::kDone);
  std::vector<std::string_view> pieces;
  pass_fields(message.head(), message.raw, pieces);
  std::string passed;
  for (const auto piece : pieces) passed += piece;
  EXPECT_EQ(passed, "Host: a\r\nX-Request-ID: 7\r\nIdempotency-Key: k\r\n");
}

TEST(Http, AnEndlessBodyIsTakenAsItArrives) {
  Parser parser(Kind::kResponse);
  std::string buffer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::size_t head = buffer.size();
  std::string all;
  for (int i = 0; i < 50; ++i) {
    buffer += "5\r\nline\n\r\n";
    ASSERT_EQ(parser.advance(buffer), State::kBody);
    all += parser.take_decoded();
    const Place done = parser.take_consumed();
    buffer.erase(done.at, done.size);
    EXPECT_EQ(buffer.size(), head);
  }
  EXPECT_EQ(all.size(), 250U);
}

}  // namespace
}  // namespace shorelead::net
