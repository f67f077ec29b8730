#include "fleet/plan_watch.h"

#include <algorithm>
#include <utility>

#include "fleet/boot_clock.h"
#include "membership/registry/writes.h"

namespace shorelead::fleet {
namespace {

namespace registry = membership::registry;

constexpr Millis kMaxCallTime = 1000;
constexpr Millis kMinBackoff = 50;
constexpr Millis kMaxBackoff = 1000;
constexpr Millis kMaxWatchLag = 300;  // time that a watch may lag behind a range
constexpr std::size_t kMaxLineBytes = 16U << 20;

}  // namespace

Millis call_within(const Sharing& sharing) { return std::min(sharing.lease / 4, kMaxCallTime); }
std::string planner_key(const Sharing& sharing) { return sharing.prefix + "planner"; }
std::string plan_key(const Sharing& sharing) { return sharing.prefix + "plan"; }
std::string members_prefix(const Sharing& sharing) { return sharing.prefix + "members/"; }

PlanWatch::PlanWatch(net::Loop& loop, StoreConnections& connections, const Sharing& sharing,
                     std::uint64_t seed, Listener listener)
    : loop_(loop),
      connections_(connections),
      sharing_(sharing),
      plan_key_(plan_key(sharing)),
      planner_key_(planner_key(sharing)),
      listener_(std::move(listener)),
      random_(seed) {}

PlanWatch::~PlanWatch() {
  loop_.cancel(silent_at_);
  loop_.cancel(retry_at_);
  loop_.cancel(lag_check_at_);
}

// The range covers both keys and any key between them.
void PlanWatch::fetch() {
  if (fetching_) {
    fetch_pending_ = true;
    return;
  }
  fetching_ = true;
  ++counters_.ranges;
  loop_.cancel(retry_at_);
  const Millis begun = boot_now();
  const std::string end = planner_key_ + std::string(1, '\0');
  connections_.post("/v3/kv/range", registry::range_request(plan_key_, end, 0, 0, 0), call_within(sharing_),
                    [this, begun, restarts = restarts_](const Reply& reply) {
                      fetching_ = false;
                      if (restarts == restarts_) fetched(reply, begun);
                      if (std::exchange(fetch_pending_, false)) fetch();
                    });
}

void PlanWatch::fetched(const Reply& reply, Millis begun) {
  std::string cause = "status " + std::to_string(reply.status);
  const auto page = reply.status == 200 ? registry::parse_page(reply.body, cause) : std::nullopt;
  if (!page) {
    if (reply.status != 0) listener_.trouble("reading the plan failed: " + cause);
    return retry_later();
  }
  const std::uint64_t restarts = restarts_;
  const Header header = listener_.header_received({page->header.cluster, page->header.revision}, begun, true);
  if (restarts != restarts_) return;  // another history: everything is fetched again
  std::uint64_t planner = 0;
  for (const registry::KeyValue& item : page->items) {
    if (item.key == plan_key_) report(item, header, begun);
    if (item.key == planner_key_) planner = item.created;
  }
  report_planner(planner);
  restart_silence_timer();
  if (!watch_) {
    next_ = page->header.revision + 1;
    return open();
  }
  if (reported_ > reported_by_watch_ && lag_check_at_ == 0) {
    lag_check_at_ = loop_.after(kMaxWatchLag, [this] {
      lag_check_at_ = 0;
      if (reported_by_watch_ >= reported_ || !watch_) return;
      ++counters_.deaf;
      listener_.trouble("the watch does not report a plan that the store has");
      close();
      connections_.fail_over(connections_.endpoint());
      fetch();
    });
  }
}

void PlanWatch::open() {
  ++counters_.watches;
  text_.clear();
  reported_by_watch_ = reported_;
  last_line_ = boot_now();
  const std::size_t endpoint = connections_.endpoint();
  watch_ = connections_.stream({[this, endpoint](int status, const std::string&) {
                                  listener_.trouble("the watch was answered with status " +
                                                    std::to_string(status));
                                  connections_.fail_over(endpoint);
                                  close();
                                  retry_later();
                                },
                                [this](const std::string& text) { part(text); },
                                [this, endpoint](net::Ending ending) {
                                  listener_.trouble(std::string("the watch ended: ") + net::name_of(ending));
                                  connections_.fail_over(endpoint);
                                  close();
                                  retry_later();
                                }});
  watch_->post("/v3/watch", registry::watch_request(plan_key_, planner_key_ + std::string(1, '\0'), next_),
               true, call_within(sharing_));
}

void PlanWatch::part(const std::string& text) {
  watch_->expect(0);
  text_ += text;
  std::size_t from = 0;
  for (std::size_t end = 0; (end = text_.find('\n', from)) != std::string::npos; from = end + 1) {
    std::string one = text_.substr(from, end - from);
    if (one.find_first_not_of(" \t\r") != std::string::npos && !line(std::move(one))) return;
  }
  text_.erase(0, from);
  if (text_.size() <= kMaxLineBytes) return;
  close();
  retry_later();
}

// Returns whether the watch is still open.
bool PlanWatch::line(std::string text) {
  std::string cause;
  const auto message = registry::parse_line(std::move(text), cause);
  if (!message || message->canceled) {
    listener_.trouble("the watch was closed: " + (message ? "canceled " + message->reason : cause));
    close();
    retry_later();  // starts with a range: compacted revisions are not sent again
    return false;
  }
  backoff_ = 0;
  const Millis begun = std::exchange(last_line_, boot_now());
  const std::uint64_t restarts = restarts_;
  const Header header =
      listener_.header_received({message->header.cluster, message->header.revision}, begun, false);
  if (restarts != restarts_) return false;
  for (const registry::Event& event : message->events) {
    if (event.item.key == planner_key_) report_planner(event.deleted ? 0 : event.item.created);
    if (event.item.key == plan_key_ && !event.deleted) {
      reported_by_watch_ = std::max(reported_by_watch_, event.item.revision);
      report(event.item, header, begun);
    }
  }
  restart_silence_timer();
  return watch_ != nullptr;
}

void PlanWatch::report(const registry::KeyValue& item, const Header& header, Millis begun) {
  if (item.revision <= reported_) return;
  reported_ = item.revision;
  std::string cause;
  auto plan = parse_plan(item.value, cause);
  if (!plan) {
    ++counters_.unreadable;
    listener_.trouble("the plan cannot be parsed, the previous one stays in force: " + cause);
    return;
  }
  listener_.plan({std::move(*plan), item.revision, header, begun});
}

void PlanWatch::report_planner(std::uint64_t created) {
  if (planner_reported_ && created == planner_) return;
  planner_reported_ = true;
  planner_ = created;
  listener_.planner({created});
}

void PlanWatch::plan_modified(std::uint64_t modified) {
  if (modified > reported_) return fetch();
  restart_silence_timer();
}

void PlanWatch::restart() {
  ++restarts_;
  reported_ = 0;
  reported_by_watch_ = 0;
  planner_reported_ = false;
  backoff_ = 0;
  close();
  // Deferred, since this is called while the answer that showed the loss is processed.
  loop_.cancel(retry_at_);
  retry_at_ = loop_.after(0, [this] {
    retry_at_ = 0;
    fetch();
  });
}

void PlanWatch::close() {
  loop_.cancel(lag_check_at_);
  if (watch_) loop_.later([watch = std::shared_ptr<registry::Exchange>(std::move(watch_))] {});
}

void PlanWatch::retry_later() {
  backoff_ = std::min(std::max(kMinBackoff, backoff_ * 2), kMaxBackoff);
  loop_.cancel(retry_at_);
  retry_at_ = loop_.after(backoff_ * (0.5 + 0.5 * random_.unit()), [this] {
    retry_at_ = 0;
    fetch();
  });
}

void PlanWatch::restart_silence_timer() {
  loop_.cancel(silent_at_);
  silent_at_ = loop_.after(sharing_.lease / 3, [this] {
    silent_at_ = 0;
    fetch();
  });
}

}  // namespace shorelead::fleet
