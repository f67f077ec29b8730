// Sends attempts and probes to backends over a pool of connections and reports how each ended. Owns the
// connections and the timers of whatever they carry. It never resends a request, never reuses a connection
// that received unsolicited bytes, and does not choose backends: the caller names one for each attempt.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "guard/guard.h"
#include "node/net.h"
#include "policy/policy.h"

namespace shorelead::node {

class Recorder;

// How an attempt or a probe ended. `response` is valid only during the call that reports it.
struct Result {
  Ending ending = Ending::kNotSent;
  Millis elapsed = 0;
  std::optional<LoadReport> load;
  const Message* response = nullptr;
  // The response's body while it is still being received; the object that forwards it becomes the flow's
  // sink.
  std::shared_ptr<net::Flow> flow;
};

class Upstream {
 public:
  struct Listener {
    std::function<void(RequestId, int attempt, const Result&)> attempt_done;
    std::function<void(BackendId, const Result&)> probe_done;
    // Returns whether a connection may be opened for an attempt or a probe; evicts an idle one if needed.
    std::function<bool(bool probe)> make_room;
    // Returns whether a connection that carried an attempt or a probe may be kept for reuse.
    std::function<bool(bool probe)> keep;
    // Adds what the policy knows of the request and the backend to the state that the guard checks. Called
    // immediately before an attempt is written.
    std::function<void(RequestId, BackendId, Millis now, guard::RequestState&, guard::BackendState&)>
        describe = [](RequestId, BackendId, Millis, guard::RequestState&, guard::BackendState&) {};
    // Returns whether the response to this request may be forwarded before it is known that it will be whole.
    std::function<bool(RequestId)> may_stream = [](RequestId) { return true; };
    // Returns whether the checker has this backend as one that must receive nothing new at `now`.
    std::function<bool(BackendId, Millis now)> withdrawn = [](BackendId, Millis) { return false; };
    // The response to this request, which was reported with its flow, has ended; without a value: in a way
    // that says nothing about its backend.
    std::function<void(RequestId, std::optional<Ending>)> response_ended = [](RequestId,
                                                                              std::optional<Ending>) {};
    Recorder* recorder = nullptr;
  };

  // `flows`: the memory budget shared by all bodies that are streamed instead of buffered.
  Upstream(Loop& loop, Millis connect_timeout, Millis idle_timeout, Millis settle,
           std::shared_ptr<net::FlowBudget> flows, Listener listener);
  ~Upstream();

  // Applies reloaded settings. A connection carries no new attempt until `settle` ms after its last response.
  void adopt(Millis connect_timeout, Millis idle_timeout, Millis settle);

  // The request's last byte is written before `begin_by`, or the attempt ends as not sent.
  void send(RequestId request, int attempt, BackendId backend, const std::string& dial, Millis until,
            std::shared_ptr<const Message> message,
            Millis begin_by = std::numeric_limits<Millis>::infinity());
  void cancel(RequestId request, int attempt);
  // The request is over: cancels its attempts that were not written whole.
  void cancel_unsent(RequestId request);
  void probe(BackendId backend, const std::string& dial);
  // These backends must receive nothing new: ends unwritten attempts to them and closes idle connections.
  void withdraw(const std::vector<BackendId>& unwanted);
  // The backend process was restarted at `started`: closes idle connections opened before then, and marks
  // those in use as not reusable. Connections opened since may already lead to the new process, as lists
  // arrive late.
  void backend_restarted(BackendId backend, Millis started);
  void close_idle(const std::vector<BackendId>& backends);
  bool evict_idle();                 // closes the connection that has been idle for longest
  Millis oldest_idle_since() const;  // when that connection became idle; 0 = none is idle

  std::size_t connections() const;
  std::size_t idle() const;
  // Connections that carry a probe and were opened for it.
  std::size_t probing() const { return probing_; }
  std::uint64_t written() const { return written_; }  // attempts whose last byte was written
  std::uint64_t opened() const { return opened_; }
  std::uint64_t reused() const { return reused_; }

 private:
  struct Job;
  class Connection;
  class Connector;
  class Connections;
  class StreamedResponses;

  void start(BackendId backend, const std::string& dial, std::unique_ptr<Job> job);
  bool ended_by_pending_input(Connection& connection);
  // Other attempts at the same request that were written and have no response yet.
  int other_sent_attempts(const Connection& connection) const;
  void set_timer(Connection& connection);  // sets the one timer of what is under way there
  void on_timer(Connection& connection);
  void start_streaming(Connection& connection);
  void finish(Connection& connection, Ending ending, const Message* response, bool keep);
  void sweep();

  Loop& loop_;
  Listener listener_;
  const std::shared_ptr<net::FlowBudget> flows_;
  const std::unique_ptr<Connections> connections_;
  const std::unique_ptr<Connector> connector_;
  const std::unique_ptr<StreamedResponses> streamed_responses_;
  std::unordered_multimap<RequestId, Connection*> active_;  // connections carrying an attempt, by request
  std::size_t probing_ = 0;
  Loop::TimerId sweep_timer_ = 0;
  std::uint64_t last_serial_ = 0;
  std::uint64_t written_ = 0;
  std::uint64_t opened_ = 0;
  std::uint64_t reused_ = 0;
};

}  // namespace shorelead::node
