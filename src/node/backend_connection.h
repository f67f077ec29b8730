// One connection to a backend and the job that it carries: the request being written and the response being
// read. It writes a request only if the guard allows it at that moment.
#pragma once

#include <cstdint>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "node/upstream.h"

namespace shorelead::node {

constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

// An attempt or a probe.
struct Upstream::Job {
  bool probe = false;
  RequestId request = 0;
  int attempt = 0;
  Millis started = 0;
  Millis until = 0;
  Millis begin_by = kNever;    // the last byte must be written before then
  Millis connect_by = kNever;  // the connection must be established by then
  Millis connect_started = 0;  // when the connect began
  Millis retry_at = kNever;    // when to retry a connect that failed locally
  int local_failures = 0;      // connects in a row that failed locally
  std::shared_ptr<const Message> message;
  Loop::TimerId timer = 0;
  std::uint64_t serial = 0;
  bool counted = false;         // in Upstream::written_
  bool response_begun = false;  // a response of unknown length has begun
  bool buffer_whole = false;    // it is forwarded only if it is whole in time
};

// One connection to a backend, its job if it carries one, and the response received so far.
class Upstream::Connection : public Stream::Handler, public std::enable_shared_from_this<Connection> {
 public:
  Connection(Upstream& owner, BackendId backend, std::string dial,
             const std::optional<Poco::Net::SocketAddress>& address);

  bool idle() const { return stream.open() && job == nullptr && response_flow == nullptr; }
  // Whether the whole request was written, so that the backend may have begun to process it.
  bool written() const { return sent && stream.flushed() && !sending_body(); }

  // Writes the request if the guard allows it. If unread input is pending the job ends as `if_unread`.
  void write_request(Ending if_unread);
  // A streamed request body is still being sent.
  bool sending_body() const { return body && !body_sent; }
  void detach_body();
  // When the job's timer next expires, unless the job makes progress first.
  Millis next_check() const;

  void on_connected(Stream&) override;
  void on_input(Stream&) override;
  void on_flushed(Stream&) override;
  void on_end(Stream&, Ending ending) override;

  Upstream& owner;
  const BackendId backend;
  const std::string dial;
  const Millis opened_at;
  Stream stream;
  std::unique_ptr<Job> job;
  std::shared_ptr<net::Flow> body;  // of the current request, if it is streamed
  bool body_sent = false;           // its last part was passed to the stream
  Millis body_progress = 0;
  std::shared_ptr<net::Flow> response_flow;  // set while the response is being forwarded
  struct Attempt {
    RequestId request = 0;
    int number = 0;
  };
  Attempt forwarded;              // whose response is being forwarded
  bool request_complete = false;  // the forwarded response's request was written whole
  Millis last_received = 0;       // when a part of the forwarded response last arrived
  bool sent = false;              // the job's request was passed to the stream
  bool opened_for_probe = false;  // and still carries that probe
  bool withdrawn = false;         // not to be reused: its backend was withdrawn or restarted
  Message response{Parser::Kind::kResponse};
  Millis idle_since = 0;
  Millis settled_at = 0;  // until then a duplicate response to the last attempt may arrive
  std::optional<std::list<Connection*>::iterator> idle_pos;  // position in the list of idle connections
  Millis idle_time = 0;                                      // how long it was idle before the current job

 private:
  void receive();
  void count_memory();
  bool scarce() const;
  guard::Verdict may_write(Millis now) const;
  void end_unsent(Ending ending);
  void start_body();
  void send_body();
  void count_if_written();
  Ending ending_for_status(int status) const;
  Ending ending_for_break(Ending ending) const;

  net::MemoryCharge memory_;  // what of its response is held here and not in a flow
};

}  // namespace shorelead::node
