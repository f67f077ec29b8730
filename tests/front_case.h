// A Front alone on a loop, with clients that the test plays.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "node/front.h"
#include "peer.h"

namespace shorelead::node {

// A Front for one class of requests. Records the requests that it receives, and stops the loop soon after the
// first.
struct Clients {
  explicit Clients(const Front::Timeouts& timeouts = {}) : timeouts(timeouts) { front.open(); }

  static std::shared_ptr<const RoutingSnapshot> one_safe_class() {
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->classes.resize(1);
    snapshot->classes[0].effect = Effect::kSafe;
    snapshot->names = {"safe"};
    return snapshot;
  }

  Line ask(const std::string& path) {
    Line client = Line::connect(front.port());
    client.write("GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nX-Timeout-Ms: 60000\r\n\r\n");
    return client;
  }

  Loop loop;
  Front::Timeouts timeouts;
  std::vector<std::string> taken;
  std::vector<Millis> dues;
  std::function<void(RequestId)> after_each;  // called for each request in place of stopping
  bool roomy = true;
  Millis left = 0;  // of the client's time-out, when the last request was received
  Front front{loop,
              Poco::Net::SocketAddress("127.0.0.1", 0),
              one_safe_class(),
              {[this](RequestId request, const RequestInfo& ask, const RequestRoute&,
                      const std::shared_ptr<const Message>& message) {
                 taken.emplace_back(message->head().target.in(message->raw));
                 dues.push_back(ask.due);
                 left = ask.due - loop.now();
                 if (after_each) return after_each(request);
                 loop.after(1, [this] { loop.stop(); });
               },
               [](RequestId) {}, [] { return true; }, [] { return false; },
               [](std::size_t unused) { return unused >= 2; }, [this] { return roomy; }, [] { return true; }},
              timeouts};
};

}  // namespace shorelead::node
