#include "lab/crowd.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "lab/dial.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr Millis kSlowReadEvery = 50;
constexpr std::size_t kSlowRead = 2000;  // bytes
constexpr int kReceiveBuffer = 4096;
constexpr std::size_t kManyFields = 15000;  // bytes
const std::array<std::string, 5> kMixed{"unfinished", "half_body", "many_fields", "no_reading",
                                        "slow_reading"};

std::string name_of_class(const Experiment& experiment, Effect effect) {
  const auto& classes = experiment.classes;
  const auto found = std::find_if(classes.begin(), classes.end(),
                                  [effect](const ClassSpec& spec) { return spec.rules.effect == effect; });
  return found == classes.end() ? classes.front().rules.name : found->rules.name;
}

}  // namespace

class Crowd::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(asio::io_context& context, std::string text, bool reads)
      : text_(std::move(text)), reads_(reads), socket_(context), timer_(context) {}

  void start(const tcp::endpoint& to) {
    error_code ignored;
    socket_.open(to.protocol(), ignored);
    if (!text_.empty()) socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer), ignored);
    socket_.async_connect(to, [self = shared_from_this()](const error_code& error) {
      if (error || self->text_.empty()) return;
      asio::async_write(self->socket_, asio::buffer(self->text_),
                        [self](const error_code& failed, std::size_t) {
                          if (!failed && self->reads_) self->read();
                        });
    });
  }
  void leave() {
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  void read() {
    socket_.async_read_some(asio::buffer(part_),
                            [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (!error) self->pause();
                            });
  }
  void pause() {
    timer_.expires_at(clock_point(clock_now() + kSlowReadEvery));
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->read();
    });
  }

  const std::string text_;
  const bool reads_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, kSlowRead> part_{};
};

// To one node, until its time is over.
struct Crowd::Visit {
  explicit Visit(asio::io_context& context) : over(context) {}
  void leave() {
    for (const auto& client : clients) client->leave();
    clients.clear();
  }

  std::vector<std::shared_ptr<Client>> clients;
  Alarm over;
};

Crowd::Crowd(asio::io_context& context, const Experiment& experiment, const Front& front)
    : context_(context), experiment_(experiment), front_(front) {}

Crowd::~Crowd() {
  for (const auto& visit : visits_) visit->leave();
}

std::string Crowd::text(const std::string& clients, int number) {
  if (clients == "mixed") return text(kMixed[static_cast<std::size_t>(number) % kMixed.size()], number);
  if (clients == "idle") return "";
  const std::string fields = std::string(" HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: ") + kCrowdId +
                             std::to_string(++last_id_) + "\r\n";
  const std::string asks = "GET /" + name_of_class(experiment_, Effect::kSafe) + "/long" + fields;
  const std::string sends = "POST /" + name_of_class(experiment_, Effect::kUnsafe) + fields;
  if (clients == "unfinished") return sends + "Content-Length: 65000\r\n\r\n" + std::string(64900, 'c');
  if (clients == "half_body") return sends + "Content-Length: 250000\r\n\r\n" + std::string(125000, 'c');
  if (clients != "many_fields") return asks + "\r\n";
  std::string endless = asks;
  while (endless.size() < kManyFields) endless += "a:\r\n";
  return endless;
}

void Crowd::act(const Action& action) {
  if (action.kind != Action::Kind::kCrowd) return;
  const Millis now = clock_now();
  for (const int node : action.nodes) {
    const auto visit = std::make_shared<Visit>(context_);
    for (int n = 0; n < action.count; ++n) {
      const bool reads = action.clients == "slow_reading" || (action.clients == "mixed" && n % 5 == 4);
      visit->clients.push_back(std::make_shared<Client>(context_, text(action.clients, n), reads));
      visit->clients.back()->start(endpoint_of(front_.addresses[static_cast<std::size_t>(node)]));
    }
    visits_.push_back(visit);
    spans_.push_back({node, now, now + action.length});
    visit->over.at(now + action.length, nullptr, [visit] { visit->leave(); });
  }
}

void Crowd::collect(Run& run) const { run.crowds.insert(run.crowds.end(), spans_.begin(), spans_.end()); }

}  // namespace shorelead::lab
