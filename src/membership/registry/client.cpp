#include "membership/registry/client.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace shorelead::membership::registry {
namespace {

constexpr Millis kResponseTimeout = 5000;  // of a range; of a watch, for its head
constexpr Millis kCheckTimeout = 1000;
constexpr std::size_t kMaxLineBytes = 16U << 20;  // bytes of one message of a watch

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
std::shared_ptr<const net::TlsContext> Client::load_tls_keys() {
#ifdef SHORELEAD_TLS
  std::string cause;
  if (tls_ && tls_->refresh(cause)) listener_.trouble("TLS keys were reloaded");
  if (!cause.empty()) listener_.trouble("TLS keys were not reloaded: " + cause);
#endif
  return tls_;
}

Client::~Client() {
  loop_.cancel(call_timer_);
  loop_.cancel(check_timer_);
  loop_.cancel(tick_timer_);
}

void Client::schedule_call() {
  loop_.cancel(call_timer_);
  const Follower::Call next = follower_.next();
  call_timer_ = loop_.at(std::max(next.at, loop_.now()), [this] {
    call_timer_ = 0;
    send_call();
  });
}

void Client::send_call() {
  const Follower::Call next = follower_.next();
  const bool watch = next.kind == Follower::Call::Kind::kWatch;
  if (!call_ || !call_->usable() || call_endpoint_ != next.endpoint) {
    call_endpoint_ = next.endpoint;
    call_ = std::make_unique<Exchange>(
        loop_, spec_.endpoints[static_cast<std::size_t>(next.endpoint)],
        Exchange::Listener{[this](int status, std::string body) { on_answered(status, std::move(body)); },
                           [this](std::string text) { on_part(std::move(text)); },
                           [this](net::Ending ending) { on_ended(ending); }},
        load_tls_keys());
  }
  buffer_.clear();
  searched_ = 0;
  call_->post(watch ? "/v3/watch" : "/v3/kv/range", next.body, watch, kResponseTimeout);
}

void Client::on_answered(int status, std::string body) {
  const Millis now = loop_.now();
  std::string cause;
  const auto page = status == 200 ? parse_page(body, cause) : std::nullopt;
  if (!page) {
    const bool compacted = status != 200 && says_compacted(body);
    if (status != 200) cause = "status " + std::to_string(status) + (compacted ? ", compacted" : "");
    listener_.trouble("a range request failed: " + cause);
    follower_.range_failed(compacted, now);
    return schedule_call();
  }
  const Update update = follower_.page(*page, now);
  apply(update);
  if (follower_.must_close()) {
    listener_.trouble("endpoint " + spec_.endpoints[static_cast<std::size_t>(call_endpoint_)].toString() +
                      " is behind the revision already seen");
    return close_call();
  }
  schedule_call();
}

void Client::on_part(std::string text) {
  call_->expect(follower_.silence());
  buffer_ += text;
  std::size_t from = 0;
  for (std::size_t end = 0; (end = buffer_.find('\n', std::max(from, searched_))) != std::string::npos;
       from = end + 1) {
    searched_ = 0;
    std::string one = buffer_.substr(from, end - from);
    if (one.find_first_not_of(" \t\r") == std::string::npos) continue;
    std::string cause;
    const auto line = parse_line(std::move(one), cause);
    if (!line) {
      // Skipping a message would leave the view wrong for good; a new watch from the same revision brings it
      // again.
      listener_.trouble("a watch message is invalid: " + cause);
      return close_call();
    }
    if (line->canceled) {
      listener_.trouble("the watch was canceled" + (line->compacted > 0
                                                        ? ", compacted at " + std::to_string(line->compacted)
                                                        : ": " + line->reason));
    }
    apply(follower_.line(*line, loop_.now()));
    if (follower_.must_close()) return close_call();
  }
  buffer_.erase(0, from);
  searched_ = buffer_.size();
  if (buffer_.size() > kMaxLineBytes) {
    listener_.trouble("a watch message is larger than 16 MiB");
    return close_call();
  }
  schedule_check();
}

void Client::on_ended(net::Ending ending) {
  const std::string why = call_->trouble();
  listener_.trouble(std::string("the registry's response ended: ") + net::name_of(ending) +
                    (why.empty() ? "" : ", " + why));
  loop_.later([call = std::shared_ptr<Exchange>(std::move(call_))] {});  // it may be the caller
  loop_.cancel(check_timer_);
  follower_.ended(loop_.now());
  schedule_call();
}

void Client::close_call() {
  std::shared_ptr<Exchange> call = std::move(call_);
  loop_.later([call] {});
  loop_.cancel(check_timer_);
  follower_.ended(loop_.now());
  schedule_call();
}

void Client::apply(const Update& update) {
  if (!update.changes.empty()) listener_.changed(update);
  if (!reported_synced_ && follower_.synced()) {
    reported_synced_ = true;
    listener_.synced();
  }
  schedule_tick();
}

// Sets the timer for what is due in the view.
void Client::schedule_tick() {
  loop_.cancel(tick_timer_);
  const auto at = view_.next();
  if (!at) return;
  tick_timer_ = loop_.at(*at, [this] {
    tick_timer_ = 0;
    const Update update = view_.tick(loop_.now());
    const bool again = update.refetch && follower_.watching();
    apply(update);
    if (!again) return;
    follower_.fetch_whole();
    close_call();
  });
}

void Client::schedule_check() {
  if (check_timer_ != 0) return;
  const auto at = follower_.check_at();
  if (!at) return;
  check_timer_ = loop_.at(*at, [this] {
    check_timer_ = 0;
    run_check();
  });
}

void Client::run_check() {
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
                           if (page && follower_.must_close()) {
                             listener_.trouble("the watch does not deliver changes that the registry has");
                             return close_call();
                           }
                           schedule_check();
                         },
                         [](const std::string&) {},
                         [this, over](net::Ending) {
                           follower_.check_failed(loop_.now());
                           over();
                           schedule_check();
                         }},
      tls_);
  check_->post("/v3/kv/range", follower_.check_body(), false, kCheckTimeout);
}

}  // namespace shorelead::membership::registry
