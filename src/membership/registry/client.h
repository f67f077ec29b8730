// Runs a follower over sockets: sends its calls and passes the responses on. Owns two exchanges, the current
// call and the check beside a watch. It decides neither what to call and when, nor what a response means.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "membership/registry/exchange.h"
#include "membership/registry/follower.h"
#include "membership/view.h"

namespace shorelead::membership::registry {

struct Spec {
  std::vector<Poco::Net::SocketAddress> endpoints;
  std::string prefix;
  std::optional<net::TlsFiles> tls;

  bool operator==(const Spec&) const = default;
};

class Client {
 public:
  struct Listener {
    std::function<void(const Update&)> changed;  // only if there are changes
    std::function<void()> synced;                // the first whole list has arrived
    std::function<void(const std::string&)> trouble;
  };

  // Throws std::runtime_error if the TLS keys are unusable.
  Client(net::Loop& loop, const Spec& spec, View& view, int source, std::uint64_t seed, Listener listener,
         const FollowerOptions& options = {});
  ~Client();

  void start() { go_on(); }
  bool synced() const { return follower_.synced(); }
  const Follower& follower() const { return follower_; }

 private:
  void go_on();
  void ask();
  void answered(int status, std::string body);
  void part(std::string text);
  void ended(net::Ending ending);
  void leave();
  void take(const Update& update);
  void plan_check();
  void check();
  void plan_tick();

  std::shared_ptr<const net::TlsContext> keys();

  net::Loop& loop_;
  const Spec spec_;
  std::shared_ptr<net::TlsContext> tls_;
  View& view_;
  const int source_;
  Listener listener_;
  Follower follower_;
  std::unique_ptr<Exchange> call_;
  int call_endpoint_ = -1;
  std::unique_ptr<Exchange> check_;
  std::string lines_;
  std::size_t searched_ = 0;
  bool told_synced_ = false;
  net::Loop::TimerId ask_at_ = 0;
  net::Loop::TimerId check_at_ = 0;
  net::Loop::TimerId tick_at_ = 0;
};

}  // namespace shorelead::membership::registry
