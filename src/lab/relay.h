// The way from one process to one member of the store: a listener of its own that passes bytes on, and can be
// cut (both ways, or one), slow, or end connections after any byte. It must never look into what it passes.
//
// Both ways: nothing passes, and new connections do not come up. One way: connections come up, and what goes
// that way is lost, so asks are carried out whose answers never come, or watches go on while no ask gets
// through. When a cut ends, connections that have lost something are reset; the others go on.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/clock.h"
#include "lab/draw.h"

namespace shorelead::lab {

class Relay {
 public:
  enum class Cut { kNone, kBoth, kAsks, kAnswers };

  // Throws where `address` cannot be listened on. `faults` must outlive it.
  Relay(boost::asio::io_context& context, const std::string& address, std::string target, Draw& faults);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::string dial() const;
  void cut(Cut way);
  void latency(Millis one_way) { latency_ = one_way; }
  void end_within(double share) { share_ = share; }  // of answers' parts: some bytes, then the end
  void down(bool on);                                // connections are refused, those there end
  std::size_t open() const { return pairs_.size(); }

 private:
  class Pair;
  void listen();
  void accept();
  void stuff(bool on);
  void end_all();

  boost::asio::io_context& context_;
  const std::string target_;
  Draw& faults_;
  boost::asio::ip::tcp::endpoint at_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Pair>> pairs_;
  std::vector<boost::asio::ip::tcp::socket> stuffing_;  // keeps the listener's queue full while it is cut
  Cut cut_ = Cut::kNone;
  Millis latency_ = 0;
  double share_ = 0;
  bool down_ = false;
};

}  // namespace shorelead::lab
