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

  void start() { schedule_call(); }
  bool synced() const { return follower_.synced(); }
  const Follower& follower() const { return follower_; }

 private:
  void schedule_call();
  void send_call();
  void on_answered(int status, std::string body);
  void on_part(std::string text);
  void on_ended(net::Ending ending);
  void close_call();
  void apply(const Update& update);
  void schedule_check();
  void run_check();
  void schedule_tick();

  std::shared_ptr<const net::TlsContext> load_tls_keys();

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
  std::string buffer_;
  std::size_t searched_ = 0;
  bool reported_synced_ = false;
  net::Loop::TimerId call_timer_ = 0;
  net::Loop::TimerId check_timer_ = 0;
  net::Loop::TimerId tick_timer_ = 0;
};

}  // namespace shorelead::membership::registry
