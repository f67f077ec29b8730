// A handler that throws while a request is handled, as for lack of memory: the client still gets a response,
// and nothing more is sent for the request.
#include <gtest/gtest.h>

#include <stdexcept>
#include <thread>
#include <vector>

#include "node/front.h"
#include "peer.h"

namespace shorelead::node {
namespace {

std::shared_ptr<const RoutingSnapshot> one_safe_class() {
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->number = 1;
  snapshot->classes.resize(1);
  snapshot->classes[0].effect = Effect::kSafe;
  snapshot->names = {"safe"};
  return snapshot;
}

// A front whose handler throws for every request.
struct FrontWithThrowingHandler {
  FrontWithThrowingHandler() { front.open(); }

  Loop loop;
  std::vector<RequestId> gone;
  Front front{
      loop,
      Poco::Net::SocketAddress("127.0.0.1", 0),
      one_safe_class(),
      {[](RequestId, const RequestInfo&, const RequestRoute&, const std::shared_ptr<const Message>&) {
         throw std::runtime_error("out of something");
       },
       [this](RequestId request) { gone.push_back(request); }, [] { return true; }, [] { return false; },
       [](std::size_t) { return false; }, [] { return true; }, [] { return true; }}};
};

TEST(Exceptions, ARequestWhoseHandlerThrowsIsAnsweredAsFailed) {
  FrontWithThrowingHandler t;
  std::string answer;
  std::thread client([&] {
    Line line = Line::connect(t.front.port());
    line.write("GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nX-Timeout-Ms: 60000\r\n\r\n");
    answer = line.answer();
    t.loop.stop();
  });
  t.loop.run();
  client.join();
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 500");
  EXPECT_EQ(t.gone.size(), 1U) << "nothing more is sent for it";
}

}  // namespace
}  // namespace shorelead::node
