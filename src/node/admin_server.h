// The admin server on a socket: callers' connections, one line in, one answer out. It owns them and their
// bounds. It must never know what a call means, hold more than a few callers, let one that says nothing keep
// out one that does, or touch the descriptors that clients and backends share: it has a reserve of its own.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "manage/calls.h"
#include "node/net.h"

namespace shorelead::node {

class AdminServer : public Watch::Handler {
 public:
  static constexpr std::size_t kMaxCallers = 24;
  static constexpr int kDescriptors =
      static_cast<int>(kMaxCallers) + 2;  // with the listener, one just accepted

  struct Counters {
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;    // lines that were no call
    std::uint64_t evicted = 0;    // callers that gave way to others
    std::uint64_t timed_out = 0;  // and that took too long
  };

  using CallHandler = std::function<std::string(const manage::Call&)>;

  // Throws Poco::Exception where the address cannot be listened on.
  AdminServer(Loop& loop, const Poco::Net::SocketAddress& address, CallHandler handle_call);
  ~AdminServer() override;

  unsigned short port() const { return socket_.address().port(); }
  const Counters& counters() const { return counters_; }

 private:
  class Caller;

  void on_readable() override;
  void close_caller(Caller& caller);
  void evict_if_full();
  void close_expired();

  Loop& loop_;
  CallHandler handle_call_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<Watch> watch_;
  std::list<std::shared_ptr<Caller>> callers_;  // the longest here first
  Loop::TimerId expiry_timer_ = 0;
  Loop::TimerId accept_timer_ = 0;
  Counters counters_;
};

}  // namespace shorelead::node
