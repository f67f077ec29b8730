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

void Upstream::Connections::add(const std::shared_ptr<Connection>& connection) {
  pools_[connection->backend].push_back(connection);
  ++count_;
  if (recorder_ != nullptr) recorder_->backend_opened(connection->backend);
}

// The one used last first, so that those beyond need grow old and go. Guards against a second answer that
// comes some milliseconds after the first: it would be passed on as that to the next request; of a probe it
// would only be a wrong report. Where many settle, as at a backend that is asked hundreds of times a second,
// the one that has for longest will do.
std::shared_ptr<Upstream::Connection> Upstream::Connections::best_idle(
    const std::vector<std::shared_ptr<Connection>>& pool, bool probe) const {
  std::shared_ptr<Connection> best;
  std::shared_ptr<Connection> first;
  std::size_t settling = 0;
  const Millis now = loop_.now();
  for (const auto& connection : pool) {
    if (!connection->idle()) continue;
    if (probe || connection->settled_at <= now) {
      if (!best || connection->unused_since > best->unused_since) best = connection;
    } else {
      ++settling;
      if (!first || connection->settled_at < first->settled_at) first = connection;
    }
  }
  return best || settling < kMostSettling ? best : first;
}

std::shared_ptr<Upstream::Connection> Upstream::Connections::take_idle(BackendId backend,
                                                                       const std::string& dial, bool probe) {
  while (true) {
    const auto pool = pools_.find(backend);
    if (pool == pools_.end()) return nullptr;
    const std::shared_ptr<Connection> best = best_idle(pool->second, probe);
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

void Upstream::Connections::rest(Connection& connection, bool settles) {
  connection.unused_since = loop_.now();
  if (settles) connection.settled_at = connection.unused_since + settle_;
  connection.unused = unused_.insert(unused_.end(), &connection);
}

void Upstream::Connections::use(Connection& connection) {
  if (connection.unused) unused_.erase(*connection.unused);
  connection.unused.reset();
}

bool Upstream::Connections::evict_idle() {
  if (unused_.empty()) return false;
  Connection& oldest = *unused_.front();
  if (!guard::may_close_idle({.under_way = oldest.job != nullptr || oldest.answer_flow != nullptr}))
    return false;
  forget(oldest, Ending::kEvicted);
  return true;
}

Millis Upstream::Connections::unused_since() const {
  return unused_.empty() ? 0 : unused_.front()->unused_since;
}

// Closes a connection; it is freed once the handler at hand, which may be its own, is done.
void Upstream::Connections::forget(Connection& connection, Ending why) {
  const std::shared_ptr<Connection> hold = connection.shared_from_this();
  use(connection);
  connection.stream.close();
  loop_.later([hold] {});
  const auto pool = pools_.find(connection.backend);
  if (pool == pools_.end()) return;
  const std::size_t erased = std::erase(pool->second, hold);
  count_ -= erased;
  if (erased > 0 && recorder_ != nullptr) recorder_->backend_closed(connection.backend, why);
  if (pool->second.empty()) pools_.erase(pool);
}

void Upstream::Connections::sweep() {
  const Millis now = loop_.now();
  std::map<BackendId, std::size_t> kept;
  for (auto it = unused_.begin(); it != unused_.end();) {
    Connection& connection = **it++;
    if (now - connection.unused_since >= most_idle_ || ++kept[connection.backend] > kMostIdle)
      forget(connection, Ending::kIdle);
  }
}

std::vector<std::shared_ptr<Upstream::Connection>> Upstream::Connections::of(
    const std::vector<BackendId>& backends) const {
  std::vector<std::shared_ptr<Connection>> found;
  for (const BackendId backend : backends) {
    const auto pool = pools_.find(backend);
    if (pool != pools_.end()) found.insert(found.end(), pool->second.begin(), pool->second.end());
  }
  return found;
}

std::vector<std::shared_ptr<Upstream::Connection>> Upstream::Connections::all() const {
  std::vector<std::shared_ptr<Connection>> found;
  for (const auto& [backend, pool] : pools_) found.insert(found.end(), pool.begin(), pool.end());
  return found;
}

}  // namespace shorelead::node
