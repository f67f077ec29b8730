// The stand-in registry on sockets: calls as etcd v3's gateway publishes them, and each trouble that it can
// be asked for. No test waits for a time to pass.
#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "lab/etcd_server.h"

namespace shorelead::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

bool whole(const std::string& answer) {
  const std::size_t head = answer.find("\r\n\r\n");
  const std::size_t length = answer.find("Content-Length: ");
  if (head == std::string::npos) return false;
  if (length == std::string::npos) return answer.size() > head + 9 && answer.ends_with("0\r\n\r\n");
  return answer.size() >= head + 4 + std::stoul(answer.substr(length + 16));
}

struct Bench {
  explicit Bench(const EtcdTroubles& troubles = {}) : server(context, "127.0.0.1", troubles, 3) {}
  ~Bench() { context.poll(); }

  // All that comes back of one call on a connection of its own, its head too; as far as it came.
  std::string call(const std::string& path, const std::string& body, std::size_t member = 0) {
    const std::string all = server.dial() + " ";
    std::size_t at = 0;
    for (std::size_t n = 0; n < member; ++n) at = all.find(' ', at) + 1;
    const std::size_t colon = all.find(':', at);
    const auto port = static_cast<unsigned short>(std::stoi(all.substr(colon + 1)));
    tcp::socket socket(context);
    error_code refused;
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port}, refused);
    if (refused) return "refused";
    boost::asio::write(socket,
                       boost::asio::buffer("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                           std::to_string(body.size()) + "\r\n\r\n" + body));
    std::string answer;
    bool over = false;
    boost::asio::async_read(
        socket, boost::asio::dynamic_buffer(answer),
        [&answer](const error_code& error, std::size_t) {
          return error || whole(answer) ? std::size_t{0} : std::size_t{4096};
        },
        [&over](const error_code&, std::size_t) { over = true; });
    while (!over) context.run_one();
    return answer;
  }

  boost::asio::io_context context;
  EtcdServer server;
};

constexpr const char* kTxnOnCreate =  // the published example: put foo = bar if it was created at 2
    R"({"compare":[{"createRevision":"2","target":"CREATE","key":"Zm9v"}],)"
    R"("success":[{"requestPut":{"key":"Zm9v","value":"YmFy"}},{"request_range":{"key":"Zm9v","keys_only":true}}],)"
    R"("failure":[{"request_delete_range":{"key":"Zm9v"}}]})";

TEST(EtcdServer, AnswersAsPublished) {
  Bench bench;
  const struct {
    const char* path;
    const char* body;
    const char* has;
  } table[] = {
      {"/v3/kv/put", R"({"key":"Zm9v","value":"YQ=="})", R"("revision":"2","raft_term":"2"}})"},
      {"/v3/kv/txn", kTxnOnCreate,
       R"("succeeded":true,"responses":[{"response_put":{"header":{"revision":"3"}}},{"response_range":{"header":{"revision":"3"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"3","version":"2"}],"count":"1"}}]})"},
      {"/v3/kv/range", R"({"key":"Zm9v"})",
       R"("mod_revision":"3","version":"2","value":"YmFy"}],"count":"1"})"},
      {"/v3/kv/deleterange", R"({"key":"Zg==","range_end":"Zw=="})", R"(,"deleted":"1"})"},
      {"/v3/kv/txn", kTxnOnCreate, R"("raft_term":"2"},"responses":[{"response_delete_range":)"},
      {"/v3/lease/grant", R"({"TTL":"5","ID":"77"})", R"(,"ID":"77","TTL":"5"})"},
      {"/v3/lease/grant", R"({"TTL":5,"ID":77})", R"({"error":"etcdserver: lease already exists","code":9)"},
      {"/v3/kv/put", R"({"key":"Zm9v","lease":"77"})", R"("revision":"5")"},
      {"/v3/kv/put", R"({"key":"Zm9v","lease":"78"})", R"("etcdserver: requested lease not found","code":5)"},
      {"/v3/lease/keepalive", R"({"ID":"77"})", R"("ID":"77","TTL":"5"}})"},
      {"/v3/lease/keepalive", R"({"ID":"78"})", R"("ID":"78"}})"},  // gone: no TTL
      {"/v3/lease/timetolive", R"({"ID":"77","keys":true})", R"("grantedTTL":"5","keys":["Zm9v"]})"},
      {"/v3/kv/lease/timetolive", R"({"ID":"78"})", R"("ID":"78","TTL":"-1"})"},
      {"/v3/lease/revoke", R"({"ID":"77"})", R"("revision":"6")"},
      {"/v3/kv/lease/revoke", R"({"ID":"77"})", R"(requested lease not found)"},
      {"/v3/kv/range", R"({"key":"Zm9v"})", R"("revision":"6","raft_term":"2"}})"},
      {"/v3/kv/range", R"({"key":"Zm9v","revision":"9"})", R"(required revision is a future revision)"},
      {"/v3/kv/txn", R"({"success":[{"request_put":{"key":"eA=="}},{"request_put":{"key":"eA=="}}]})",
       R"(duplicate key given in txn request)"},
      {"/v3/kv/txn", R"({"compare":{}})", "400 Bad Request"},
      {"/v3/kv/none", "{}", "404 Not Found"},
  };
  for (const auto& row : table) {
    const std::string answer = bench.call(row.path, row.body);
    EXPECT_NE(answer.find(row.has), std::string::npos) << row.path << row.body << " got " << answer;
  }
}

TEST(EtcdServer, EachTroubleIsTheOneAskedFor) {
  const std::string put = R"({"key":"Zm9v","value":"YQ=="})";
  Bench bench({2, 0, 0, 0, 0, 0});
  bench.server.full(true);
  EXPECT_NE(bench.call("/v3/kv/put", put).find("etcdserver: mvcc: database space exceeded"),
            std::string::npos);
  EXPECT_NE(bench.call("/v3/lease/grant", R"({"TTL":"5"})").find("429"), std::string::npos);
  EXPECT_EQ(bench.server.store().revision(), 1U);
  bench.server.full(false);
  for (int n = 0; n < 9; ++n) bench.call("/v3/kv/put", put);
  EXPECT_EQ(bench.server.store().revision(), 10U);
  bench.server.restart(4);
  const std::string after = bench.call("/v3/kv/range", R"({"key":"Zm9v"})");
  EXPECT_NE(after.find(R"("cluster_id":"24096")"), std::string::npos) << after;  // one more than 0x5e1f
  EXPECT_NE(after.find(R"("mod_revision":"6")"), std::string::npos) << after;
  bench.server.restart(1, true);
  EXPECT_NE(bench.call("/v3/kv/range", R"({"key":"Zm9v"})").find(R"("cluster_id":"24096")"),
            std::string::npos);
  bench.server.slow(1);
  EXPECT_NE(bench.call("/v3/kv/put", put).find("200 OK"), std::string::npos);
  bench.server.down(true);
  EXPECT_EQ(bench.call("/v3/kv/put", put), "refused");
  bench.server.down(false);
  EXPECT_NE(bench.call("/v3/kv/put", put, 1).find("200 OK"), std::string::npos);
}

TEST(EtcdServer, WhatIsCutWasDoneAndWhatIsLostWasNot) {
  Bench bench;
  bench.server.cut(1);
  for (std::uint64_t n = 0; n < 20; ++n) {
    const std::string answer = bench.call("/v3/kv/put", R"({"key":"Zm9v"})");
    EXPECT_EQ(answer.find("raft_term\":\"2\"}}"), std::string::npos) << answer;
    EXPECT_EQ(bench.server.store().revision(), 2 + n);
  }
  Bench lossy({1, 0, 1, 0, 0, 0});
  EXPECT_EQ(lossy.call("/v3/kv/put", R"({"key":"Zm9v"})"), "");
  EXPECT_EQ(lossy.server.store().revision(), 1U);
}

// Members lag in what they have themselves; what asks for the latest never does.
TEST(EtcdServer, OnlySerializableReadsLag) {
  Bench bench({3, 0, 0, 0, 5, 0});
  for (int n = 0; n < 20; ++n) bench.server.store().put("foo", std::to_string(n));  // revision 21
  const std::string latest = R"("revision":"21")";
  bool lagged = false;
  while (!lagged) {  // bounded by the harness: half of the members lag at any time
    for (std::size_t member = 0; member < 3; ++member) {
      EXPECT_NE(bench.call("/v3/kv/range", R"({"key":"Zm9v"})", member).find(latest), std::string::npos);
      const std::string old = bench.call("/v3/kv/range", R"({"key":"Zm9v","serializable":true})", member);
      lagged = lagged || old.find(latest) == std::string::npos;
    }
  }
}

}  // namespace
}  // namespace shorelead::lab
