// The stand-in discovery: the list of boxes as nodes may ask for it or watch it, told late, out of step, from
// an older number, empty, in half or not at all. It owns the list as told, and the record of what discovery
// had when, what was written to whom and which calls came; it must never tell what is not on its list, but
// for the empty list that it is asked to lie with.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/experiment.h"
#include "lab/list_source.h"
#include "lab/records.h"
#include "lab/registry_session.h"

namespace shorelead::lab {

class Registry : public ListSource {
 public:
  // dial(box, node) is where that node finds the box. Each node finds the registry at two addresses of its
  // own.
  Registry(boost::asio::io_context& context, int nodes, const std::vector<std::string>& addresses,
           std::function<std::string(int, int)> dial, const std::vector<BoxNote>& boxes,
           const std::vector<std::string>& zones, const DiscoverySpec& spec = {});
  ~Registry() override;

  void publish(int box, BoxState state) override;
  std::string dial(int node) const override;
  std::string second_dial(int node) const override;
  std::string list(int node) const override;
  std::string known(int node) const override;

  void down(bool on) override;
  void restart() override;  // forgets its numbers and cuts all watches
  void lie_empty(bool on) override;
  void befall(const std::string& fault, Millis latency, bool on) override;

  const std::vector<Told>& told() const override { return told_; }
  void collect(Run& run) const override;

  // ---- of its sessions ----
  boost::asio::io_context& context() { return context_; }
  const ListTrouble& trouble() const { return trouble_; }
  ListLine whole(int node) const;
  ListLine since(int node, std::uint64_t version) const;
  std::size_t call_begins(int node);
  ListCall& call(std::size_t number) { return calls_[number]; }
  void wrote(int node, int box, BoxState state);
  void ended(const std::shared_ptr<RegistrySession>& session) { sessions_.erase(session); }

 private:
  using Sessions = std::set<std::shared_ptr<RegistrySession>>;
  struct Entry {
    BoxState state = BoxState::kReady;
    std::uint64_t version = 0;
  };

  void accept(int door);
  void listen(int door);
  void unreachable(bool on);
  std::string entry(int box, BoxState state, int node) const;
  ListLine one(int node, int box, BoxState state) const;
  std::string object(std::uint64_t version, bool is_whole, const std::string& hosts) const;

  boost::asio::io_context& context_;
  const int nodes_;
  const std::vector<std::string> addresses_;
  const DiscoverySpec spec_;
  std::vector<unsigned short> ports_;  // of all first addresses, then of all second ones
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> acceptors_;
  const std::function<std::string(int, int)> dial_;
  const std::vector<BoxNote>& boxes_;
  const std::vector<std::string>& zones_;
  std::map<int, Entry> entries_;
  std::uint64_t version_ = 1;
  std::uint64_t oldest_ = 0;  // changes before this are not known one by one
  bool down_ = false;
  bool empty_ = false;
  ListTrouble trouble_;
  Sessions sessions_;
  std::vector<Told> told_;
  std::vector<Changed> had_;
  std::vector<ListCall> calls_;
  std::vector<Outage> outages_;
  std::vector<int> first_boxes_;  // that were there before the first call
};

}  // namespace shorelead::lab
