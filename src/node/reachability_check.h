// Checks whether discovery's address refuses connections, by connecting and sending nothing, again and again
// until a check has another outcome. Only a refused connection proves that nobody listens there: a rejected
// call, a reset, a time-out and a failure of this machine do not. Owns at most one connection at a time.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <functional>
#include <memory>

#include "node/net.h"

namespace shorelead::node {

class ReachabilityCheck : public Stream::Handler {
 public:
  // `refused` is called when a connection was refused, with the time before it was attempted: nobody may be
  // said to have been away for longer than up to then.
  ReachabilityCheck(Loop& loop, std::function<void(Millis checked_at)> refused);
  ~ReachabilityCheck() override;
  ReachabilityCheck(const ReachabilityCheck&) = delete;
  ReachabilityCheck& operator=(const ReachabilityCheck&) = delete;

  // Checks at once, and then once in each `interval` for as long as connections are refused.
  void start(const Poco::Net::SocketAddress& address, Millis interval);
  void stop();

 private:
  void on_connected(Stream&) override { stop(); }
  void on_input(Stream&) override { stop(); }
  void on_end(Stream& stream, Ending ending) override;
  void check();
  void checked(const Stream& stream);

  Loop& loop_;
  const std::function<void(Millis)> refused_;
  Poco::Net::SocketAddress address_;
  Millis interval_ = 0;
  Millis checked_at_ = 0;  // when the present or last check began
  std::shared_ptr<Stream> stream_;
  Loop::TimerId timer_ = 0;
};

}  // namespace shorelead::node
