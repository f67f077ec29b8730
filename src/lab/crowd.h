// Clients in numbers that do one thing and stay, so that they hold a node's descriptors or memory. Owns them;
// it must never judge what becomes of one. What they do (Action::clients):
//   idle          say nothing
//   unfinished    leave out the end of a body of 65,000 bytes
//   half_body     leave out half of a body of 250,000 bytes
//   many_fields   send a head of thousands of fields that does not end
//   no_reading    ask for 1 MB and read nothing
//   slow_reading  ask for 1 MB and read 40 KB a second
//   mixed         all of these but the first
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

// Requests of a crowd have ids that begin so: boxes answer them with kCrowdAnswer bytes and keep no record.
inline constexpr const char* kCrowdId = "crowd-";
inline constexpr std::size_t kCrowdAnswer = 1000000;

class Crowd {
 public:
  Crowd(boost::asio::io_context& context, const Experiment& experiment, const Front& front);
  ~Crowd();

  void act(const Action& action);  // of other kinds it takes no notice
  void collect(Run& run) const;

 private:
  class Client;
  struct Visit;

  std::string text(const std::string& clients, int number);

  boost::asio::io_context& context_;
  const Experiment& experiment_;
  const Front& front_;
  std::vector<std::shared_ptr<Visit>> visits_;
  std::vector<CrowdSpan> spans_;
  int last_id_ = 0;
};

}  // namespace shorelead::lab
