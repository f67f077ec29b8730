// The backends' side: attempts and probes under way on connections, and when each is over. It owns the
// connections and the time limits of what is under way. It must never send anything twice, never hand out a
// connection on which something came unasked, and never choose a backend.
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

// How an attempt or a probe ended; `answer` stands only during the call that tells it.
struct Result {
  Ending ending = Ending::kNotSent;
  Millis elapsed = 0;
  std::optional<LoadReport> load;
  const Message* answer = nullptr;
  std::shared_ptr<net::Flow>
      flow;  // the answer's body, where it goes on coming; whoever passes it on is its sink
};

class Upstream {
 public:
  struct Listener {
    std::function<void(RequestId, int attempt, const Result&)> attempt_done;
    std::function<void(BackendId, const Result&)> probe_done;
    // Whether a connection may be opened for an attempt or a probe; frees a descriptor where that is to be.
    std::function<bool(bool probe)> make_room;
    // Whether a connection is to be kept that carried one of the two.
    std::function<bool(bool probe)> keep;
    // Adds what is known of a request and a backend to what the connection knows, for the guard: asked in the
    // moment in which an attempt is to be written.
    std::function<void(RequestId, BackendId, Millis now, guard::RequestState&, guard::BackendState&)>
        describe = [](RequestId, BackendId, Millis, guard::RequestState&, guard::BackendState&) {};
    // Whether nothing new was to go to this backend by then, as the checker has it.
    std::function<bool(BackendId, Millis now)> withdrawn = [](BackendId, Millis) { return false; };
    Recorder* recorder = nullptr;
  };

  // `flows`: the memory for bodies that are not kept whole.
  Upstream(Loop& loop, Millis connect_timeout, Millis idle_timeout, Millis settle,
           std::shared_ptr<net::FlowBudget> flows, Listener listener);
  ~Upstream();

  // Times of new settings. A connection carries no attempt within `settle` of the answer to another.
  void adopt(Millis connect_timeout, Millis idle_timeout, Millis settle);

  // Its last byte goes out before `begin_by`, or it ends as not sent.
  void send(RequestId request, int attempt, BackendId backend, const std::string& dial, Millis until,
            std::shared_ptr<const Message> message,
            Millis begin_by = std::numeric_limits<Millis>::infinity());
  void call_off(RequestId request, int attempt);
  // The request is over: an attempt at it that waits for a connection is not to be written any more.
  void stop_unsent(RequestId request);
  void probe(BackendId backend, const std::string& dial);
  // Nothing new may go to these backends: ends what was not yet written and the connections kept.
  void withdraw(const std::vector<BackendId>& unwanted);
  // It was started anew: connections kept to the process before are closed, and those in use not kept. Lists
  // are late, so that there may be some to the new one already.
  void restarted(BackendId backend, Millis started);
  void close_unused(const std::vector<BackendId>& backends);
  bool evict_idle();            // closes the connection that was unused for longest
  Millis unused_since() const;  // of that connection; 0 = there is none

  std::size_t connections() const;
  std::size_t idle() const;
  std::size_t probing() const {
    return probing_;
  }  // connections that now carry a probe and were opened for it
  std::uint64_t written() const { return written_; }  // attempts, whole
  std::uint64_t opened() const { return opened_; }
  std::uint64_t reused() const { return reused_; }

 private:
  struct Job;
  class Connection;
  class Connecting;
  class Connections;
  class StreamedResponses;

  void begin(BackendId backend, const std::string& dial, std::unique_ptr<Job> job);
  bool over_by_now(Connection& connection);
  int others_out(
      const Connection& connection) const;  // attempts at the same request that were written and are out
  void watch(Connection& connection);
  void limit(Connection& connection);
  void pass_on(Connection& connection);
  void finish(Connection& connection, Ending ending, const Message* answer, bool keep);
  void sweep();

  Loop& loop_;
  Listener listener_;
  const std::unique_ptr<Connections> connections_;
  const std::unique_ptr<Connecting> connecting_;
  const std::unique_ptr<StreamedResponses> streamed_responses_;
  std::unordered_multimap<RequestId, Connection*> working_;  // connections that carry an attempt, by request
  std::size_t probing_ = 0;
  Loop::TimerId sweep_ = 0;
  std::uint64_t last_serial_ = 0;
  std::uint64_t written_ = 0;
  std::uint64_t opened_ = 0;
  std::uint64_t reused_ = 0;
};

}  // namespace shorelead::node
