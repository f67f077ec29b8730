// The way to the store on sockets: what passes, what is lost one way and both, what ends with a cut. Nothing
// waits for a time to pass but the connection that must not come up within a short one.
#include "lab/relay.h"

#include <gtest/gtest.h>
#include <poll.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

#include "lab/dial.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// A member that takes connections, and the relay before it.
struct Bench {
  Bench() : member(context, {asio::ip::make_address("127.0.0.1"), 0}), faults(1, "relay") {
    relay = std::make_unique<Relay>(context, "127.0.0.1",
                                    "127.0.0.1:" + std::to_string(member.local_endpoint().port()), faults);
  }

  template <typename Until>
  void run(const Until& until) {
    while (!until()) context.run_one_for(std::chrono::milliseconds(10));
  }
  // Both ends of a connection through the relay.
  std::pair<tcp::socket, tcp::socket> connect() {
    tcp::socket near(context);
    near.connect(endpoint_of(relay->dial()));
    tcp::socket far(context);
    bool there = false;
    member.async_accept(far, [&there](const error_code&) { there = true; });
    run([&there] { return there; });
    return {std::move(near), std::move(far)};
  }
  static void say(tcp::socket& socket, const std::string& text) { asio::write(socket, asio::buffer(text)); }
  std::string heard(tcp::socket& socket) {
    run([&socket] { return socket.available() > 0; });
    std::string text(socket.available(), '\0');
    socket.read_some(asio::buffer(text));
    return text;
  }
  bool ended(tcp::socket& socket) {
    char byte = 0;
    error_code error;
    socket.non_blocking(true);
    run([&] {
      return socket.read_some(asio::buffer(&byte, 1), error) > 0 || error != asio::error::would_block;
    });
    return error == asio::error::eof || error == asio::error::connection_reset;
  }
  bool comes_up() {
    tcp::socket socket(context, tcp::v4());
    socket.non_blocking(true);
    // A blocking connect of Asio's would wait for what never comes up.
    const tcp::endpoint to = endpoint_of(relay->dial());
    ::connect(socket.native_handle(), to.data(), static_cast<socklen_t>(to.size()));
    pollfd wait{socket.native_handle(), POLLOUT, 0};
    error_code error;
    return ::poll(&wait, 1, 100) > 0 && (socket.remote_endpoint(error), !error);
  }

  asio::io_context context;
  tcp::acceptor member;
  Draw faults;
  std::unique_ptr<Relay> relay;
};

TEST(Relay, PassesBothWaysAndTheEnd) {
  Bench bench;
  auto [near, far] = bench.connect();
  Bench::say(near, "ask");
  EXPECT_EQ(bench.heard(far), "ask");
  Bench::say(far, "answer");
  EXPECT_EQ(bench.heard(near), "answer");
  far.close();
  EXPECT_TRUE(bench.ended(near));
}

TEST(Relay, LosesAnswersOnlyAndResetsWhatHasLostSome) {
  Bench bench;
  auto [near, far] = bench.connect();
  auto [other, its] = bench.connect();
  bench.relay->cut(Relay::Cut::kAnswers);
  Bench::say(near, "ask");
  EXPECT_EQ(bench.heard(far), "ask");
  Bench::say(far, "lost");
  Bench::say(other, "ask");
  EXPECT_EQ(bench.heard(its), "ask");  // by then the answer has been read as well
  bench.context.poll();
  EXPECT_EQ(near.available(), 0U);
  bench.relay->cut(Relay::Cut::kNone);
  EXPECT_TRUE(bench.ended(near));
  Bench::say(its, "answer");  // this one has lost nothing
  EXPECT_EQ(bench.heard(other), "answer");
}

TEST(Relay, LosesAsksOnly) {
  Bench bench;
  auto [near, far] = bench.connect();
  bench.relay->cut(Relay::Cut::kAsks);
  Bench::say(near, "lost");
  Bench::say(far, "told");
  EXPECT_EQ(bench.heard(near), "told");
  bench.context.poll();
  EXPECT_EQ(far.available(), 0U);
  auto [late, its] = bench.connect();  // comes up, and gets nothing through
  Bench::say(late, "lost");
  Bench::say(its, "told");
  EXPECT_EQ(bench.heard(late), "told");
  EXPECT_EQ(its.available(), 0U);
}

TEST(Relay, LetsNothingUpWhileCutBothWays) {
  Bench bench;
  auto [near, far] = bench.connect();
  bench.relay->cut(Relay::Cut::kBoth);
  bench.context.poll();
  EXPECT_FALSE(bench.comes_up());
  Bench::say(near, "lost");
  bench.context.poll();
  EXPECT_EQ(far.available(), 0U);
  bench.relay->cut(Relay::Cut::kNone);
  EXPECT_TRUE(bench.ended(near));
  auto [again, its] = bench.connect();
  Bench::say(again, "ask");
  EXPECT_EQ(bench.heard(its), "ask");
}

TEST(Relay, EndsAnswersAfterSomeByte) {
  Bench bench;
  bench.relay->end_within(1);
  auto [near, far] = bench.connect();
  Bench::say(far, std::string(1000, 'x'));
  char part[2000];
  std::size_t got = 0;
  error_code error;
  near.non_blocking(true);
  bench.run([&] {
    got += near.read_some(asio::buffer(part), error);
    return error && error != asio::error::would_block;
  });
  EXPECT_LT(got, 1000U);
}

TEST(Relay, RefusesWhileDown) {
  Bench bench;
  auto [near, far] = bench.connect();
  bench.relay->down(true);
  EXPECT_TRUE(bench.ended(near));
  EXPECT_FALSE(bench.comes_up());
  bench.relay->down(false);
  auto [again, its] = bench.connect();
  Bench::say(again, "ask");
  EXPECT_EQ(bench.heard(its), "ask");
}

}  // namespace
}  // namespace shorelead::lab
