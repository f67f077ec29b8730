// All connections to backends, by backend, and those of them that stand unused, by age. It owns them. It must
// never hand out one that is too old, whose backend has ended it, or on which something came unasked.
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
  void rest(Connection& connection, bool settles);  // it stands unused from now on
  void use(Connection& connection);                 // and no longer
  void forget(Connection& connection, Ending why);
  // What became of a request on one that had stood unused for `age`.
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
  // No event walks all connections: they are found by backend and by age.
  std::unordered_map<BackendId, std::vector<std::shared_ptr<Connection>>> pools_;
  std::list<Connection*> unused_;  // the longest unused first
  std::size_t count_ = 0;
  KeptRecord kept_;
};

}  // namespace shorelead::node
