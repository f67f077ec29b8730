// One connection to a backend, with what is under way on it: the request as it goes out, and the answer as it
// comes. It owns the connection and both. It must never choose what it carries, nor write it once it may not
// be.
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

// One attempt or probe under way.
struct Upstream::Job {
  bool probe = false;
  RequestId request = 0;
  int attempt = 0;
  Millis started = 0;
  Millis until = 0;
  Millis begin_by = kNever;       // its last byte is not to go out from then on
  Millis connect_by = kNever;     // nor is its connection waited for
  Millis connecting = 0;          // since then
  Millis connect_again = kNever;  // where this machine could not begin it
  int connect_tries = 0;          // that failed so
  std::shared_ptr<const Message> message;
  Loop::TimerId limit = 0;
  std::uint64_t serial = 0;
  bool counted = false;  // among the attempts written whole
  bool begun = false;    // an answer of unknown length is coming
};

// One connection to a backend, with the job that it carries, if any, and its answer as far as it has come.
class Upstream::Connection : public Stream::Handler, public std::enable_shared_from_this<Connection> {
 public:
  Connection(Upstream& owner, BackendId backend, std::string dial,
             const std::optional<Poco::Net::SocketAddress>& address);

  bool idle() const { return stream.open() && job == nullptr && answer_flow == nullptr; }
  // Whether the backend can have begun what this connection carries.
  bool written() const { return asked && stream.flushed() && !sending_body(); }

  // Writes it, unless it may not be, or something lies there unread: then the attempt ends as `if_not_quiet`.
  void write_request(Ending if_not_quiet);
  // A request's body that comes by parts is still going out.
  bool sending_body() const { return body && !body_sent; }
  void leave_body();
  // When the job at hand is to be looked at, unless it has come further by then.
  Millis limit() const;
  // No more of the answer that is being passed on will come, or is wanted.
  void end_flow(bool whole);

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
  std::shared_ptr<net::Flow> body;  // of the request at hand, if it comes by parts
  bool body_sent = false;           // and its last byte was handed to the stream
  Millis body_moved = 0;
  std::shared_ptr<net::Flow> answer_flow;  // the answer is being passed on
  bool clean = false;                      // the request before it was written whole
  Millis moved_at = 0;                     // when some of it last came
  bool asked = false;                      // the request of this job was handed to the stream
  bool opened_for_probe = false;           // and it carries that probe still
  bool withdrawn = false;  // not to be kept: its backend was withdrawn, and its number may go to another
  Message answer{Parser::Kind::kResponse};
  Millis unused_since = 0;
  Millis settled_at = 0;  // till then a second answer to its last attempt may come
  std::optional<std::list<Connection*>::iterator> unused;  // its place among them
  Millis age = 0;                                          // for how long it had stood unused before this job

 private:
  guard::Verdict may_write(Millis now) const;
  void end_unsent(Ending ending);
  void begin_body();
  void send_body();
  void note_written();
  void flow_on();
  Ending judge(int status) const;
  Ending broken(Ending ending) const;
};

}  // namespace shorelead::node
