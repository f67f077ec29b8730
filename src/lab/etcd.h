// The stand-in registry: a key store behind etcd v3's JSON gateway as published (range, watch), on several
// members, with the troubles that the experiment asks for: connections cut after any byte, compaction,
// members that lag, watches that go deaf, answers of nothing. Owns the store and the log of what was written
// to whom; its texts are its own, so that the node's reading is not tested against itself. It must never tell
// what the store has not, but for the lies that it is asked for.
//
// Each node has a prefix of its own (/nN/), as boxes are found at other addresses from each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/clock.h"
#include "lab/draw.h"
#include "lab/experiment.h"
#include "lab/key_store.h"
#include "lab/list_source.h"
#include "lab/records.h"

namespace shorelead::lab {

class EtcdRegistry : public ListSource {
 public:
  EtcdRegistry(boost::asio::io_context& context, const Experiment& experiment, const std::string& address,
               std::function<std::string(int, int)> dial, const std::vector<BoxNote>& boxes);
  ~EtcdRegistry() override;

  void publish(int box, BoxState state) override;
  std::string dial(int node) const override;
  std::string list(int node) const override;
  void down(bool on) override;
  void restart() override;
  void lie_empty(bool on) override;
  const std::vector<Told>& told() const override { return told_; }

 private:
  class Session;
  friend class Session;

  void listen(std::size_t member);
  void accept(std::size_t member);
  void poke();
  void trouble();
  std::uint64_t seen_by(std::size_t member) const;
  std::string header(std::size_t member) const;
  std::string item(const std::string& key, const StoredKey& stored) const;
  std::string value(int box, BoxState state, int node) const;
  // Which box of which node a change is of, for the log.
  void note(const std::string& key, bool deleted, const std::string& value, std::vector<Told>& says) const;

  boost::asio::io_context& context_;
  const Experiment& experiment_;
  const std::string address_;
  const std::function<std::string(int, int)> dial_;
  const std::vector<BoxNote>& boxes_;
  std::vector<unsigned short> ports_;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> acceptors_;
  std::vector<std::uint64_t> lag_;
  KeyStore store_;
  std::map<std::string, int> box_of_;  // by host
  std::map<int, BoxState> states_;
  bool down_ = false;
  bool empty_ = false;
  std::set<std::shared_ptr<Session>> sessions_;
  std::vector<Told> told_;
  Draw faults_;
  Alarm alarm_;
  Millis compact_at_ = 0;
};

}  // namespace shorelead::lab
