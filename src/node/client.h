// One client's connection: requests on it, one after the other, and the answers to them. It owns the bytes of
// the request at hand, and whether the connection goes on behind its answer. It must never choose an answer,
// nor answer a request twice.
#pragma once

#include <memory>
#include <string>

#include "manage/metrics.h"
#include "net/flow.h"
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

  // Who took it in.
  class Host {
   public:
    virtual ~Host() = default;
    virtual void begin(Client& client) = 0;  // the request at hand, whole or with its body still to come
    virtual void whole(Client& client) = 0;  // that body has come
    // The request cannot be gone on with: it is answered so, and nothing more of it runs.
    virtual void break_off(Client& client, int status, const char* cause, manage::RequestEnd end) = 0;
    virtual void release(Client& client, manage::RequestEnd end) = 0;  // the request is over
    virtual void forget(Client& client, Ending why) = 0;               // the connection is
    virtual void gone(RequestId request) = 0;                          // nobody waits for its answer any more
    virtual bool ends_with(const Client& client) const = 0;            // the answer at hand is to be its last
    virtual void answered(int status) = 0;
    virtual void left_early() = 0;  // it was gone when its request was read
    virtual void left_unanswered(const Client& client, Ending why) = 0;  // and here while it waited
    virtual void unused(bool stands) = 0;  // one more, or one less, has asked and stands unused
    virtual void free_again() = 0;         // it has had its answer and may give way
    virtual const std::shared_ptr<net::FlowBudget>& flows() const = 0;
  };

  Client(Loop& loop, Host& host, int fd) : stream(loop, *this, fd), loop_(loop), host_(host) {
    last_used = input_at = loop.now();
  }

  // Between requests, as far as has been read.
  bool idle() const { return state == State::kReading && begun_at == 0; }
  // Since when part of a request has lain here; 0: none does.
  Millis partial_since() const { return state == State::kReading ? begun_at : 0; }
  bool forwarding_request_body() const { return request_body != nullptr && !request_body->ended(); }

  void answer(const Refusal& words, bool end);
  void answer(int status, const char* words, Millis wait, bool end) {
    answer({status, words, "", wait}, end);
  }
  void pass(const Message& message);
  void pass_on(const Message& answer, std::shared_ptr<net::Flow> flow);  // while it comes
  void read_all();  // whatever lies there to be read, as far as it would be kept
  // Whether it still waits for its answer: looked at just before an attempt is written, so that none begins
  // for one whose end has come in but was not taken in yet. If not, its end is handled next.
  bool still_waits();
  // Ends an unused connection by halves: what crosses that is dropped, and never resets it. False where
  // something has come in, which is to be read first.
  bool part();
  // The same where its descriptor is needed at once: whether the connection may be closed now.
  bool yield();
  void leave_bodies();             // both end with the request or the connection
  void stand_unused(bool unused);  // counts it among those that have asked and stand unused, or no longer

  Stream stream;
  State state = State::kReading;
  std::shared_ptr<Message> message = std::make_shared<Message>(Parser::Kind::kRequest, net::kMaxRequestBody);
  RequestId request = 0;
  std::string class_name;  // of that request
  bool used = false;       // has carried a request
  bool answered_before = false;
  Millis begun_at = 0;  // when the request at hand began to come in; 0 = none has
  Millis input_at = 0;  // when the system took in what was read last
  Millis last_used = 0;
  bool taken = false;                                     // the request is in the request counters
  Millis wait = 0;                                        // that its client named
  std::shared_ptr<RequestBodyForwarder> request_body;     // its body, where that comes by parts
  std::shared_ptr<ResponseForwarder> response_forwarder;  // the answer's
  bool cut_short = false;          // its body comes, or came, by parts: it may be answered in the middle
  LingeringClose lingering_close;  // once it is closing

 private:
  void on_input(Stream&) override { guarded(&Client::take_input); }
  void on_flushed(Stream&) override;
  void on_end(Stream&, Ending ending) override;
  // Guards against a request without an answer where its handling throws.
  void guarded(void (Client::*step)()) {
    const std::shared_ptr<Client> hold = shared_from_this();
    node::guarded(
        request, [&] { (this->*step)(); },
        [&] { host_.break_off(*this, 500, "failed within this node", manage::RequestEnd::kBadGateway); });
  }
  void take_input();
  void read();
  void begin_request_body();
  void take_request_body();
  void pump();
  bool last() const;
  bool left_while_unread();
  void end_sending();
  void answered(bool bye);

  Loop& loop_;
  Host& host_;
  bool keep_alive_ = true;
  bool counted_ = false;  // among the unused
  bool told_to_go_on_ = false;
};

}  // namespace shorelead::node
