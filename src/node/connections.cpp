#include "node/connections.h"

#include <map>

#include "guard/guard.h"
#include "node/recorder.h"

namespace shorelead::node {
namespace {

constexpr double kIdleTimeoutShare = 0.5;  // of the backend's idle timeout, so that this side closes first
constexpr Millis kDefaultMaxIdleTime = 10000;  // used where the settings give no idle timeout
constexpr std::size_t kMaxIdle = 32;           // per backend
// Per backend; beyond this many, one is reused before it has settled.
constexpr std::size_t kMaxSettling = 8;

}  // namespace

void Upstream::Connections::adopt(Millis idle_timeout, Millis settle) {
  settle_ = settle;
  max_idle_time_ = idle_timeout > 0 ? kIdleTimeoutShare * idle_timeout : kDefaultMaxIdleTime;
}

void Upstream::Connections::add(const std::shared_ptr<Connection>& connection) {
  by_backend_[connection->backend].push_back(connection);
  ++count_;
  if (recorder_ != nullptr) recorder_->backend_opened(connection->backend);
}

// Prefers the most recently used, so that surplus connections age and are closed. An attempt gets only a
// settled connection: a duplicate response that arrives some milliseconds after the first would be taken for
// the response to the next request (for a probe that would only be a wrong load report). When many are
// settling, as at a backend with hundreds of requests a second, the one that will settle first is used.
std::shared_ptr<Upstream::Connection> Upstream::Connections::best_idle(
    const std::vector<std::shared_ptr<Connection>>& pool, bool probe) const {
  std::shared_ptr<Connection> best;
  std::shared_ptr<Connection> first;
  std::size_t settling = 0;
  const Millis now = loop_.now();
  for (const auto& connection : pool) {
    if (!connection->idle()) continue;
    if (probe || connection->settled_at <= now) {
      if (!best || connection->idle_since > best->idle_since) best = connection;
    } else {
      ++settling;
      if (!first || connection->settled_at < first->settled_at) first = connection;
    }
  }
  return best || settling < kMaxSettling ? best : first;
}

std::shared_ptr<Upstream::Connection> Upstream::Connections::take_idle(BackendId backend,
                                                                       const std::string& dial, bool probe) {
  while (true) {
    const auto pool = by_backend_.find(backend);
    if (pool == by_backend_.end()) return nullptr;
    const std::shared_ptr<Connection> best = best_idle(pool->second, probe);
    if (!best) return nullptr;
    const Millis now = loop_.now();
    const Millis age = now - best->idle_since;
    guard::ConnectionState state;
    state.idle = age;
    state.max_idle = idle_record_.usable(age, now) ? max_idle_time_ : 0;
    state.address_current = best->dial == dial;
    // An unread end of stream would make the next request count as possibly processed.
    state.unread = !best->stream.quiet();
    const guard::Verdict verdict = guard::may_reuse(state);
    if (verdict) return best;
    close(*best, verdict.reason == guard::Reason::kInputUnread ? Ending::kPeerClosed : Ending::kIdle);
  }
}

void Upstream::Connections::mark_idle(Connection& connection, bool settle) {
  connection.idle_since = loop_.now();
  if (settle) connection.settled_at = connection.idle_since + settle_;
  connection.idle_pos = idle_.insert(idle_.end(), &connection);
}

void Upstream::Connections::mark_in_use(Connection& connection) {
  if (connection.idle_pos) idle_.erase(*connection.idle_pos);
  connection.idle_pos.reset();
}

bool Upstream::Connections::evict_idle() {
  if (idle_.empty()) return false;
  Connection& oldest = *idle_.front();
  if (!guard::may_close_idle({.under_way = oldest.job != nullptr || oldest.response_flow != nullptr}))
    return false;
  close(oldest, Ending::kEvicted);
  return true;
}

Millis Upstream::Connections::oldest_idle_since() const {
  return idle_.empty() ? 0 : idle_.front()->idle_since;
}

// Closes a connection. It is destroyed after the current handler returns, as that may be the connection's
// own.
void Upstream::Connections::close(Connection& connection, Ending why) {
  const std::shared_ptr<Connection> hold = connection.shared_from_this();
  mark_in_use(connection);
  connection.stream.close();
  loop_.later([hold] {});
  const auto pool = by_backend_.find(connection.backend);
  if (pool == by_backend_.end()) return;
  const std::size_t erased = std::erase(pool->second, hold);
  count_ -= erased;
  if (erased > 0 && recorder_ != nullptr) recorder_->backend_closed(connection.backend, why);
  if (pool->second.empty()) by_backend_.erase(pool);
}

void Upstream::Connections::sweep() {
  const Millis now = loop_.now();
  std::map<BackendId, std::size_t> kept;
  for (auto it = idle_.begin(); it != idle_.end();) {
    Connection& connection = **it++;
    if (now - connection.idle_since >= max_idle_time_ || ++kept[connection.backend] > kMaxIdle)
      close(connection, Ending::kIdle);
  }
}

std::vector<std::shared_ptr<Upstream::Connection>> Upstream::Connections::of_backends(
    const std::vector<BackendId>& backends) const {
  std::vector<std::shared_ptr<Connection>> found;
  for (const BackendId backend : backends) {
    const auto pool = by_backend_.find(backend);
    if (pool != by_backend_.end()) found.insert(found.end(), pool->second.begin(), pool->second.end());
  }
  return found;
}

std::vector<std::shared_ptr<Upstream::Connection>> Upstream::Connections::all() const {
  std::vector<std::shared_ptr<Connection>> found;
  for (const auto& [backend, pool] : by_backend_) found.insert(found.end(), pool.begin(), pool.end());
  return found;
}

}  // namespace shorelead::node
