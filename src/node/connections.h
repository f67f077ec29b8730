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
  void rest(Connection& connection, bool settles);  // becomes idle
  void use(Connection& connection);                 // no longer idle
  void forget(Connection& connection, Ending why);
  // Records whether a request failed on a connection that had been idle for `age`.
  void note(Millis age, bool broke) { kept_.note(age, broke, loop_.now()); }
  bool evict_idle();
  Millis unused_since() const;
  void sweep();

  std::vector<std::shared_ptr<Connection>> of(const std::vector<BackendId>& backends) const;
  std::vector<std::shared_ptr<Connection>> all() const;
  std::size_t count() const { return count_; }
  std::size_t idle() const { return unused_.size(); }

 private:
  std::shared_ptr<Connection> best_idle(const std::vector<std::shared_ptr<Connection>>& pool,
                                        bool probe) const;

  Loop& loop_;
  Recorder* const recorder_;
  Millis most_idle_ = 0;
  Millis settle_ = 0;
  // Indexed so that no event has to scan all connections.
  std::unordered_map<BackendId, std::vector<std::shared_ptr<Connection>>> pools_;
  std::list<Connection*> unused_;  // the longest idle first
  std::size_t count_ = 0;
  KeptRecord kept_;
};

}  // namespace shorelead::node
