// An Upstream alone on a loop, recording what it reports, against peers that the test scripts.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <string>

#include "node/upstream.h"
#include "peer.h"

namespace shorelead::node {

constexpr Millis kSoon = 30;
constexpr Millis kLong = 15000;

// An Upstream that records what it reports.
class UpstreamAlone {
 public:
  explicit UpstreamAlone(Millis connect_timeout = kLong)
      : upstream(loop, connect_timeout, 60000, 0, std::make_shared<net::FlowBudget>(1U << 20),
                 {[this](RequestId, int, const Result& result) { take(result); },
                  [this](BackendId, const Result& result) { take(result); },
                  [this](bool) { return may_open; }, [this](bool probe) { return !probe || keeps_probes; }}) {
    message->raw = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
    message->parser.advance(message->raw);
  }

  void send(const Peer& peer, Millis wait) {
    upstream.send(1, 0, 0, peer.dial(), loop.now() + wait, message);
  }

  // Runs the loop; may be called once per test. Each end of an attempt or probe runs the next step, and stops
  // the loop if none is left. Returns the last ending.
  Ending run() {
    loop.run();
    return last;
  }

  void take(const Result& result) {
    last = result.ending;
    load = result.load;
    ++reports;
    if (steps.empty()) return loop.stop();
    loop.later(steps.front());
    steps.pop_front();
  }

  Loop loop;
  bool may_open = true;
  bool keeps_probes = true;
  std::deque<Loop::Task> steps;
  Ending last = Ending::kNotSent;
  std::optional<LoadReport> load;
  int reports = 0;
  std::shared_ptr<Message> message = std::make_shared<Message>(Parser::Kind::kRequest);
  Upstream upstream;
};

// A peer whose accept queue is full, so that no further connect succeeds.
struct FullPeer : Peer {
  FullPeer() : Peer(0), one(Line::connect(port())) {}
  Line one;
};

}  // namespace shorelead::node
