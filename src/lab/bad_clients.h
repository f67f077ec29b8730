// Clients that do not ask properly: each sends one kind of nonsense and waits for what it is owed, an error
// or the end of its connection. It must never send anything that a node could rightly serve.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "lab/clock.h"
#include "lab/experiment.h"
#include "lab/nodes.h"
#include "lab/records.h"

namespace shorelead::lab {

class BadClients {
 public:
  BadClients(boost::asio::io_context& context, const Experiment& experiment, Front& front);
  void run(Millis begin, Millis until);
  void collect(Run& run);

 private:
  class Client;
  void next();
  std::string nonsense(const std::string& kind);

  boost::asio::io_context& context_;
  const Experiment& experiment_;
  Front& front_;
  Draw draw_;
  Alarm alarm_;
  Millis until_ = 0;
  std::vector<BadClient> records_;
  std::size_t kind_ = 0;
};

}  // namespace shorelead::lab
