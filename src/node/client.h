// A client connection: reads its requests one at a time and writes their responses. Owns the bytes of the
// current request and decides whether the connection stays open after its response. The response itself is
// the caller's.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "guard/guard.h"
#include "manage/metrics.h"
#include "net/flow.h"
#include "node/client_memory.h"
#include "node/error_responses.h"
#include "node/guarded.h"
#include "node/lingering_close.h"
#include "node/net.h"
#include "node/request_body_forwarder.h"
#include "node/response_forwarder.h"
#include "policy/policy.h"

namespace shorelead::node {

class Client : public Stream::Handler, public std::enable_shared_from_this<Client> {
 public:
  enum class State { kReading, kWaiting, kForwarding, kClosing };

  // Implemented by the owner of the connection.
  class Host {
   public:
    virtual ~Host() = default;
    // A request has been received: whole, or its head where the body is streamed.
    virtual void begin(Client& client) = 0;
    virtual void body_complete(Client& client) = 0;  // a streamed body
    // The client's time is over, and its streamed body, which it may have written whole, has not been read
    // whole.
    virtual void body_overdue(Client& client) = 0;
    // Aborts the request: the client is answered with `status`, and all attempts end.
    virtual void abort(Client& client, int status, const char* cause, manage::RequestEnd end) = 0;
    virtual void release(Client& client, manage::RequestEnd end) = 0;  // the request has ended
    virtual void forget(Client& client, Ending why) = 0;               // closes the connection
    virtual void client_gone(RequestId request) = 0;       // no client waits for the response any more
    virtual bool is_last(const Client& client) const = 0;  // whether to close after the current response
    virtual void answered(int status) = 0;
    virtual void left_early() = 0;  // the client had gone when its request was read
    // The client has gone while it waited for its response.
    virtual void left_unanswered(const Client& client, Ending why) = 0;
    virtual void count_unused(bool unused) = 0;  // the connection is idle after a request, or no longer
    virtual void became_idle() = 0;              // the response is sent; the connection may be evicted
    virtual const std::shared_ptr<net::FlowBudget>& flows() const = 0;
    virtual ClientMemory& memory() = 0;
    virtual void relieve_memory() = 0;  // gives up connections until the limit is kept
  };

  Client(Loop& loop, Host& host, int fd) : stream(loop, *this, fd), loop_(loop), host_(host) {
    last_used = last_input_at = loop.now();
    stream.limit_reads(ClientMemory::kSmall);
  }

  // Between requests, by the input read so far.
  bool idle() const { return state == State::kReading && request_started_at == 0; }
  // Since when a request has been incomplete; 0: none is.
  Millis partial_since() const { return state == State::kReading ? request_started_at : 0; }
  bool forwarding_request_body() const { return request_body != nullptr && !request_body->ended(); }
  // Since when the receiver of a streamed body takes none of it; 0: it does, or none is streamed.
  Millis body_waits_since() const {
    if (state == State::kForwarding) return stream.flushed() ? 0 : response_forwarder->progress_at();
    return state == State::kWaiting && forwarding_request_body() ? request_body->paused_at() : 0;
  }

  // Answers with a response of this node's own; `force_close`: the connection closes after it in any case.
  void answer(const Refusal& refusal, bool force_close);
  void answer(int status, const char* cause, Millis retry_after, bool force_close) {
    answer({status, cause, "", retry_after}, force_close);
  }
  void send(const Message& response);                                      // a complete one
  void forward(const Message& response, std::shared_ptr<net::Flow> flow);  // while its body is received
  // Reads all pending input, up to the limit of what is kept.
  void read_all() {
    for (int read = 0; read < kMaxReads && !host_.memory().over() && stream.read_now(); ++read) continue;
  }
  // Whether the client still waits for its response. Checked just before an attempt is written, so that none
  // starts after the client's end has arrived but has not been handled; if so, that is handled next.
  bool still_waits();
  // Half-closes an idle connection: a request that crosses this is dropped without a reset. False if there is
  // unread input, which has to be read first.
  bool close_idle() {
    if (!guard::may_close_client({.under_way = !idle(), .unread = !stream.quiet()})) return false;
    set_unused(false);
    end_sending();
    return true;
  }
  // The same if its descriptor is needed at once: whether the connection may be closed now.
  bool try_evict() {
    if (state != State::kClosing) return close_idle() && stream.flushed() && stream.quiet();
    stream.read_now();
    return !stream.open() || stream.quiet();
  }
  void leave_bodies();  // ends the forwarding of both bodies
  // Idle after its first request.
  void set_unused(bool unused) {
    if (unused != std::exchange(counted_unused_, unused)) host_.count_unused(unused);
  }

  Stream stream;
  State state = State::kReading;
  std::shared_ptr<Message> message = std::make_shared<Message>(Parser::Kind::kRequest, net::kMaxRequestBody);
  RequestId request = 0;
  std::string class_name;   // of that request
  std::size_t charged = 0;  // bytes counted in ClientMemory
  bool used = false;        // has carried a request
  bool answered_before = false;
  Millis request_started_at = 0;  // when the first byte of the current request was read; 0 = none was
  Millis last_input_at = 0;       // when the system received the bytes that were read last
  Millis last_used = 0;
  bool has_effect = false;                             // the request is of a class that is not safe to repeat
  bool counted = false;                                // the request is in the request counters
  Millis timeout = 0;                                  // the client's, less the time in transit
  Millis due = 0;                                      // of the current request, by that
  std::shared_ptr<RequestBodyForwarder> request_body;  // null: the body is not streamed
  std::shared_ptr<ResponseForwarder> response_forwarder;  // null: no response is streamed
  bool streamed_body = false;      // had a streamed body, so its response may precede the end of that
  LingeringClose lingering_close;  // while closing

 private:
  static constexpr int kMaxReads = 16;  // in one read_all(): enough for a long request and some after it

  void on_input(Stream&) override { guarded(&Client::take_input); }
  void on_flushed(Stream&) override;
  void on_end(Stream&, Ending ending) override;
  // Runs a step so that the request is answered even if the step throws.
  void guarded(void (Client::*step)()) {
    const std::shared_ptr<Client> hold = shared_from_this();
    node::guarded(
        request, [&] { (this->*step)(); },
        [&] { host_.abort(*this, 500, "failed within this node", manage::RequestEnd::kBadGateway); });
  }
  void take_input();
  void read();
  void limit_read_ahead();
  void account();
  void read_buffered();
  void begin_request_body();
  void take_request_body();
  void pump();
  bool last() const;
  bool left_while_unread();
  void end_sending();
  void answered(bool closes);

  Loop& loop_;
  Host& host_;
  bool keep_alive_ = true;
  bool counted_unused_ = false;
  unsigned buffered_requests_ = 0;  // that were whole when their predecessor ended
  bool sent_continue_ = false;      // 100 Continue, for the current request
};

}  // namespace shorelead::node
