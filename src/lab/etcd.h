// The stand-in registry as a list of boxes: what is published of them stands as keys of a server that speaks
// etcd v3. Owns the boxes' keys and the log of what was written to whom; keys of others, such as processes of
// a fleet, may stand beside them and are none of its business. It must never know how a client asks.
//
// Each node has a prefix of its own (/nN/), as boxes are found at other addresses from each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/etcd_server.h"
#include "lab/experiment.h"
#include "lab/list_source.h"
#include "lab/records.h"

namespace shorelead::lab {

class EtcdRegistry : public ListSource {
 public:
  EtcdRegistry(boost::asio::io_context& context, const Experiment& experiment, const std::string& address,
               std::function<std::string(int, int)> dial, const std::vector<BoxNote>& boxes);

  void publish(int box, BoxState state) override;
  std::string dial(int node) const override;
  std::string list(int node) const override;
  void down(bool on) override { server_.down(on); }
  void restart() override;
  void lie_empty(bool on) override { server_.empty(on); }
  const std::vector<Told>& told() const override { return told_; }
  EtcdServer& server() { return server_; }  // for its further troubles

 private:
  std::string value(int box, BoxState state, int node) const;
  void note(const std::vector<KeyChange>& told);

  const Experiment& experiment_;
  const std::function<std::string(int, int)> dial_;
  const std::vector<BoxNote>& boxes_;
  std::map<std::string, int> box_of_;  // by host
  std::map<int, BoxState> states_;
  std::vector<Told> told_;
  EtcdServer server_;
};

}  // namespace shorelead::lab
