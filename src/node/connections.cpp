#include "node/connections.h"

#include <map>

#include "guard/guard.h"
#include "node/recorder.h"

namespace shorelead::node {
namespace {

constexpr double kIdleShare = 0.5;        // of the time after which a backend may close: we close before it
constexpr Millis kIdleUntold = 10000;     // where the settings do not tell that time
constexpr std::size_t kMostIdle = 32;     // connections kept for one backend
constexpr std::size_t kMostSettling = 8;  // of them, those held back until they have settled

}  // namespace

void Upstream::Connections::adopt(Millis idle_timeout, Millis settle) {
  settle_ = settle;
  most_idle_ = idle_timeout > 0 ? kIdleShare * idle_timeout : kIdleUntold;
}

void Upstream::Connections::add(const std::shared_ptr<Link>& link) {
  pools_[link->backend].push_back(link);
  ++count_;
  if (recorder_ != nullptr) recorder_->backend_opened(link->backend);
}

// The one used last first, so that those beyond need grow old and go. Guards against a second answer that
// comes some milliseconds after the first: it would be passed on as that to the next request; of a probe it
// would only be a wrong report. Where many settle, as at a backend that is asked hundreds of times a second,
// the one that has for longest will do.
std::shared_ptr<Upstream::Link> Upstream::Connections::best_idle(
    const std::vector<std::shared_ptr<Link>>& pool, bool probe) const {
  std::shared_ptr<Link> best;
  std::shared_ptr<Link> first;
  std::size_t settling = 0;
  const Millis now = loop_.now();
  for (const auto& link : pool) {
    if (!link->idle()) continue;
    if (probe || link->settled_at <= now) {
      if (!best || link->unused_since > best->unused_since) best = link;
    } else {
      ++settling;
      if (!first || link->settled_at < first->settled_at) first = link;
    }
  }
  return best || settling < kMostSettling ? best : first;
}

std::shared_ptr<Upstream::Link> Upstream::Connections::take_idle(BackendId backend, const std::string& dial,
                                                                 bool probe) {
  while (true) {
    const auto pool = pools_.find(backend);
    if (pool == pools_.end()) return nullptr;
    const std::shared_ptr<Link> best = best_idle(pool->second, probe);
    if (!best) return nullptr;
    const Millis now = loop_.now();
    const Millis age = now - best->unused_since;
    guard::ConnectionState state;
    state.idle = age;
    state.max_idle = kept_.fit(age, now) ? most_idle_ : 0;
    state.address_current = best->dial == dial;
    // An end that has come in but was not read yet would make of this request one that may have run.
    state.unread = !best->stream.quiet();
    const guard::Verdict verdict = guard::may_reuse(state);
    if (verdict) return best;
    forget(*best, verdict.reason == guard::Reason::kInputUnread ? Ending::kPeerClosed : Ending::kIdle);
  }
}

void Upstream::Connections::rest(Link& link, bool settles) {
  link.unused_since = loop_.now();
  if (settles) link.settled_at = link.unused_since + settle_;
  link.unused = unused_.insert(unused_.end(), &link);
}

void Upstream::Connections::use(Link& link) {
  if (link.unused) unused_.erase(*link.unused);
  link.unused.reset();
}

bool Upstream::Connections::evict_idle() {
  if (unused_.empty()) return false;
  Link& oldest = *unused_.front();
  if (!guard::may_close_idle({.under_way = oldest.job != nullptr || oldest.answer_flow != nullptr}))
    return false;
  forget(oldest, Ending::kEvicted);
  return true;
}

Millis Upstream::Connections::unused_since() const {
  return unused_.empty() ? 0 : unused_.front()->unused_since;
}

// Closes a link; it is freed once the handler at hand, which may be its own, is done.
void Upstream::Connections::forget(Link& link, Ending why) {
  const std::shared_ptr<Link> hold = link.shared_from_this();
  use(link);
  link.stream.close();
  loop_.later([hold] {});
  const auto pool = pools_.find(link.backend);
  if (pool == pools_.end()) return;
  const std::size_t erased = std::erase(pool->second, hold);
  count_ -= erased;
  if (erased > 0 && recorder_ != nullptr) recorder_->backend_closed(link.backend, why);
  if (pool->second.empty()) pools_.erase(pool);
}

void Upstream::Connections::sweep() {
  const Millis now = loop_.now();
  std::map<BackendId, std::size_t> kept;
  for (auto it = unused_.begin(); it != unused_.end();) {
    Link& link = **it++;
    if (now - link.unused_since >= most_idle_ || ++kept[link.backend] > kMostIdle)
      forget(link, Ending::kIdle);
  }
}

std::vector<std::shared_ptr<Upstream::Link>> Upstream::Connections::of(
    const std::vector<BackendId>& backends) const {
  std::vector<std::shared_ptr<Link>> found;
  for (const BackendId backend : backends) {
    const auto pool = pools_.find(backend);
    if (pool != pools_.end()) found.insert(found.end(), pool->second.begin(), pool->second.end());
  }
  return found;
}

std::vector<std::shared_ptr<Upstream::Link>> Upstream::Connections::all() const {
  std::vector<std::shared_ptr<Link>> found;
  for (const auto& [backend, pool] : pools_) found.insert(found.end(), pool.begin(), pool.end());
  return found;
}

}  // namespace shorelead::node
