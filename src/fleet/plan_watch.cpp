#include "fleet/plan_watch.h"

#include <algorithm>
#include <utility>

#include "fleet/boot_clock.h"
#include "membership/registry/writes.h"

namespace shorelead::fleet {
namespace {

namespace registry = membership::registry;

constexpr Millis kMostCall = 1000;
constexpr Millis kFirstPause = 50;
constexpr Millis kMaxPause = 1000;
constexpr Millis kMaxWatchLag = 300;              // time that a watch may lag behind a range
constexpr std::size_t kMaxLineBytes = 16U << 20;  // bytes

}  // namespace

Millis call_within(const Sharing& sharing) { return std::min(sharing.lease / 4, kMostCall); }
std::string planner_key(const Sharing& sharing) { return sharing.prefix + "planner"; }
std::string plan_key(const Sharing& sharing) { return sharing.prefix + "plan"; }
std::string members_prefix(const Sharing& sharing) { return sharing.prefix + "members/"; }

PlanWatch::PlanWatch(net::Loop& loop, StoreLines& lines, const Sharing& sharing, std::uint64_t seed,
                     Listener listener)
    : loop_(loop),
      lines_(lines),
      sharing_(sharing),
      plan_key_(plan_key(sharing)),
      planner_key_(planner_key(sharing)),
      listener_(std::move(listener)),
      random_(seed) {}

PlanWatch::~PlanWatch() {
  loop_.cancel(silent_at_);
  loop_.cancel(again_at_);
  loop_.cancel(deaf_at_);
}

// The range covers both keys and any key between them.
void PlanWatch::fetch() {
  if (fetching_) {
    fetch_again_ = true;
    return;
  }
  fetching_ = true;
  ++counters_.ranges;
  loop_.cancel(again_at_);
  const Millis begun = boot_now();
  const std::string end = planner_key_ + std::string(1, '\0');
  lines_.post("/v3/kv/range", registry::range_request(plan_key_, end, 0, 0, 0), call_within(sharing_),
              [this, begun, age = age_](const Reply& reply) {
                fetching_ = false;
                if (age == age_) fetched(reply, begun);
                if (std::exchange(fetch_again_, false)) fetch();
              });
}

void PlanWatch::fetched(const Reply& reply, Millis begun) {
  std::string cause = "status " + std::to_string(reply.status);
  const auto page = reply.status == 200 ? registry::parse_page(reply.body, cause) : std::nullopt;
  if (!page) {
    if (reply.status != 0) listener_.trouble("the plan was not read: " + cause);
    return again();
  }
  const std::uint64_t age = age_;
  const Header header = listener_.header_received({page->header.cluster, page->header.revision}, begun, true);
  if (age != age_) return;  // another history: everything is fetched again
  std::uint64_t planner = 0;
  for (const registry::KeyValue& item : page->items) {
    if (item.key == plan_key_) tell(item, header, begun);
    if (item.key == planner_key_) planner = item.created;
  }
  tell_planner(planner);
  alive();
  if (!watch_) {
    next_ = page->header.revision + 1;
    return open();
  }
  if (told_ > told_by_watch_ && deaf_at_ == 0) {
    deaf_at_ = loop_.after(kMaxWatchLag, [this] {
      deaf_at_ = 0;
      if (told_by_watch_ >= told_ || !watch_) return;
      ++counters_.deaf;
      listener_.trouble("the watch says nothing of what the store knows");
      close();
      lines_.leave(lines_.endpoint());
      fetch();
    });
  }
}

void PlanWatch::open() {
  ++counters_.watches;
  text_.clear();
  told_by_watch_ = told_;
  last_line_ = boot_now();
  const std::size_t endpoint = lines_.endpoint();
  watch_ = lines_.stream({[this, endpoint](int status, const std::string&) {
                            listener_.trouble("a watch was answered with status " + std::to_string(status));
                            lines_.leave(endpoint);
                            close();
                            again();
                          },
                          [this](const std::string& text) { part(text); },
                          [this, endpoint](net::Ending ending) {
                            listener_.trouble(std::string("the watch ended: ") + net::name_of(ending));
                            lines_.leave(endpoint);
                            close();
                            again();
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
  again();
}

// Returns whether the watch is still open.
bool PlanWatch::line(std::string text) {
  std::string cause;
  const auto said = registry::parse_line(std::move(text), cause);
  if (!said || said->canceled) {
    listener_.trouble("the watch is over: " + (said ? "canceled " + said->reason : cause));
    close();
    again();  // starts with a range: compacted revisions are not sent again
    return false;
  }
  pause_ = 0;
  const Millis begun = std::exchange(last_line_, boot_now());
  const std::uint64_t age = age_;
  const Header header =
      listener_.header_received({said->header.cluster, said->header.revision}, begun, false);
  if (age != age_) return false;
  for (const registry::Event& event : said->events) {
    if (event.item.key == planner_key_) tell_planner(event.deleted ? 0 : event.item.created);
    if (event.item.key == plan_key_ && !event.deleted) {
      told_by_watch_ = std::max(told_by_watch_, event.item.revision);
      tell(event.item, header, begun);
    }
  }
  alive();
  return watch_ != nullptr;
}

void PlanWatch::tell(const registry::KeyValue& item, const Header& header, Millis begun) {
  if (item.revision <= told_) return;
  told_ = item.revision;
  std::string cause;
  auto plan = parse_plan(item.value, cause);
  if (!plan) {
    ++counters_.unreadable;
    listener_.trouble("the plan cannot be read, the last one goes on: " + cause);
    return;
  }
  listener_.plan({std::move(*plan), item.revision, header, begun});
}

void PlanWatch::tell_planner(std::uint64_t created) {
  if (planner_told_ && created == planner_) return;
  planner_told_ = true;
  planner_ = created;
  listener_.planner({created});
}

void PlanWatch::plan_stands(std::uint64_t modified) {
  if (modified > told_) return fetch();
  alive();
}

void PlanWatch::restart() {
  ++age_;
  told_ = 0;
  told_by_watch_ = 0;
  planner_told_ = false;
  pause_ = 0;
  close();
  // Deferred, since this is called while the answer that showed the loss is processed.
  loop_.cancel(again_at_);
  again_at_ = loop_.after(0, [this] {
    again_at_ = 0;
    fetch();
  });
}

void PlanWatch::close() {
  loop_.cancel(deaf_at_);
  if (watch_) loop_.later([watch = std::shared_ptr<registry::Exchange>(std::move(watch_))] {});
}

void PlanWatch::again() {
  pause_ = std::min(std::max(kFirstPause, pause_ * 2), kMaxPause);
  loop_.cancel(again_at_);
  again_at_ = loop_.after(pause_ * (0.5 + 0.5 * random_.unit()), [this] {
    again_at_ = 0;
    fetch();
  });
}

void PlanWatch::alive() {
  loop_.cancel(silent_at_);
  silent_at_ = loop_.after(sharing_.lease / 3, [this] {
    silent_at_ = 0;
    fetch();
  });
}

}  // namespace shorelead::fleet
