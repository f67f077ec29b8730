// Calls to a store's members over HTTP: a few connections to one member at a time, the next one when it
// fails. Owns the connections and which member is asked. It must never know what is asked or answered, nor
// call back more or less than once for each call, nor within the call itself.
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

// Status 0: none came, or not whole, in time.
struct Reply {
  int status = 0;
  std::string body;
};

class StoreLines {
 public:
  using Trouble = std::function<void(const std::string&)>;
  // Throws std::runtime_error where TLS is asked for and its files are of no use.
  StoreLines(net::Loop& loop, StoreSpec spec, Trouble trouble);
  ~StoreLines();
  StoreLines(const StoreLines&) = delete;
  StoreLines& operator=(const StoreLines&) = delete;

  void post(const std::string& path, const std::string& body, Millis within, std::function<void(Reply)> done);
  // A stream from the member that is asked now, which the caller owns.
  std::unique_ptr<membership::registry::Exchange> stream(membership::registry::Exchange::Listener listener);
  std::size_t endpoint() const { return endpoint_; }
  void leave(std::size_t endpoint);  // it is of no use: the next one, if it is still the one that is asked

 private:
  struct Line {
    std::size_t endpoint;
    std::unique_ptr<membership::registry::Exchange> exchange;
    std::function<void(Reply)> done;  // of the call under way, or none
  };
  using Place = std::list<std::unique_ptr<Line>>::iterator;

  Line& idle();
  Place find(const Line* line);
  void drop(Place place);
  void over(Line* line, Reply reply);
  std::shared_ptr<const net::TlsContext> keys();

  net::Loop& loop_;
  const StoreSpec spec_;
  const Trouble trouble_;
  std::shared_ptr<net::TlsContext> tls_;
  std::list<std::unique_ptr<Line>> lines_;
  std::size_t endpoint_ = 0;
};

}  // namespace shorelead::fleet
