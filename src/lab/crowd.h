// Idle clients in numbers: connections that say nothing and stay, to fill a node's descriptors. Owns them; it
// must never send a byte, nor judge what becomes of one.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "lab/clock.h"
#include "lab/experiment.h"
#include "lab/nodes.h"
#include "lab/records.h"

namespace shorelead::lab {

class IdleCrowd {
 public:
  IdleCrowd(boost::asio::io_context& context, const Front& front);
  ~IdleCrowd();

  void act(const Action& action);  // of other kinds it takes no notice
  void collect(Run& run) const;

 private:
  struct Visit;

  boost::asio::io_context& context_;
  const Front& front_;
  std::vector<std::shared_ptr<Visit>> visits_;
  std::vector<CrowdSpan> spans_;
};

}  // namespace shorelead::lab
