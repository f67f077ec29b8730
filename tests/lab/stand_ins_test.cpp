// A stand-in box on sockets, spoken to byte by byte: what its ledger says when links and boxes die under a
// request, and that a hole lets nothing up. No test waits for a time to pass but the black hole's connection,
// which must not come up within a short one.
#include <gtest/gtest.h>
#include <poll.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "lab/box.h"

namespace shorelead::lab {
namespace {

using boost::asio::ip::tcp;

struct Bench {
  explicit Bench(Millis latency = 0) {
    experiment.nodes.count = 2;
    ClassSpec spec;
    spec.rules = {"look", Effect::kSafe, Group::kAll, 0, 400, 1000, 1};
    spec.work.mean = 1;
    experiment.classes = {spec};
    experiment.fleet.latency = latency;
    world = std::make_unique<World>(context, experiment);
    box = std::make_shared<Box>(*world, 0, BoxNote{"s-0", 0, 0, 0},
                                std::vector<std::string>{"127.0.0.1", "127.0.0.1"},
                                std::vector<unsigned short>{}, false);
    box->start();
  }
  ~Bench() {
    box->die();
    context.poll();
  }

  tcp::socket connect(int node = 0) {
    tcp::socket socket(context);
    socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), box->ports()[static_cast<std::size_t>(node)]});
    return socket;
  }
  void write(tcp::socket& socket, const std::string& text) {
    boost::asio::write(socket, boost::asio::buffer(text));
  }

  // Lets the box work until that holds; a test that never gets there is ended by the harness.
  template <typename Until>
  void run(const Until& until) {
    while (!until()) context.run_one_for(std::chrono::milliseconds(10));
  }
  std::string answer(tcp::socket& socket) {
    std::string text;
    run([&socket] { return socket.available() > 0; });
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n");
    return text;
  }
  const Arrived& line(std::size_t n = 0) const { return world->ledger.at(n); }

  boost::asio::io_context context;
  Experiment experiment;
  std::unique_ptr<World> world;
  std::shared_ptr<Box> box;
};

const std::string kAsk = "GET /look/1 HTTP/1.1\r\nHost: b\r\nX-Request-ID: r1\r\n\r\n";

TEST(StandInBox, AnswersWhateverTheSplit) {
  for (std::size_t cut = 1; cut < kAsk.size(); cut += 3) {
    Bench bench;
    tcp::socket socket = bench.connect(1);
    bench.write(socket, kAsk.substr(0, cut));
    bench.context.run_for(std::chrono::milliseconds(1));
    EXPECT_TRUE(bench.world->ledger.empty());  // nothing runs before the last byte
    bench.write(socket, kAsk.substr(cut));
    EXPECT_EQ(bench.answer(socket).substr(0, 12), "HTTP/1.1 200");
    EXPECT_EQ(bench.line().node, 1);
    EXPECT_LE(bench.line().first_byte, bench.line().last_byte);
    EXPECT_GT(bench.line().began, 0);
    EXPECT_EQ(bench.line().end, BoxEnd::kServed);
  }
}

TEST(StandInBox, ThatDiesLeavesNoAttemptOpen) {
  Bench bench(100000);  // still on its way when the box dies
  tcp::socket socket = bench.connect();
  bench.write(socket, kAsk);
  bench.run([&bench] { return !bench.world->ledger.empty(); });
  EXPECT_EQ(bench.line().end, BoxEnd::kOpen);
  bench.box->die();
  EXPECT_EQ(bench.line().end, BoxEnd::kDropped);
  EXPECT_GT(bench.line().closed, 0);
  EXPECT_EQ(bench.line().began, 0);
  boost::system::error_code error;
  char byte = 0;
  boost::asio::read(socket, boost::asio::buffer(&byte, 1), error);
  EXPECT_EQ(error, boost::asio::error::connection_reset);
}

TEST(StandInBox, InAHoleNothingComesUpNorGoesOut) {
  Bench bench;
  tcp::socket before = bench.connect();
  bench.context.poll();
  bench.box->hole(0, true);
  bench.context.run_for(std::chrono::milliseconds(20));
  bench.write(before, kAsk);
  tcp::socket during(bench.context, tcp::v4());
  bool came_up = false;
  during.async_connect({boost::asio::ip::make_address("127.0.0.1"), bench.box->ports()[0]},
                       [&came_up](const boost::system::error_code& error) { came_up = !error; });
  bench.context.run_for(std::chrono::milliseconds(60));
  EXPECT_FALSE(came_up);
  EXPECT_TRUE(bench.world->ledger.empty());
  EXPECT_EQ(before.available(), 0U);
  tcp::socket other = bench.connect(1);  // the other node's link is whole
  bench.write(other, kAsk);
  EXPECT_EQ(bench.answer(other).substr(0, 12), "HTTP/1.1 200");
  during.close();
  bench.box->hole(0, false);
  char byte = 0;
  boost::system::error_code error;
  boost::asio::read(before, boost::asio::buffer(&byte, 1), error);
  EXPECT_EQ(error, boost::asio::error::connection_reset);
  tcp::socket after = bench.connect();
  bench.write(after, kAsk);
  EXPECT_EQ(bench.answer(after).substr(0, 12), "HTTP/1.1 200");
}

}  // namespace
}  // namespace shorelead::lab
