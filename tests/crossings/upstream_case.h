// An Upstream alone on a loop against peers that the test scripts, recording what it reports.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "node/upstream.h"
#include "peer.h"

namespace shorelead::node {

constexpr Millis kSoon = 30;
constexpr Millis kLong = 15000;
constexpr std::size_t kMuch = 16U << 20;  // more than two sockets' buffers hold

inline std::shared_ptr<Message> request_of(const std::string& raw) {
  auto message = std::make_shared<Message>(Parser::Kind::kRequest);
  message->parser = Parser(Parser::Kind::kRequest, 2 * kMuch);
  message->raw = raw;
  message->parser.advance(message->raw);
  return message;
}

inline std::shared_ptr<Message> post_of(std::size_t size) {
  return request_of("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
                    std::string(size, 'x'));
}

struct Backends {
  explicit Backends(Millis idle_timeout = 60000)
      : upstream(loop, kLong, idle_timeout, 0, flows,
                 {[this](RequestId, int attempt, const Result& result) { take(attempt, result); },
                  [this](BackendId, const Result& result) { take(-1, result); }, [](bool) { return true; },
                  [](bool) { return true; }}) {}

  void send(const Peer& peer, Millis wait, const std::shared_ptr<Message>& message = post_of(1),
            Millis begin_by = std::numeric_limits<Millis>::infinity(), int attempt = 0) {
    upstream.send(1, attempt, 0, peer.dial(), loop.now() + wait, message, begin_by);
  }

  // A request with a streamed body.
  std::shared_ptr<Message> by_parts(std::optional<std::uint64_t> length = std::nullopt) {
    auto message = post_of(0);
    message->flow = std::make_shared<net::Flow>(flows, length);
    return message;
  }

  // Runs the loop; may be called once per test. Each end of an attempt runs the next step, and stops the loop
  // if none is left. Returns the last ending.
  Ending run() {
    loop.run();
    return last;
  }

  void take(int attempt, const Result& result) {
    last = result.ending;
    ended = attempt;
    ++reports;
    answer = result.response == nullptr ? "" : std::string(result.response->body());
    if (result.flow) {
      flow = result.flow;
      return on_flow(*flow);  // the test continues with the flow
    }
    if (steps.empty()) return loop.stop();
    loop.later(steps.front());
    steps.pop_front();
  }

  // Blocks the loop, so that expired timers and pending input meet in its next turn.
  void hold_up(Millis span) const {
    const Millis until = loop.now() + span;
    while (loop.now() < until) continue;
  }

  Loop loop;
  std::shared_ptr<net::FlowBudget> flows = std::make_shared<net::FlowBudget>(1U << 20);
  std::deque<Loop::Task> steps;
  Ending last = Ending::kNotSent;
  int ended = -1;  // number of the attempt
  int reports = 0;
  std::string answer;
  std::shared_ptr<net::Flow> flow;
  std::function<void(net::Flow&)> on_flow;
  Upstream upstream;
};

// A peer whose accept queue is full, so that no further connect succeeds.
struct FullPeer : Peer {
  FullPeer() : Peer(0), one(Line::connect(port())) {}
  Line one;
};

inline const std::string kEmptyOk = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

}  // namespace shorelead::node
