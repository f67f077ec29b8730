#include "lab/etcd.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdio>
#include <cstdlib>

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr Millis kTroubleEvery = 20;
constexpr std::size_t kEventsALine = 3;    // more go in fragments or further lines
constexpr std::uint64_t kLostHistory = 6;  // changes that a restart forgets

std::string to_base64(const std::string& text) {
  std::string out(beast::detail::base64::encoded_size(text.size()), '\0');
  out.resize(beast::detail::base64::encode(out.data(), text.data(), text.size()));
  return out;
}

std::string of_base64(const std::string& text) {
  std::string out(beast::detail::base64::decoded_size(text.size()), '\0');
  out.resize(beast::detail::base64::decode(out.data(), text.data(), text.size()).first);
  return out;
}

// A string member's value; the node writes these texts without blanks.
std::string text_of(const std::string& body, const std::string& name) {
  const std::string start = "\"" + name + "\":\"";
  const std::size_t at = body.find(start);
  if (at == std::string::npos) return "";
  const std::size_t from = at + start.size();
  return body.substr(from, body.find('"', from) - from);
}

std::uint64_t number_of(const std::string& body, const std::string& name) {
  return std::strtoull(text_of(body, name).c_str(), nullptr, 10);
}

std::string quoted(std::uint64_t number) { return "\"" + std::to_string(number) + "\""; }

std::string chunk(const std::string& text) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

}  // namespace

// One connection: ranges in turn, or one watch.
class EtcdRegistry::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(EtcdRegistry& owner, std::size_t member, tcp::socket socket)
      : owner_(owner), member_(member), socket_(std::move(socket)) {
    parser_.emplace();
    parser_->eager(true);
  }

  void read() {
    socket_.async_read_some(asio::buffer(part_),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              if (error) return self->close();
                              self->input_.append(self->part_.data(), size);
                              self->parse();
                              if (!self->closed_) self->read();
                            });
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    const auto self = shared_from_this();
    error_code ignored;
    socket_.close(ignored);
    owner_.sessions_.erase(self);
  }

  bool watching() const { return watching_; }
  void go_deaf() { deaf_ = true; }

  // What the watch has not been told yet, as far as its member has got.
  void push() {
    if (!watching_ || closed_ || deaf_ || writing_) return;
    const std::uint64_t until = owner_.seen_by(member_);
    if (next_ > until) return;
    const auto changes = owner_.store_.changes(next_, until, from_, end_);
    if (!changes) {
      return send(
          chunk("{\"result\":{" + owner_.header(member_) +
                ",\"canceled\":true,\"compact_revision\":" + quoted(owner_.store_.compacted()) + "}}\n"),
          {}, true);
    }
    std::string text;
    std::vector<Told> says;
    std::string events;
    std::size_t count = 0;
    for (std::size_t n = 0; n < changes->size(); ++n) {
      const KeyChange& change = (*changes)[n];
      events += std::string(events.empty() ? "" : ",") + "{" +
                (change.deleted ? "\"type\":\"DELETE\"," : "") + "\"kv\":" + event_item(change) + "}";
      owner_.note(change.key, change.deleted, change.now.value, says);
      if (++count < kEventsALine && n + 1 < changes->size()) continue;
      const bool fragment = n + 1 < changes->size() && owner_.faults_.chance(0.5);
      text += chunk("{\"result\":{" + owner_.header(member_) + (fragment ? ",\"fragment\":true" : "") +
                    ",\"events\":[" + events + "]}}\n");
      events.clear();
      count = 0;
    }
    next_ = until + 1;
    if (!text.empty()) send(text, std::move(says), false);
  }

 private:
  static std::string event_item(const KeyChange& change) {
    std::string out =
        "{\"key\":\"" + to_base64(change.key) + "\",\"mod_revision\":" + quoted(change.revision);
    if (!change.deleted) out += ",\"value\":\"" + to_base64(change.now.value) + "\"";
    return out + "}";
  }

  void parse() {
    while (!closed_ && !watching_) {
      error_code error;
      const std::size_t used = parser_->put(asio::buffer(input_), error);
      input_.erase(0, used);
      if (error == http::error::need_more) return;
      if (error) return close();
      if (!parser_->is_done()) return;
      const std::string target(parser_->get().target());
      const std::string body = parser_->get().body();
      parser_.emplace();
      parser_->eager(true);
      if (target == "/v3/kv/range") {
        range(body);
      } else if (target == "/v3/watch") {
        watch(body);
      } else {
        answer("404 Not Found", "{}", {});
      }
      if (input_.empty()) return;
    }
  }

  void range(const std::string& body) {
    const std::uint64_t wanted = number_of(body, "revision");
    const std::uint64_t at = wanted > 0 ? wanted : owner_.seen_by(member_);
    const auto found =
        owner_.store_.range(of_base64(text_of(body, "key")), of_base64(text_of(body, "range_end")),
                            number_of(body, "limit"), at, number_of(body, "min_mod_revision"));
    if (found.compacted) {
      return answer("400 Bad Request",
                    "{\"error\":\"etcdserver: mvcc: required revision has been compacted\",\"code\":11}", {});
    }
    std::vector<Told> says;
    std::string items;
    if (!owner_.empty_) {
      for (const auto& [key, stored] : found.items) {
        items += (items.empty() ? "" : ",") + owner_.item(key, stored);
        owner_.note(key, false, stored.value, says);
      }
    }
    std::string text = "{" + owner_.header(member_);
    if (!items.empty()) text += ",\"kvs\":[" + items + "]";
    if (found.more && !owner_.empty_) text += ",\"more\":true";
    if (found.count > 0 && !owner_.empty_) text += ",\"count\":" + quoted(found.count);
    answer("200 OK", text + "}", std::move(says));
  }

  void watch(const std::string& body) {
    from_ = of_base64(text_of(body, "key"));
    end_ = of_base64(text_of(body, "range_end"));
    next_ = number_of(body, "start_revision");
    watching_ = true;
    send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
             chunk("{\"result\":{" + owner_.header(member_) + ",\"created\":true}}\n"),
         {}, false);
  }

  void answer(const std::string& status, const std::string& body, std::vector<Told> says) {
    send("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body,
         std::move(says), false);
  }

  // Some are cut after any byte of what is written. What counts as told went out whole.
  void send(const std::string& text, std::vector<Told> says, bool last) {
    auto out = std::make_shared<std::string>(text);
    const bool cut = owner_.faults_.chance(owner_.experiment_.discovery.cuts);
    if (cut) out->resize(owner_.faults_.whole(text.size()));
    writing_ = true;
    asio::async_write(socket_, asio::buffer(*out),
                      [self = shared_from_this(), out, says = std::move(says), cut, last](
                          const error_code& error, std::size_t) {
                        self->writing_ = false;
                        if (error || cut || last) return self->close();
                        for (Told told : says) {
                          told.at = clock_now();
                          self->owner_.told_.push_back(told);
                        }
                        self->push();
                      });
  }

  EtcdRegistry& owner_;
  const std::size_t member_;
  tcp::socket socket_;
  std::array<char, 4096> part_;
  std::string input_;
  std::optional<http::request_parser<http::string_body>> parser_;
  bool watching_ = false;
  bool deaf_ = false;
  bool writing_ = false;
  bool closed_ = false;
  std::string from_;
  std::string end_;
  std::uint64_t next_ = 0;
};

EtcdRegistry::EtcdRegistry(asio::io_context& context, const Experiment& experiment,
                           const std::string& address, std::function<std::string(int, int)> dial,
                           const std::vector<BoxNote>& boxes)
    : context_(context),
      experiment_(experiment),
      address_(address),
      dial_(std::move(dial)),
      boxes_(boxes),
      faults_(experiment.seed, "registry"),
      alarm_(context) {
  const auto members = static_cast<std::size_t>(experiment.discovery.members);
  ports_.resize(members);
  acceptors_.resize(members);
  lag_.resize(members);
  for (std::size_t member = 0; member < members; ++member) listen(member);
  trouble();
}

EtcdRegistry::~EtcdRegistry() {
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->close();
}

void EtcdRegistry::listen(std::size_t member) {
  const tcp::endpoint at(asio::ip::make_address(address_), ports_[member]);
  acceptors_[member] = std::make_unique<tcp::acceptor>(context_, at, true);
  ports_[member] = acceptors_[member]->local_endpoint().port();
  accept(member);
}

void EtcdRegistry::accept(std::size_t member) {
  acceptors_[member]->async_accept([this, member](const error_code& error, tcp::socket socket) {
    if (error) return;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto session = std::make_shared<Session>(*this, member, std::move(socket));
    sessions_.insert(session);
    session->read();
    accept(member);
  });
}

std::string EtcdRegistry::dial(int) const {
  std::string all;
  for (const unsigned short port : ports_) {
    all += (all.empty() ? "" : " ") + address_ + ":" + std::to_string(port);
  }
  return all;
}

std::string EtcdRegistry::list(int) const { return "{\"seq\":0,\"whole\":true,\"hosts\":[]}"; }

std::uint64_t EtcdRegistry::seen_by(std::size_t member) const {
  return store_.revision() > lag_[member] ? store_.revision() - lag_[member] : 1;
}

std::string EtcdRegistry::header(std::size_t member) const {
  return "\"header\":{\"cluster_id\":" + quoted(store_.cluster()) + ",\"member_id\":" + quoted(member + 1) +
         ",\"revision\":" + quoted(seen_by(member)) + ",\"raft_term\":\"2\"}";
}

std::string EtcdRegistry::item(const std::string& key, const StoredKey& stored) const {
  return "{\"key\":\"" + to_base64(key) + "\",\"create_revision\":" + quoted(stored.created) +
         ",\"mod_revision\":" + quoted(stored.changed) + ",\"version\":" + quoted(stored.version) +
         ",\"value\":\"" + to_base64(stored.value) + "\"}";
}

std::string EtcdRegistry::value(int box, BoxState state, int node) const {
  const BoxNote& note = boxes_[static_cast<std::size_t>(box)];
  return "{\"dial\":\"" + dial_(box, node) + "\",\"health\":\"" + name_of(state) + "\",\"site\":\"" +
         experiment_.fleet.zones[static_cast<std::size_t>(note.zone)] +
         "\",\"block\":" + std::to_string(note.cell) +
         ",\"share\":1.0,\"born_ms\":" + std::to_string(static_cast<long long>(note.born)) + "}";
}

void EtcdRegistry::note(const std::string& key, bool deleted, const std::string& value,
                        std::vector<Told>& says) const {
  const std::size_t slash = key.find('/', 1);
  if (key.compare(0, 2, "/n") != 0 || slash == std::string::npos) return;
  const auto box = box_of_.find(key.substr(slash + 1));
  if (box == box_of_.end()) return;
  const BoxState state = deleted                                           ? BoxState::kGone
                         : value.find("\"draining\"") != std::string::npos ? BoxState::kDraining
                                                                           : BoxState::kReady;
  says.push_back({std::atoi(key.c_str() + 2), box->second, state, 0});
}

void EtcdRegistry::publish(int box, BoxState state) {
  const std::string& host = boxes_[static_cast<std::size_t>(box)].host;
  box_of_[host] = box;
  states_[box] = state;
  for (int node = 0; node < experiment_.nodes.count; ++node) {
    const std::string key = "/n" + std::to_string(node) + "/" + host;
    if (state == BoxState::kGone) {
      store_.remove(key);
    } else {
      store_.put(key, value(box, state, node));
    }
  }
  poke();
}

void EtcdRegistry::poke() {
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->push();
}

// Members lag and catch up, history is compacted, watches go deaf.
void EtcdRegistry::trouble() {
  const DiscoverySpec& spec = experiment_.discovery;
  const Millis now = clock_now();
  if (spec.compact_every > 0 && now >= compact_at_) {
    compact_at_ = now + spec.compact_every;
    store_.compact(store_.revision());
  }
  for (std::uint64_t& lag : lag_) {
    if (spec.lag > 0) lag = faults_.chance(0.5) ? 0 : faults_.whole(static_cast<std::size_t>(spec.lag) + 1);
  }
  const auto sessions = sessions_;
  for (const auto& session : sessions) {
    if (session->watching() && faults_.chance(spec.deaf * kTroubleEvery / 1000)) session->go_deaf();
  }
  poke();
  alarm_.at(now + kTroubleEvery, nullptr, [this] { trouble(); });
}

void EtcdRegistry::down(bool on) {
  if (on == down_) return;
  down_ = on;
  error_code ignored;
  for (std::size_t member = 0; member < acceptors_.size(); ++member) {
    if (on) {
      acceptors_[member]->close(ignored);
    } else {
      listen(member);
    }
  }
  const auto sessions = sessions_;
  if (on) {
    for (const auto& session : sessions) session->close();
  }
}

// As from a copy of some changes ago; then boxes say again what they are.
void EtcdRegistry::restart() {
  store_.restore(store_.revision() > kLostHistory ? store_.revision() - kLostHistory : 1, clock_now());
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->close();
  const auto states = states_;
  for (const auto& [box, state] : states) publish(box, state);
}

void EtcdRegistry::lie_empty(bool on) {
  empty_ = on;
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->close();
}

}  // namespace shorelead::lab
