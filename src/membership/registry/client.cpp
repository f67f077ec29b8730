#include "membership/registry/client.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace shorelead::membership::registry {
namespace {

constexpr Millis kAnswerWithin = 5000;  // of a range; of a watch, for its head
constexpr Millis kCheckWithin = 1000;
constexpr std::size_t kMostLine = 16U << 20;  // bytes of one message of a watch

}  // namespace

Client::Client(net::Loop& loop, const Spec& spec, View& view, int source, std::uint64_t seed,
               Listener listener, const FollowerOptions& options)
    : loop_(loop),
      spec_(spec),
      view_(view),
      source_(source),
      listener_(std::move(listener)),
      follower_(view, source, spec.prefix, static_cast<int>(spec.endpoints.size()), seed, options) {
  if (!spec.tls) return;
  std::string cause = "this build has no TLS (cmake -DSHORELEAD_TLS=ON)";
#ifdef SHORELEAD_TLS
  tls_ = net::TlsContext::load(*spec.tls, net::TlsContext::Side::kClient, cause);
#endif
  if (!tls_) throw std::runtime_error(cause);
}

// Reloads changed key files; keeps the old keys if the new ones are unusable.
std::shared_ptr<const net::TlsContext> Client::keys() {
#ifdef SHORELEAD_TLS
  std::string cause;
  if (tls_ && tls_->refresh(cause)) listener_.trouble("keys were read again");
  if (!cause.empty()) listener_.trouble("keys were not read again: " + cause);
#endif
  return tls_;
}

Client::~Client() {
  loop_.cancel(ask_at_);
  loop_.cancel(check_at_);
  loop_.cancel(tick_at_);
}

void Client::go_on() {
  loop_.cancel(ask_at_);
  const Follower::Ask next = follower_.next();
  ask_at_ = loop_.at(std::max(next.at, loop_.now()), [this] {
    ask_at_ = 0;
    ask();
  });
}

void Client::ask() {
  const Follower::Ask next = follower_.next();
  const bool watch = next.kind == Follower::Ask::Kind::kWatch;
  if (!call_ || !call_->usable() || call_endpoint_ != next.endpoint) {
    call_endpoint_ = next.endpoint;
    call_ = std::make_unique<Exchange>(
        loop_, spec_.endpoints[static_cast<std::size_t>(next.endpoint)],
        Exchange::Listener{[this](int status, std::string body) { answered(status, std::move(body)); },
                           [this](std::string text) { part(std::move(text)); },
                           [this](net::Ending ending) { ended(ending); }},
        keys());
  }
  lines_.clear();
  searched_ = 0;
  call_->post(watch ? "/v3/watch" : "/v3/kv/range", next.body, watch, kAnswerWithin);
}

void Client::answered(int status, std::string body) {
  const Millis now = loop_.now();
  std::string cause;
  const auto page = status == 200 ? parse_page(body, cause) : std::nullopt;
  if (!page) {
    const bool compacted = status != 200 && says_compacted(body);
    if (status != 200) cause = "status " + std::to_string(status) + (compacted ? ", compacted" : "");
    listener_.trouble("a range was not answered: " + cause);
    follower_.range_failed(compacted, now);
    return go_on();
  }
  const Update update = follower_.page(*page, now);
  take(update);
  if (follower_.leave()) {
    listener_.trouble("endpoint " + spec_.endpoints[static_cast<std::size_t>(call_endpoint_)].toString() +
                      " is behind what was seen");
    return leave();
  }
  go_on();
}

void Client::part(std::string text) {
  call_->expect(follower_.silence());
  lines_ += text;
  std::size_t from = 0;
  for (std::size_t end = 0; (end = lines_.find('\n', std::max(from, searched_))) != std::string::npos;
       from = end + 1) {
    searched_ = 0;
    std::string one = lines_.substr(from, end - from);
    if (one.find_first_not_of(" \t\r") == std::string::npos) continue;
    std::string cause;
    const auto line = parse_line(std::move(one), cause);
    if (!line) {
      // Skipping a message would leave the view wrong for good; a new watch from the same revision brings it
      // again.
      listener_.trouble("a watch's line could not be read: " + cause);
      return leave();
    }
    if (line->canceled) {
      listener_.trouble("the watch was canceled" + (line->compacted > 0
                                                        ? ", compacted at " + std::to_string(line->compacted)
                                                        : ": " + line->reason));
    }
    take(follower_.line(*line, loop_.now()));
    if (follower_.leave()) return leave();
  }
  lines_.erase(0, from);
  searched_ = lines_.size();
  if (lines_.size() > kMostLine) {
    listener_.trouble("a watch's line is over 16 MiB");
    return leave();
  }
  plan_check();
}

void Client::ended(net::Ending ending) {
  const std::string why = call_->trouble();
  listener_.trouble(std::string("the registry's answer ended: ") + net::name_of(ending) +
                    (why.empty() ? "" : ", " + why));
  loop_.later([call = std::shared_ptr<Exchange>(std::move(call_))] {});  // it may be the caller
  loop_.cancel(check_at_);
  follower_.ended(loop_.now());
  go_on();
}

void Client::leave() {
  std::shared_ptr<Exchange> call = std::move(call_);
  loop_.later([call] {});
  loop_.cancel(check_at_);
  follower_.ended(loop_.now());
  go_on();
}

void Client::take(const Update& update) {
  if (!update.changes.empty()) listener_.changed(update);
  if (!told_synced_ && follower_.synced()) {
    told_synced_ = true;
    listener_.synced();
  }
  plan_tick();
}

// Sets the timer for what is due in the view.
void Client::plan_tick() {
  loop_.cancel(tick_at_);
  const auto at = view_.next();
  if (!at) return;
  tick_at_ = loop_.at(*at, [this] {
    tick_at_ = 0;
    const Update update = view_.tick(loop_.now());
    const bool again = update.refetch && follower_.watching();
    take(update);
    if (!again) return;
    follower_.ask_whole();
    leave();
  });
}

void Client::plan_check() {
  if (check_at_ != 0) return;
  const auto at = follower_.check_at();
  if (!at) return;
  check_at_ = loop_.at(*at, [this] {
    check_at_ = 0;
    check();
  });
}

void Client::check() {
  if (!follower_.watching() || call_endpoint_ < 0) return;
  follower_.check_begun(loop_.now());
  const auto over = [this] {
    std::shared_ptr<Exchange> call = std::move(check_);
    loop_.later([call] {});
  };
  check_ = std::make_unique<Exchange>(
      loop_, spec_.endpoints[static_cast<std::size_t>(call_endpoint_)],
      Exchange::Listener{[this, over](int status, std::string body) {
                           std::string cause;
                           const auto page =
                               status == 200 ? parse_page(std::move(body), cause) : std::nullopt;
                           page ? follower_.checked(*page, loop_.now()) : follower_.check_failed(loop_.now());
                           over();
                           if (page && follower_.leave()) {
                             listener_.trouble("the watch says nothing of what the registry knows");
                             return leave();
                           }
                           plan_check();
                         },
                         [](const std::string&) {},
                         [this, over](net::Ending) {
                           follower_.check_failed(loop_.now());
                           over();
                           plan_check();
                         }},
      tls_);
  check_->post("/v3/kv/range", follower_.check_body(), false, kCheckWithin);
}

}  // namespace shorelead::membership::registry
