// One connection to a member of the stand-in registry: calls in turn, or one watch. Owns its socket, the
// framing and what its watch was told; it must never change the store itself.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/clock.h"
#include "lab/etcd_server.h"

namespace shorelead::lab {

class EtcdSession : public std::enable_shared_from_this<EtcdSession> {
 public:
  EtcdSession(EtcdServer& owner, std::size_t member, boost::asio::ip::tcp::socket socket);
  void read();
  void close();
  bool watching() const { return watching_; }
  void go_deaf() { deaf_ = true; }
  void push();  // what the watch has not been told yet, as far as its member has got

 private:
  void parse();
  void take(const std::string& target, const std::string& body);
  void watch(const etcd::WatchCall& call);
  void send(std::string text, std::vector<KeyChange> told, bool last);
  void write(std::shared_ptr<std::string> text, std::vector<KeyChange> told, bool last);

  EtcdServer& owner_;
  const std::size_t member_;
  boost::asio::ip::tcp::socket socket_;
  Alarm delay_;
  std::array<char, 4096> part_;
  std::string input_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  bool watching_ = false;
  bool deaf_ = false;
  bool writing_ = false;
  bool closed_ = false;
  std::string from_;
  std::string end_;
  std::uint64_t next_ = 0;
};

}  // namespace shorelead::lab
