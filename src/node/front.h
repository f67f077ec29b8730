// The client side of the proxy: accepts connections, reads requests, passes them to the listener and sends
// the responses. Owns the client connections, the text of all generated responses, and the counters of how
// requests ended. Answers each request exactly once, also when it shuts down. Knows nothing about backends.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "manage/drain.h"
#include "manage/metrics.h"
#include "node/acceptor.h"
#include "node/client.h"
#include "node/client_timeouts.h"
#include "node/config.h"
#include "node/policy_host.h"
#include "node/recorder.h"
#include "node/request_classifier.h"
#include "node/request_ids.h"
#include "node/routing_snapshot.h"

namespace shorelead::node {

struct FrontCounters {
  std::uint64_t left_early = 0;  // clients that had gone when their request was read; not counted as requests
  std::uint64_t malformed = 0;   // answered with 400, 404, 408, 409, 413 or 431
  std::uint64_t silent = 0;      // connections closed that never carried a request
  std::uint64_t idle = 0;        // connections closed after a request, for being idle
  std::uint64_t evicted = 0;     // connections closed for their descriptors
  std::uint64_t gave_up_for_memory =
      0;  // unfinished requests refused, and connections closed, for their memory
  std::map<int, std::uint64_t> by_status;
};

class Front : private Client::Host {
 public:
  struct Listener {
    std::function<void(RequestId, const RequestInfo&, const RequestRoute&, std::shared_ptr<const Message>)>
        request;
    std::function<void(RequestId)> client_gone;
    std::function<bool()> ready;
    std::function<bool()> crowded;                 // whether free descriptors are few
    std::function<bool(std::size_t)> many_unused;  // whether so many idle client connections are many
    std::function<bool()> roomy;                   // whether free descriptors are plentiful
    std::function<bool()> make_room;  // frees descriptors; whether one more client may be accepted
    // The streamed body of a request has been received whole; its client waits until `due`.
    std::function<void(RequestId, Millis due)> body_complete = [](RequestId, Millis) {};
    // Whether an attempt of this open request may have been processed.
    std::function<bool(RequestId)> may_have_run = [](RequestId) { return false; };
    // The limit on what client connections hold in memory.
    std::function<std::size_t()> memory_bytes = [] { return std::numeric_limits<std::size_t>::max(); };
    std::shared_ptr<net::FlowBudget> flows = nullptr;  // for streamed bodies; null: large bodies are refused
    Recorder* recorder = nullptr;                      // outlives the front; null: nothing is recorded
  };

  using Timeouts = ClientTimeouts;
  using ListenSpec = node::ListenSpec;

  // Throws Poco::Exception if the address cannot be bound.
  Front(Loop& loop, const ListenSpec& spec, std::shared_ptr<const RoutingSnapshot> snapshot,
        Listener listener)
      : Front(loop, spec, std::move(snapshot), std::move(listener), Timeouts()) {}
  Front(Loop& loop, const ListenSpec& spec, std::shared_ptr<const RoutingSnapshot> snapshot,
        Listener listener, const Timeouts& timeouts);
  ~Front() override;

  // Whether the client still waits for its response. Checked just before an attempt is written.
  bool still_waits(RequestId request) {
    return waiting(request) != nullptr && waiting(request)->still_waits();
  }
  // Whether a further request, or a part of one, has been read on its connection.
  bool has_read_ahead(RequestId request) const {
    return waiting(request) != nullptr && waiting(request)->stream.held() > 0;
  }
  // Final responses; without effect if the client has gone. `flow`: of a body that is still being received.
  void serve(RequestId request, const Message& response, std::shared_ptr<net::Flow> flow);
  void refuse(RequestId request, const Refusal& refusal);
  void fail(RequestId request, int status) {
    Client* const client = waiting(request);
    if (client == nullptr) return;
    release(*client, manage::RequestEnd::kBadGateway);
    client->answer(status, "failed", 0, false);
  }

  // Requests read from now on use this generation, but a client's repeat of a keyed request uses the previous
  // one for the class's window: that is where its key is known, and elsewhere it would run again.
  void use(std::shared_ptr<const RoutingSnapshot> snapshot);

  // Clients can connect from now on; see Acceptor::open().
  void open() { acceptor_.open(); }
  // While held, new connections are left to the other process of the node.
  void hold(bool held) { acceptor_.hold(held); }
  bool held() const { return acceptor_.held(); }
  int listening() const { return acceptor_.listening(); }

  bool evict_idle();  // closes the connection that has been idle for longest; false if none is
  // Applies the drain state: from draining on, each response is the last on its connection; once drained,
  // idle connections are closed.
  void set_drain_state(manage::DrainState state) {
    drain_ = state;
    if (state == manage::DrainState::kDrained) close_idle_clients(true);
  }
  void close_listener() { acceptor_.close(); }
  // Closes connections without a request under way. True when no connection is left or waits to be accepted.
  bool close_idle() {
    close_idle_clients(false);
    return clients_.empty() && acceptor_.listening() < 0;
  }
  // At the end of the process: answers all open requests as failed and has their attempts cancelled. Requests
  // that have been received but not started, or are received from now on, are refused.
  void fail_all();
  // Gives up connections until what they hold is within the limits in force.
  void relieve_memory() override {
    node::relieve_memory(memory_, listener_.flows.get(), clients_, [this](Client& one) { give_up(one); });
  }
  // Ends the responses that are still forwarded, such that their clients see that they are cut short.
  void cut_responses();

  unsigned short port() const { return acceptor_.port(); }
  const Acceptor& acceptor() const { return acceptor_; }
  std::size_t clients() const { return clients_.size(); }
  std::size_t held_bytes() const { return memory_.held(); }  // by the connections of clients
  const FrontCounters& counters() const { return counters_; }
  const manage::RequestCounters& request_counters() const { return request_counters_; }

 private:
  void begin(Client& client) override;
  void body_complete(Client& client) override;
  void body_overdue(Client& client) override;
  void abort(Client& client, int status, const char* cause, manage::RequestEnd end) override;
  void release(Client& client, manage::RequestEnd end) override;
  void forget(Client& client, Ending why) override;
  void client_gone(RequestId request) override { listener_.client_gone(request); }
  bool is_last(const Client& client) const override;
  void answered(int status) override {
    ++counters_.by_status[status];
    if (status / 100 == 4) ++counters_.malformed;
  }
  void left_early() override { ++counters_.left_early; }
  void left_unanswered(const Client& client, Ending why) override {
    recorder_->client_left(client.request, why, loop_.now() - client.due);
  }
  void count_unused(bool unused) override { unused ? ++unused_ : --unused_; }
  void became_idle() override {
    if (acceptor_.paused()) loop_.later([this] { acceptor_.try_resume(); });
  }
  const std::shared_ptr<net::FlowBudget>& flows() const override { return listener_.flows; }
  ClientMemory& memory() override { return memory_; }
  void refuse_unfinished(Client& client, const Refusal& refusal);
  void give_up(Client& client);  // for its memory

  // Closes a connection such that the client sees that the response which has begun is cut short.
  void truncate(Client& client) {
    client.stream.reset_on_close();
    forget(client, Ending::kBroken);
  }
  RequestIds::End id_end(const Client& client, manage::RequestEnd end) const;
  void count(Client& client) {  // in the request counters, once the request is complete
    client.counted = true;
    request_counters_.taken(client.class_name);
  }
  Client* waiting(RequestId request) const {
    const auto it = waiting_.find(request);
    return it == waiting_.end() ? nullptr : it->second;
  }
  void close_idle_clients(bool only_used);
  void sweep();

  Loop& loop_;
  RequestClassifier classifier_;
  Listener listener_;
  const RecorderHandle recorder_;
  const Timeouts timeouts_;
  ClientMemory memory_;
  ClientMap clients_;
  std::unordered_map<RequestId, Client*> waiting_;
  RequestIds ids_;
  std::size_t unused_ = 0;  // connections that are idle after their first request
  RequestId last_request_ = 0;
  manage::DrainState drain_ = manage::DrainState::kServing;
  bool failing_all_ = false;
  manage::RequestCounters request_counters_;
  Loop::TimerId sweep_timer_ = 0;
  FrontCounters counters_;
  Acceptor acceptor_;
};

}  // namespace shorelead::node
