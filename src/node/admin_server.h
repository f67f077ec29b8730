// The admin server: accepts connections of callers, reads one line from each and writes one response. Calls
// are carried out by the handler that it is given. The number of connections is bounded, with descriptors
// reserved for them beside those of clients and backends; when it is reached, a new caller evicts an old one,
// so that silent callers cannot lock others out.
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
      static_cast<int>(kMaxCallers) + 2;  // and the listener, and one just accepted

  struct Counters {
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;    // lines that are no valid call
    std::uint64_t evicted = 0;    // callers closed in favour of new ones
    std::uint64_t timed_out = 0;  // callers that sent no whole call in time
  };

  using CallHandler = std::function<std::string(const manage::Call&)>;

  // Throws Poco::Exception if it cannot listen on the address.
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
  std::list<std::shared_ptr<Caller>> callers_;  // oldest first
  Loop::TimerId expiry_timer_ = 0;
  Loop::TimerId accept_timer_ = 0;
  Counters counters_;
};

}  // namespace shorelead::node
