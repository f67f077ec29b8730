// HTTP connections to the members of the store: a few to one member at a time, failing over to the next. Owns
// the connections and the choice of the member. Independent of the contents of calls. Calls back exactly once
// per call, and never synchronously.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "membership/registry/exchange.h"
#include "net/loop.h"
#include "net/tls.h"

namespace shorelead::fleet {

struct StoreSpec {
  std::vector<Poco::Net::SocketAddress> endpoints;
  std::optional<net::TlsFiles> tls;
};

// Status 0: no complete answer within the time limit.
struct Reply {
  int status = 0;
  std::string body;
};

class StoreConnections {
 public:
  using Trouble = std::function<void(const std::string&)>;
  // Throws std::runtime_error if TLS is configured and its files cannot be used.
  StoreConnections(net::Loop& loop, StoreSpec spec, Trouble trouble);
  ~StoreConnections();
  StoreConnections(const StoreConnections&) = delete;
  StoreConnections& operator=(const StoreConnections&) = delete;

  void post(const std::string& path, const std::string& body, Millis within, std::function<void(Reply)> done);
  // A stream from the current member, owned by the caller.
  std::unique_ptr<membership::registry::Exchange> stream(membership::registry::Exchange::Listener listener);
  std::size_t endpoint() const { return endpoint_; }
  // Switches to the next member if `endpoint` is still the current one.
  void fail_over(std::size_t endpoint);

 private:
  struct Connection {
    std::size_t endpoint;
    std::unique_ptr<membership::registry::Exchange> exchange;
    std::function<void(Reply)> done;  // of the call in flight, or empty
  };
  using Position = std::list<std::unique_ptr<Connection>>::iterator;

  Connection& idle_connection();
  Position find(const Connection* connection);
  void drop(Position position);
  void finish(Connection* connection, Reply reply);
  std::shared_ptr<const net::TlsContext> tls_context();

  net::Loop& loop_;
  const StoreSpec spec_;
  const Trouble trouble_;
  std::shared_ptr<net::TlsContext> tls_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::size_t endpoint_ = 0;
};

}  // namespace shorelead::fleet
