// The clients' side: the listening socket, clients' connections, their requests and the answers to them. It
// owns the words of every answer, the order of requests on a connection and the request counters of how each
// ended. It must never answer a request twice or, while it stands, not at all; and it must never ask who will
// serve it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "manage/drain.h"
#include "manage/metrics.h"
#include "node/acceptor.h"
#include "node/client.h"
#include "node/client_timeouts.h"
#include "node/config.h"
#include "node/policy_host.h"
#include "node/recorder.h"
#include "node/request_classifier.h"
#include "node/routing_snapshot.h"

namespace shorelead::node {

struct FrontCounters {
  std::uint64_t left_early = 0;  // clients that were gone when their request was read; not taken
  std::uint64_t malformed = 0;   // answered with 400, 404, 408, 409, 413 or 431
  std::uint64_t silent = 0;      // connections closed that had never asked for anything
  std::uint64_t idle = 0;        // and that had not for long
  std::uint64_t evicted = 0;
  std::map<int, std::uint64_t> by_status;
};

class Front : private Client::Host {
 public:
  struct Listener {
    std::function<void(RequestId, const RequestInfo&, const RequestRoute&, std::shared_ptr<const Message>)>
        request;
    std::function<void(RequestId)> gone;
    std::function<bool()> ready;
    std::function<bool()> crowded;                 // whether room is short
    std::function<bool(std::size_t)> many_unused;  // whether so many unused connections of clients are many
    std::function<bool()> roomy;                   // whether there is plenty of room
    std::function<bool()> make_room;               // whether one more client may be taken in
    // A request that was handed over with its body still coming is whole; its client waits until `due`.
    std::function<void(RequestId, Millis due)> body_whole = [](RequestId, Millis) {};
    std::shared_ptr<net::FlowBudget> flows = nullptr;  // for bodies not kept whole; none: those are refused
    Recorder* recorder = nullptr;                      // outlives the front; none: nothing is written down
  };

  using Waits = ClientTimeouts;
  using Entry = node::Entry;

  // Throws Poco::Exception where the address cannot be had.
  Front(Loop& loop, const Entry& entry, std::shared_ptr<const RoutingSnapshot> snapshot, Listener listener)
      : Front(loop, entry, std::move(snapshot), std::move(listener), Waits()) {}
  Front(Loop& loop, const Entry& entry, std::shared_ptr<const RoutingSnapshot> snapshot, Listener listener,
        const Waits& waits);
  ~Front() override;

  // Whether its client is still there: looked at just before anything of it is sent on.
  bool still_waits(RequestId request);
  // Final answers. To a client that is gone they are nothing.
  void serve(RequestId request, const Message& answer, std::shared_ptr<net::Flow> flow);  // flow: of its body
  void refuse(RequestId request, const Refusal& words);
  void fail(RequestId request, int status);

  // Requests read from now on go by this generation; but a client's repeat of a keyed one, for the class's
  // window, by the one before: there its key is known, and elsewhere it would run again.
  void go_by(std::shared_ptr<const RoutingSnapshot> snapshot);

  // Clients can connect from now on; see Acceptor::open().
  void open() { acceptor_.open(); }
  // Whether to take in who connects: while held, whoever comes is left to the other process.
  void hold(bool held) { acceptor_.hold(held); }
  bool held() const { return acceptor_.held(); }
  int listening() const { return acceptor_.listening(); }

  bool evict_idle();  // closes the connection that was unused for longest
  // Lets go of clients, or takes them again, as the drain's state says: from draining on it is not ready and
  // every answer is the last on its connection; once drained, unused connections are closed.
  void follow(manage::DrainState state);
  void close_listener() { acceptor_.close(); }
  // Ends connections that have no request under way; true when none is left, or
  // waits to be taken in.
  bool empty();
  // This process ends now: answers as failed whatever is under way, and has it given up. Whatever else was
  // sent by then, or comes from now on, is refused.
  void give_up();

  unsigned short port() const { return acceptor_.port(); }
  const Acceptor& acceptor() const { return acceptor_; }
  std::size_t clients() const { return clients_.size(); }
  const FrontCounters& counters() const { return counters_; }
  const manage::RequestCounters& request_counters() const { return request_counters_; }

 private:
  void begin(Client& client) override;
  void whole(Client& client) override;
  void break_off(Client& client, int status, const char* cause, manage::RequestEnd end) override;
  void release(Client& client, manage::RequestEnd end) override;
  void forget(Client& client, Ending why) override;
  void gone(RequestId request) override { listener_.gone(request); }
  bool ends_with(const Client& client) const override;
  void answered(int status) override;
  void left_early() override { ++counters_.left_early; }
  void left_unanswered(const Client& client, Ending why) override {
    recorder_->client_left(client.request, why, loop_.now() - (client.input_at + client.wait));
  }
  void unused(bool stands) override { stands ? ++unused_ : --unused_; }
  void free_again() override;
  const std::shared_ptr<net::FlowBudget>& flows() const override { return listener_.flows; }

  void take(Client& client);  // into the request counters, once its last byte has come
  Client* waiting(RequestId request) const {
    const auto it = waiting_.find(request);
    return it == waiting_.end() ? nullptr : it->second;
  }
  void part_idle(bool only_used);
  void sweep();

  Loop& loop_;
  RequestClassifier classifier_;
  Listener listener_;
  const RecorderHandle recorder_;
  const Waits waits_;
  std::unordered_map<Client*, std::shared_ptr<Client>> clients_;
  std::unordered_map<RequestId, Client*> waiting_;
  std::unordered_set<std::string> open_ids_;  // X-Request-ID of those that wait
  std::size_t unused_ = 0;                    // clients that have asked and now stand unused
  RequestId last_request_ = 0;
  manage::DrainState drain_ = manage::DrainState::kServing;
  bool giving_up_ = false;
  manage::RequestCounters request_counters_;
  Loop::TimerId sweep_ = 0;
  FrontCounters counters_;
  Acceptor acceptor_;
};

}  // namespace shorelead::node
