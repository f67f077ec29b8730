// All connections to backends, indexed by backend, and the idle ones ordered by how long they have been idle.
// Owns the connections. It never reuses one that is too old, was closed by its backend or holds unread input.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "node/backend_connection.h"
#include "node/connection_statistics.h"

namespace shorelead::node {

class Upstream::Connections {
 public:
  Connections(Loop& loop, Recorder* recorder) : loop_(loop), recorder_(recorder) {}
  void adopt(Millis idle_timeout, Millis settle);

  void add(const std::shared_ptr<Connection>& connection);
  std::shared_ptr<Connection> take_idle(BackendId backend, const std::string& dial, bool probe);
  void mark_idle(Connection& connection, bool settle);  // becomes idle
  void mark_in_use(Connection& connection);             // no longer idle
  void close(Connection& connection, Ending why);
  // Records whether a request failed on a connection that had been idle for `age`.
  void record(Millis age, bool failed) { idle_record_.record_outcome(age, failed, loop_.now()); }
  bool evict_idle();
  Millis oldest_idle_since() const;
  void sweep();

  std::vector<std::shared_ptr<Connection>> of_backends(const std::vector<BackendId>& backends) const;
  std::vector<std::shared_ptr<Connection>> all() const;
  std::size_t count() const { return count_; }
  std::size_t idle() const { return idle_.size(); }

 private:
  std::shared_ptr<Connection> best_idle(const std::vector<std::shared_ptr<Connection>>& pool,
                                        bool probe) const;

  Loop& loop_;
  Recorder* const recorder_;
  Millis max_idle_time_ = 0;
  Millis settle_ = 0;
  // Indexed so that no event has to scan all connections.
  std::unordered_map<BackendId, std::vector<std::shared_ptr<Connection>>> by_backend_;
  std::list<Connection*> idle_;  // the longest idle first
  std::size_t count_ = 0;
  IdleConnectionRecord idle_record_;
};

}  // namespace shorelead::node
