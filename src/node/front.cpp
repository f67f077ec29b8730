#include "node/front.h"

#include <Poco/Net/ServerSocket.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace shorelead::node {
namespace {

// A client counts its wait from when it sent the request, this node from when it came in; and the answer has
// to get there.
constexpr Millis kTransit = 5;
constexpr double kTransitShare = 0.1;       // but no more than this part of the wait
constexpr Millis kLinger = 1000;            // for a client to close after its last answer
constexpr Millis kPause = 20;               // accepting stopped for want of descriptors
constexpr std::size_t kMostAhead = 131072;  // bytes taken of what follows the request at hand
constexpr std::size_t kMostLeft = 1048576;  // and of what follows the last answer
constexpr int kBacklog = 1024;
constexpr double kLeastRate = 32;      // bytes a ms: of a body, what a client has to bring on the whole
constexpr Millis kStandstill = 10000;  // for which a client may take nothing of an answer

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
  }
  return "Unknown";
}

}  // namespace

class Front::Client : public Stream::Handler {
 public:
  enum class State { kReading, kWaiting, kPassing, kClosing };

  Client(Front& owner, int fd) : owner(owner), stream(owner.loop_, *this, fd) {
    last_used = input_at = owner.loop_.now();
  }

  // Between requests, as far as has been read.
  bool idle() const { return state == State::kReading && begun_at == 0; }

  // Little is lost if it is closed now: it had its answer and asks for nothing yet, or it has connected and
  // said nothing for longer than one does who has something to ask.
  bool dispensable(Millis now) const {
    if (state == State::kClosing) return stream.flushed();
    return idle() && (used || now - last_used >= owner.waits_.speak);
  }

  void on_input(Stream&) override {
    if (state == State::kClosing) {
      left += stream.input().size();
      stream.input().clear();
      input_at = owner.loop_.now();
      // Guards against work for a client that sends on without end.
      if (left > most_left) owner.forget(*this);
      return;
    }
    input_at = owner.loop_.now() - stream.waited();
    if (state == State::kReading) return read();
    if (uploading()) return take_upload();
    if (stream.input().size() > kMostAhead) stream.want_input(false);
  }

  void read() {
    std::string& input = stream.input();
    if (input.empty()) return;
    if (begun_at == 0) begun_at = input_at;
    const Parser::State parsed = message->parser.advance(input);
    if (parsed == Parser::State::kBad) {
      return answer(message->parser.refusal(), message->parser.cause(), 0, true);
    }
    if (parsed != Parser::State::kDone) {
      if (parsed == Parser::State::kBody && !told_to_go_on && message->head().find(input, "expect")) {
        told_to_go_on = true;
        const std::array<std::string_view, 1> pieces = {"HTTP/1.1 100 Continue\r\n\r\n"};
        stream.send(pieces);
      }
      if (parsed == Parser::State::kBody && message->parser.large()) begin_upload();
      return;
    }
    // Guards against sending on for a client that left while its request lay unread: that end came right
    // behind.
    if (stream.ended()) {
      ++owner.counters_.left_early;
      return owner.forget(*this);
    }
    // The message keeps its bytes, whatever comes in after them.
    const std::size_t size = message->parser.size();
    std::string rest = input.size() > size ? input.substr(size) : std::string();
    message->raw = std::move(input);
    message->raw.resize(size);
    input = std::move(rest);
    keep_alive = message->head().keep_alive;
    used = true;
    stand_unused(false);
    state = State::kWaiting;
    owner.begin(*this);
  }

  // ---- a request's body that comes by parts ----

  bool uploading() const { return upload != nullptr && !upload->ended(); }

  void begin_upload() {
    if (stream.ended()) {
      ++owner.counters_.left_early;
      return owner.forget(*this);
    }
    used = true;
    stand_unused(false);
    state = State::kWaiting;
    most_left = net::kMostLength;
    const auto& flows = owner.listener_.flows;
    // Never sent on, so trying again is harmless.
    if (!flows || !flows->room())
      return answer(flows ? 503 : 413, "no memory for one more large body", 0, true);
    message->raw = std::exchange(stream.input(), {});
    std::string first = message->parser.take_body(message->raw);
    keep_alive = message->head().keep_alive;
    upload = message->flow = std::make_shared<net::Flow>(flows, message->parser.length());
    upload->put(std::move(first));
    upload->set_source({[this] {
                          held += owner.loop_.now() - std::exchange(held_at, 0);
                          stream.want_input(true);
                        },
                        {}});
    owner.begin(*this);
  }

  void take_upload() {
    const std::shared_ptr<Client> hold = owner.clients_.at(this);
    const std::shared_ptr<net::Flow> flow = upload;
    message->raw += std::exchange(stream.input(), {});
    const Parser::State parsed = message->parser.advance(message->raw);
    if (parsed == Parser::State::kBad) {
      return owner.spoil(*this, message->parser.refusal(), message->parser.cause());
    }
    std::string part = message->parser.take_body(message->raw);
    if (parsed == Parser::State::kDone) {
      stream.input() = message->raw.substr(message->parser.size());
      message->raw.resize(message->parser.size());
      owner.whole(*this);
      flow->put(std::move(part));
      return flow->end();
    }
    flow->put(std::move(part));
    if (!flow->full() || !uploading()) return;
    held_at = owner.loop_.now();
    stream.want_input(false);
  }

  // Whether the client brings less than the least rate, for what it has brought so far; while this node holds
  // it back, time stands.
  bool slow(Millis now) const {
    if (held_at > 0) return false;
    const auto come = static_cast<double>(upload ? upload->passed() : stream.held());
    return now - begun_at - held >= owner.waits_.request + come / kLeastRate;
  }

  // ---- an answer that is passed on while it comes ----

  void pass_on(const Message& answer, const std::shared_ptr<net::Flow>& flow) {
    ++owner.counters_.by_status[200];
    std::vector<std::string_view> pieces = {"HTTP/1.1 200 OK\r\n"};
    pass_fields(answer.head(), answer.raw, pieces);
    chunked = !flow->length() && message->head().minor == 1;
    std::string own;
    if (flow->length()) own = "Content-Length: " + std::to_string(*flow->length()) + "\r\n";
    if (chunked) own = "Transfer-Encoding: chunked\r\n";
    // Without a length and chunks the end of the connection is the end of the body.
    last_here = last() || (!flow->length() && !chunked);
    if (last_here) own += "Connection: close\r\n";
    own += "\r\n";
    pieces.push_back(own);
    state = State::kPassing;
    download = flow;
    moved_at = owner.loop_.now();
    stream.bound_send_buffer();
    stream.send(pieces);
    download->set_sink({[this] { pump(); }, [this] { pump(); }});
    pump();
  }

  void pump() {
    if (state != State::kPassing || !stream.open() || !stream.flushed()) return;
    const std::shared_ptr<net::Flow> flow = download;
    const std::string part = flow->take();
    const bool last_part = flow->ended() && flow->empty();
    if (!part.empty() || last_part) {
      moved_at = owner.loop_.now();
      stream.send(net::FramedPart(part, chunked, last_part).pieces());
    }
    if (last_part) {
      owner.release(*this, manage::End::kPassed);
      return answered(last_here);
    }
    if (!flow->was_cut() || !stream.flushed()) return;
    // The client must see that it is not whole: an end of the connection alone may be one of the body.
    owner.release(*this, manage::End::kBadGateway);
    if (!flow->length() && !chunked) stream.reset_on_close();
    owner.forget(*this);
  }

  // Both bodies end with the request or the connection.
  void leave_bodies() {
    if (upload) {
      upload->set_source({});
      upload->cut();
      upload.reset();
    }
    if (download) {
      download->clear_sink();
      download->leave();
      download.reset();
    }
  }

  void answer(int status, std::string_view words, Millis wait, bool end) {
    ++owner.counters_.by_status[status];
    if (status / 100 == 4) ++owner.counters_.malformed;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\n";
    if (wait > 0) {
      std::array<char, 32> text{};
      std::snprintf(text.data(), text.size(), "%.3f", wait / 1000);
      head += std::string("Retry-After: ") + text.data() + "\r\n";
    }
    head += "Content-Type: text/plain\r\nContent-Length: " + std::to_string(words.size() + 1) + "\r\n";
    if (end) keep_alive = false;
    const bool bye = last();
    if (bye) head += "Connection: close\r\n";
    head += "\r\n";
    const std::array<std::string_view, 3> pieces = {head, words, "\n"};
    stream.send(pieces);
    answered(bye);
  }

  void pass(const Message& message) {
    ++owner.counters_.by_status[200];
    std::vector<std::string_view> pieces = {"HTTP/1.1 200 OK\r\n"};
    pass_fields(message.head(), message.raw, pieces);
    std::string own = "Content-Length: " + std::to_string(message.body().size()) + "\r\n";
    if (this->message->head().method.in(this->message->raw) == "HEAD") {
      const std::string_view stated = message.value("content-length");
      own = stated.empty() ? std::string() : "Content-Length: " + std::string(stated) + "\r\n";
    }
    const bool bye = last();
    if (bye) own += "Connection: close\r\n";
    own += "\r\n";
    pieces.push_back(own);
    pieces.push_back(message.body());
    stream.send(pieces);
    answered(bye);
  }

  // Whether the answer is the last on this connection. Where room is short, a client that is told so makes
  // room without harm, while closing on one that is idle may cross its next request.
  // So is the first answer on a connection where many already stand unused: clients that ask once and stay
  // would soon hold all that they may, and leave none to those who come and go.
  bool last() const {
    const bool stays = !answered_before && owner.listener_.many_unused(owner.unused_);
    return !keep_alive || uploading() || owner.drain_ != manage::DrainState::kServing || owner.paused_ ||
           stays || owner.listener_.crowded();
  }

  // Counts this connection among those that have asked and now stand unused, or no longer.
  void stand_unused(bool unused) {
    if (unused == counted) return;
    counted = unused;
    unused ? ++owner.unused_ : --owner.unused_;
  }

  void answered(bool bye) {
    leave_bodies();
    request = 0;
    begun_at = held = held_at = 0;
    told_to_go_on = false;
    last_used = owner.loop_.now();
    answered_before = true;
    stand_unused(!bye);
    if (bye) {
      // Closed by halves: with bytes unread, a close would reset the connection and take the answer along.
      state = State::kClosing;
      stream.want_input(true);
      if (stream.flushed()) stream.close_sending();
      return;
    }
    state = State::kReading;
    if (owner.paused_) owner.loop_.later([&front = owner] { front.look_for_room(); });
    message = std::make_shared<Message>(Parser::Kind::kRequest, net::kMostLength);
    stream.want_input(true);
    if (!stream.input().empty()) {
      // The next request has come already; not from within this one's answer.
      owner.loop_.later([this, hold = owner.clients_.at(this)] {
        if (stream.open() && state == State::kReading) read();
      });
    }
  }

  void on_flushed(Stream&) override {
    if (state == State::kPassing) return pump();
    if (state == State::kClosing) stream.close_sending();
  }

  void on_end(Stream&, Ending ending) override {
    if (state == State::kWaiting) {
      spdlog::debug("client gone ({}) with request {} under way", name_of(ending), request);
      const RequestId gone = request;
      owner.release(*this, manage::End::kLeft);
      owner.forget(*this);
      if (gone != 0) owner.listener_.gone(gone);
      return;
    }
    if (state == State::kPassing) owner.release(*this, manage::End::kLeft);
    owner.forget(*this);
  }

  Front& owner;
  Stream stream;
  State state = State::kReading;
  std::shared_ptr<Message> message = std::make_shared<Message>(Parser::Kind::kRequest, net::kMostLength);
  RequestId request = 0;
  std::string class_name;  // of that request
  bool keep_alive = true;
  bool used = false;     // has carried a request
  bool counted = false;  // among the unused
  bool answered_before = false;
  bool told_to_go_on = false;
  Millis begun_at = 0;  // when the request at hand began to come in; 0 = none has
  Millis input_at = 0;  // when the system took in what was read last
  Millis last_used = 0;
  std::size_t left = 0;  // bytes that came after the last answer
  std::size_t most_left = kMostLeft;
  bool taken = false;                   // the request is in the ledger
  Millis wait = 0;                      // that its client named
  std::shared_ptr<net::Flow> upload;    // its body
  Millis held = 0;                      // for so long this node held the body back
  Millis held_at = 0;                   // and does since then
  std::shared_ptr<net::Flow> download;  // the answer's
  bool chunked = false;                 // and how it goes on
  bool last_here = false;
  Millis moved_at = 0;
};

Front::Front(Loop& loop, const Entry& entry, std::shared_ptr<const Traffic> traffic, Listener listener,
             const Waits& waits)
    : loop_(loop), readings_(std::move(traffic)), listener_(std::move(listener)), waits_(waits) {
  if (entry.listening >= 0) {
    socket_ = std::make_unique<net::Descriptor>(entry.listening);
  } else {
    auto socket = std::make_unique<Poco::Net::ServerSocket>();
    socket->bind(entry.address, true, entry.shared);
    socket->listen(kBacklog);
    socket_ = std::move(socket);
  }
  for (const std::string& name : readings_.in_force().names) ledger_.name_class(name);
  socket_->setBlocking(false);
  watch_ = std::make_unique<Watch>(loop_, *socket_, *this, true, false);
  sweep();
}

Front::~Front() {
  loop_.cancel(resume_);
  loop_.cancel(sweep_);
}

unsigned short Front::port() const { return socket_ ? socket_->address().port() : 0; }

void Front::on_readable() { accept_all(); }

void Front::accept_all() {
  while (socket_ && !held_) {
    const int fd = ::accept4(socket_->impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        if (!evict_idle()) pause_accepting();
      }
      return;
    }
    ++counters_.accepted;
    const auto client = std::make_shared<Client>(*this, fd);
    clients_.emplace(client.get(), client);
    if (!listener_.make_room()) return pause_accepting();  // for the next one
  }
}

// Whoever wants in waits in the backlog until a client is idle or gone, or a descriptor is free.
void Front::pause_accepting() {
  if (paused_ || !watch_) return;
  paused_ = true;
  ++counters_.paused;
  watch_->want_read(false);
  resume_ = loop_.after(kPause, [this] { look_for_room(); });
}

void Front::look_for_room() {
  loop_.cancel(resume_);
  if (!paused_ || !watch_) return;
  if (!listener_.make_room()) {
    resume_ = loop_.after(kPause, [this] { look_for_room(); });
    return;
  }
  paused_ = false;
  watch_->want_read(!held_);
  accept_all();
}

void Front::hold(bool held) {
  held_ = held;
  if (!watch_ || paused_) return;
  watch_->want_read(!held);
  accept_all();
}

void Front::begin(Client& client) {
  const Message& message = *client.message;
  const std::string_view target = message.head().target.in(message.raw);
  if (target == "/-/ready") {
    const bool ready = listener_.ready();
    return client.answer(ready ? 200 : 503, ready ? "ready" : "not ready", 0, false);
  }
  Ask ask;
  Way way;
  const char* cause = "";
  const int refusal = readings_.read(message, loop_.now(), ask, way, cause);
  if (refusal != 0) return client.answer(refusal, cause, 0, false);
  // Guards against another's request being taken for a repeat of this one, by a backend or by whoever reads
  // its records.
  if (!open_ids_.emplace(message.value("x-request-id")).second) {
    return client.answer(409, "a request with this X-Request-ID is open", 0, false);
  }
  const Millis wait = ask.due;
  // From its last byte, which came with what was read last.
  client.wait = wait - std::min(kTransit, kTransitShare * wait);
  ask.due = client.input_at + client.wait;
  ask.body_comes = client.uploading();
  client.request = ++last_request_;
  waiting_[client.request] = &client;
  client.class_name = way.traffic->names[static_cast<std::size_t>(way.request_class)];
  client.taken = false;
  if (!client.uploading()) take(client);
  listener_.request(client.request, ask, way, client.message);
}

void Front::go_by(std::shared_ptr<const Traffic> traffic) {
  readings_.go_by(std::move(traffic), loop_.now());
  for (const std::string& name : readings_.in_force().names) ledger_.name_class(name);
}

// The request at hand has its answer, or nobody waits for it any more.
void Front::release(Client& client, manage::End end) {
  if (waiting_.erase(client.request) == 0) return;
  // One that was never whole and has no answer was none.
  if (!client.taken && end != manage::End::kLeft) take(client);
  if (std::exchange(client.taken, false)) ledger_.ended(client.class_name, end);
  open_ids_.erase(std::string(client.message->value("x-request-id")));
}

void Front::take(Client& client) {
  client.taken = true;
  ledger_.taken(client.class_name);
}

void Front::whole(Client& client) {
  if (waiting_.count(client.request) == 0) return;
  take(client);
  listener_.body_whole(client.request, client.input_at + client.wait);
}

// What came of the request at hand cannot become one, or takes too long: nothing of it may run.
void Front::spoil(Client& client, int status, const char* cause) {
  const RequestId gone = client.request;
  release(client, manage::End::kLeft);
  client.upload->cut();
  client.answer(status, cause, 0, true);
  if (gone != 0) listener_.gone(gone);
}

void Front::serve(RequestId request, const Message& answer, std::shared_ptr<net::Flow> flow) {
  const auto it = waiting_.find(request);
  if (it == waiting_.end()) return;
  Client& client = *it->second;
  if (flow) return client.pass_on(answer, flow);
  release(client, manage::End::kPassed);
  client.pass(answer);
}

void Front::refuse(RequestId request, Millis wait, int status, const char* cause) {
  const auto it = waiting_.find(request);
  if (it == waiting_.end()) return;
  Client& client = *it->second;
  release(client, manage::End::kDropped);
  client.answer(status, cause, wait, false);
}

void Front::fail(RequestId request, int status) {
  const auto it = waiting_.find(request);
  if (it == waiting_.end()) return;
  Client& client = *it->second;
  release(client, manage::End::kBadGateway);
  client.answer(status, "failed", 0, false);
}

bool Front::evict_idle() {
  const Millis now = loop_.now();
  std::vector<Client*> spare;
  for (const auto& [client, hold] : clients_) {
    if (client->dispensable(now)) spare.push_back(client);
  }
  // Who never asked for anything first, then who has not for longest.
  const auto after = [](const Client* a, const Client* b) {
    return std::pair(a->used, a->last_used) > std::pair(b->used, b->last_used);
  };
  std::make_heap(spare.begin(), spare.end(), after);
  while (!spare.empty()) {
    Client* const client = spare.front();
    if (client->stream.close_quiet()) {
      ++counters_.evicted;
      forget(*client);
      return true;
    }
    std::pop_heap(spare.begin(), spare.end(), after);  // something has come in, to be read next
    spare.pop_back();
  }
  return false;
}

void Front::follow(manage::DrainState state) {
  drain_ = state;
  if (state == manage::DrainState::kDrained) close_idle(true);
}

void Front::close_idle(bool only_used) {
  const auto clients = clients_;
  for (const auto& [client, hold] : clients) {
    if (client->idle() && (client->used || !only_used) && client->stream.close_quiet()) forget(*client);
  }
}

void Front::close_listener() {
  accept_all();
  watch_.reset();
  socket_.reset();
}

bool Front::empty() {
  close_idle(false);
  return clients_.empty();
}

void Front::give_up() {
  std::vector<RequestId> open;
  for (const auto& [request, client] : waiting_) open.push_back(request);
  for (const RequestId request : open) {
    const auto it = waiting_.find(request);
    // What has begun to go on cannot have another answer: its end shows that it is not whole.
    if (it == waiting_.end() || it->second->state == Client::State::kPassing) continue;
    fail(request, 504);
    listener_.gone(request);
  }
}

// Closes a connection; it is freed once the handler at hand, which may be its own, is done.
void Front::forget(Client& client) {
  client.stream.close();
  client.leave_bodies();
  client.stand_unused(false);
  const auto it = clients_.find(&client);
  if (it == clients_.end()) return;
  loop_.later([hold = it->second] {});
  clients_.erase(it);
  if (paused_) loop_.later([this] { look_for_room(); });
}

bool Front::overdue(const Client& client, Millis now) const {
  if (client.state == Client::State::kWaiting) return client.uploading() && client.slow(now);
  if (client.state == Client::State::kPassing)
    return !client.stream.flushed() && now - client.moved_at >= kStandstill;
  if (client.state == Client::State::kClosing) {
    // One that was answered in the middle of its body may have to send for a while before it reads.
    return now - (client.most_left > kMostLeft ? std::max(client.last_used, client.input_at)
                                               : client.last_used) >=
           kLinger;
  }
  if (client.begun_at > 0) return client.slow(now);
  if (drain_ == manage::DrainState::kDrained) return client.used || now - client.last_used >= waits_.speak;
  const Millis most = !client.used ? waits_.request : listener_.roomy() ? waits_.idle : waits_.idle_crowded;
  return now - client.last_used >= most;
}

// Guards against clients that hold a connection and ask for nothing, or never for all of it.
void Front::sweep() {
  readings_.forget_past(loop_.now());
  const Millis now = loop_.now();
  std::vector<std::shared_ptr<Client>> found;
  for (const auto& [client, hold] : clients_) {
    if (overdue(*client, now)) found.push_back(hold);
  }
  for (const auto& client : found) {
    if (client->state == Client::State::kClosing || client->state == Client::State::kPassing) {
      release(*client, manage::End::kLeft);
      forget(*client);
    } else if (client->state == Client::State::kWaiting) {
      spoil(*client, 408, "the body does not come");
    } else if (client->begun_at > 0) {
      client->answer(408, "request did not come whole", 0, true);
    } else if (client->stream.close_quiet()) {
      ++(client->used ? counters_.idle : counters_.silent);
      forget(*client);
    }
  }
  sweep_ = loop_.after(waits_.sweep, [this] { sweep(); });
}

}  // namespace shorelead::node
