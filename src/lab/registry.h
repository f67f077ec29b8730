// The stand-in discovery: the list of boxes as nodes may ask for it or watch it, told late, out of step, from
// an older number, empty or not at all. It owns the list as told and the log of what was written to whom; it
// must never tell what is not on its list, but for the empty list that it is asked to lie with.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/list_source.h"
#include "lab/records.h"

namespace shorelead::lab {

class Registry : public ListSource {
 public:
  // dial(box, node) is where that node finds the box.
  Registry(boost::asio::io_context& context, int nodes, const std::vector<std::string>& addresses,
           std::function<std::string(int, int)> dial, const std::vector<BoxNote>& boxes,
           const std::vector<std::string>& zones);
  ~Registry() override;

  void publish(int box, BoxState state) override;
  std::string dial(int node) const override;
  std::string list(int node) const override;

  void down(bool on) override;
  void restart() override;  // forgets its numbers and cuts all watches
  void lie_empty(bool on) override;

  const std::vector<Told>& told() const override { return told_; }
  std::uint64_t watches() const { return watches_; }

 private:
  class Session;
  struct Entry {
    BoxState state = BoxState::kReady;
    std::uint64_t version = 0;
  };
  struct Line {
    std::string text;
    std::vector<std::pair<int, BoxState>> says;  // of which boxes, for the log
  };

  void accept(int node);
  void listen(int node);
  std::string entry(int box, BoxState state, int node) const;
  Line whole(int node) const;
  Line since(int node, std::uint64_t version) const;
  Line one(int node, int box, BoxState state) const;
  std::string object(std::uint64_t version, bool is_whole, const std::string& hosts) const;

  boost::asio::io_context& context_;
  std::vector<std::string> addresses_;
  std::vector<unsigned short> ports_;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> acceptors_;
  const std::function<std::string(int, int)> dial_;
  const std::vector<BoxNote>& boxes_;
  const std::vector<std::string>& zones_;
  std::map<int, Entry> entries_;
  std::uint64_t version_ = 1;
  std::uint64_t oldest_ = 0;  // changes before this are not known one by one
  bool down_ = false;
  bool empty_ = false;
  std::set<std::shared_ptr<Session>> sessions_;
  std::vector<Told> told_;
  std::uint64_t watches_ = 0;
};

}  // namespace shorelead::lab
