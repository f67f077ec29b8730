#include "lab/load.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <optional>

#include "lab/dial.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr int kClients = 200;  // that take turns, by name
constexpr Millis kBeyondDue =
    1000;  // a client goes on reading so long, or lateness could not be told from silence
constexpr Millis kSettleEvery = 50;
constexpr std::size_t kSendAtOnce = 256;  // then others get their turn

std::string_view value_of(std::string_view body, std::string_view name) {
  const std::size_t at = body.find(name);
  if (at == std::string_view::npos) return {};
  const std::size_t from = at + name.size();
  return body.substr(from, body.find(';', from) - from);
}

}  // namespace

// What somebody wants, over all tries.
struct Load::Wish {
  int request_class = 0;
  Millis intended = 0;
  Millis give_up = 0;  // the moment
  std::string key;
  int tries = 0;
  std::uint32_t chain = 0;
};

// One connection of a client and the request on it.
class Load::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(Load& owner, int node)
      : owner_(owner), node_(node), socket_(owner.context_), timer_(owner.context_) {}

  void ask(std::shared_ptr<Wish> wish, std::size_t record) {
    wish_ = std::move(wish);
    before_ = record_;
    record_ = record;
    again_ = false;
    compose();
    if (Millis leave = draw_leave(); leave > 0) {
      timer_.expires_at(clock_point(leave));
      timer_.async_wait([self = shared_from_this()](const error_code& error) {
        if (!error) self->finish(ClientEnd::kLeft);
      });
    } else {
      arm_silence();
    }
    connected_ ? write() : connect();
  }

  void drop() {
    dead_ = true;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  Asked& record() { return owner_.records_[record_]; }

  Millis draw_leave() {
    const ClientsSpec& habits = owner_.experiment_.clients;
    if (!owner_.habits_.chance(habits.leave)) return 0;
    return clock_now() + owner_.habits_.uniform(1, std::max(2.0, record().due - clock_now()));
  }

  void arm_silence() {
    timer_.expires_at(clock_point(record().due + kBeyondDue));
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->finish(self->got_any_ ? ClientEnd::kCut : ClientEnd::kSilent);
    });
  }

  void compose() {
    const ClassRules& rules =
        owner_.experiment_.classes[static_cast<std::size_t>(wish_->request_class)].rules;
    const bool safe = rules.effect == Effect::kSafe;
    const long wait = std::max(1L, std::lround(std::floor(record().due - clock_now())));
    const std::string body = safe ? "" : "{\"wish\":" + std::to_string(wish_->chain) + "}";
    text_ = (safe ? "GET /" : "POST /") + rules.name + "/w" + std::to_string(wish_->chain) +
            " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: " + record().id +
            "\r\nX-Timeout-Ms: " + std::to_string(wait) + "\r\n";
    text_ += "X-Client-ID: c" + std::to_string(wish_->chain % kClients) + "\r\n";
    if (wish_->tries > 1) text_ += "X-Retried: 1\r\n";
    if (!wish_->key.empty()) text_ += "Idempotency-Key: " + wish_->key + "\r\n";
    if (!safe) text_ += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text_ += "\r\n" + body;
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(1U << 20);
    input_.clear();
    got_any_ = false;
    busy_ = true;
  }

  void connect() {
    const std::string& dial = owner_.front_.addresses[static_cast<std::size_t>(node_)];
    socket_.async_connect(endpoint_of(dial), [self = shared_from_this()](const error_code& error) {
      if (self->dead_) return;
      if (error) return self->finish(ClientEnd::kNoConnection);
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->connected_ = true;
      self->write();
      self->read();
    });
  }

  void write() {
    asio::async_write(socket_, asio::buffer(text_),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                        if (self->dead_ || !self->busy_) return;
                        if (!error) self->record().sent = clock_now();
                      });
  }

  void read() {
    socket_.async_read_some(asio::buffer(part_),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              if (self->dead_) return;
                              if (error) return self->closed();
                              self->take(size);
                              if (!self->dead_) self->read();
                            });
  }

  void take(std::size_t size) {
    if (!busy_) {
      // Something behind the answer that was whole.
      if (record_ < owner_.records_.size()) record().extra = true;
      return leave_pool();
    }
    got_any_ = true;
    input_.append(part_.data(), size);
    while (true) {
      error_code error;
      const std::size_t used = parser_->put(asio::buffer(input_), error);
      input_.erase(0, used);
      if (error == http::error::need_more) return;
      if (error) return finish(ClientEnd::kCut);
      if (!parser_->is_done()) return;
      if (parser_->get().result_int() >= 200) break;
      parser_.emplace();  // an interim answer
      parser_->eager(true);
    }
    const auto& answer = parser_->get();
    Asked& asked = record();
    // Guards against blaming this request for a second answer to the one before on this connection, which
    // came when this one had been sent already.
    if (before_ < owner_.records_.size() && value_of(answer.body(), "id=") == owner_.records_[before_].id) {
      owner_.records_[before_].extra = true;
      parser_.emplace();
      parser_->eager(true);
      got_any_ = false;
      return input_.empty() ? void() : take(0);
    }
    asked.status = static_cast<int>(answer.result_int());
    if (asked.status == 200) {
      const std::string_view body = answer.body();
      asked.right_body = value_of(body, "id=") == asked.id;
      const std::string_view run = value_of(body, "run=");
      std::from_chars(run.data(), run.data() + run.size(), asked.run);
    }
    asked.extra = !input_.empty();
    retry_after_ = -1;
    if (const auto field = answer.find("Retry-After"); field != answer.end()) {
      retry_after_ = std::strtod(std::string(field->value()).c_str(), nullptr) * 1000;
    }
    const bool keep =
        answer.keep_alive() && !asked.extra && !owner_.habits_.chance(owner_.experiment_.clients.drop);
    finish(ClientEnd::kAnswered, keep);
  }

  void closed() {
    if (!busy_) return leave_pool();
    if (!got_any_ && reused_ && !again_) return once_more();
    error_code error;
    // An answer without a length ends with its connection.
    if (got_any_) parser_->put_eof(error);
    finish(got_any_ ? ClientEnd::kCut : ClientEnd::kReset);
  }

  // The connection was closed under the request before a byte of an answer: it had not been read.
  void once_more() {
    again_ = true;
    connected_ = false;
    record().resent = clock_now();
    error_code ignored;
    socket_.close(ignored);
    socket_ = tcp::socket(owner_.context_);
    connect();
  }

  void finish(ClientEnd end, bool keep = false) {
    if (!busy_) return;
    busy_ = false;
    timer_.cancel();
    Asked& asked = record();
    asked.end = end;
    asked.ended = clock_now();
    // An answer may overtake the word that its request was written.
    if (end == ClientEnd::kAnswered && asked.sent == 0) asked.sent = asked.ended;
    const auto self = shared_from_this();
    const std::shared_ptr<Wish> wish = std::move(wish_);
    if (keep) {
      reused_ = true;
      owner_.unused_[static_cast<std::size_t>(node_)].push_back(self);
    } else {
      drop();
    }
    owner_.ended(wish, record_, retry_after_);
  }

  void leave_pool() {
    const auto self = shared_from_this();
    std::erase(owner_.unused_[static_cast<std::size_t>(node_)], self);
    drop();
  }

  Load& owner_;
  const int node_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 8192> part_;
  std::string input_;
  std::string text_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::shared_ptr<Wish> wish_;
  std::size_t record_ = static_cast<std::size_t>(-1);
  std::size_t before_ = static_cast<std::size_t>(-1);  // of the request before it on this connection
  double retry_after_ = -1;
  bool connected_ = false;
  bool reused_ = false;
  bool again_ = false;  // sent once more already
  bool busy_ = false;
  bool got_any_ = false;
  bool dead_ = false;
};

Load::Load(asio::io_context& context, const Experiment& experiment, Front& front)
    : context_(context),
      experiment_(experiment),
      front_(front),
      alarm_(context),
      habits_(experiment.seed, "habits"),
      ids_(experiment.seed, "ids"),
      unused_(static_cast<std::size_t>(experiment.nodes.count)) {
  std::vector<std::string> names;
  for (const ClassSpec& spec : experiment.classes) names.push_back(spec.rules.name);
  plan_ = plan(experiment.load, names, experiment.seed);
  records_.reserve(plan_.size() * 2);
}

Load::~Load() = default;

void Load::run(Millis begin, std::function<void()> done) {
  begin_ = begin;
  done_ = std::move(done);
  if (plan_.empty()) return done_();
  alarm_.at(begin_ + plan_[0].at, nullptr, [this] { send_due(); });
}

void Load::send_due() {
  std::size_t sent = 0;
  while (next_ < plan_.size() && sent < kSendAtOnce) {
    const Planned& planned = plan_[next_];
    const Millis at = begin_ + planned.at;
    const Millis now = clock_now();
    if (at > now) break;
    lateness_.note(now - at);
    ++next_;
    ++sent;
    auto wish = std::make_shared<Wish>();
    const ClassRules& rules = experiment_.classes[static_cast<std::size_t>(planned.request_class)].rules;
    wish->request_class = planned.request_class;
    wish->intended = at;
    wish->give_up = at + rules.give_up;
    wish->chain = chains_++;
    if (rules.effect == Effect::kKeyed) wish->key = ids_.hex(32);
    ++open_;
    begin(wish);
  }
  if (next_ >= plan_.size()) return finish_when_quiet();
  const Millis next = begin_ + plan_[next_].at;
  // Lateness is noted request by request, from the intended time.
  alarm_.at(std::max(next, sent == kSendAtOnce ? clock_now() : next), nullptr, [this] { send_due(); });
}

int Load::next_node() {
  const int count = experiment_.nodes.count;
  for (int n = 0; n < count; ++n) {
    turn_ = (turn_ + 1) % count;
    if (front_.taken_in[static_cast<std::size_t>(turn_)]) return turn_;
  }
  return -1;
}

void Load::begin(const std::shared_ptr<Wish>& wish) {
  Asked asked;
  asked.id = ids_.hex(16);
  asked.key = wish->key;
  asked.request_class = wish->request_class;
  asked.intended = wish->tries == 0 ? wish->intended : clock_now();
  asked.due = wish->give_up;
  asked.tries_before = wish->tries++;
  asked.chain = wish->chain;
  asked.node = next_node();
  const std::size_t record = records_.size();
  records_.push_back(std::move(asked));
  ++progress_.sent;
  const int node = records_[record].node;
  if (node < 0) {
    records_[record].node = 0;
    records_[record].ended = clock_now();
    // Not from within the caller, who counts on this one being under way.
    asio::post(context_, [this, wish, record] { ended(wish, record, -1); });
    return;
  }
  auto& unused = unused_[static_cast<std::size_t>(node)];
  std::shared_ptr<Client> client;
  if (unused.empty()) {
    client = std::make_shared<Client>(*this, node);
  } else {
    client = unused.back();
    unused.pop_back();
  }
  client->ask(wish, record);
}

void Load::ended(const std::shared_ptr<Wish>& wish, std::size_t record, double retry_after) {
  const Asked& asked = records_[record];
  const bool served = asked.end == ClientEnd::kAnswered && asked.status == 200;
  const bool refused = asked.end == ClientEnd::kAnswered && (asked.status == 429 || asked.status == 503);
  ++(served ? progress_.served : refused ? progress_.refused : progress_.failed);
  const ClientsSpec& habits = experiment_.clients;
  const ClassRules& rules = experiment_.classes[static_cast<std::size_t>(wish->request_class)].rules;
  // What may have run is asked again only where boxes know it again, or it does not matter.
  const bool harmless = refused || asked.end == ClientEnd::kNoConnection || rules.effect != Effect::kUnsafe;
  if (!served && asked.end != ClientEnd::kLeft && harmless && wish->tries <= habits.retries) {
    const Millis wait = retry_after >= 0 && habits_.chance(habits.honour) ? retry_after : habits.backoff;
    if (clock_now() + wait < wish->give_up - 1) {
      auto alarm = std::make_shared<Alarm>(context_);
      alarm->at(clock_now() + wait, nullptr, [this, wish, alarm] { begin(wish); });
      return;
    }
  }
  --open_;
  finish_when_quiet();
}

void Load::finish_when_quiet() {
  if (next_ < plan_.size() || open_ > 0 || settling_) return;
  settling_ = true;
  // What comes behind an answer, or is sent on after it, needs some time to show.
  alarm_.at(clock_now() + experiment_.settle, nullptr, [this] {
    for (auto& clients : unused_) {
      for (const auto& client : clients) client->drop();
      clients.clear();
    }
    done_();
  });
}

void Load::collect(Run& run) {
  run.asked = std::move(records_);
  run.load_late = lateness_.worst();
  run.load_late_p99 = lateness_.quantile(0.99);
}

}  // namespace shorelead::lab
