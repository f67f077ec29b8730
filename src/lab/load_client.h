// One connection of a client and the request on it, as the load sends it. Private to the load. Owns the
// socket and what is written down of the request; it must never decide when to ask.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

#include "lab/load.h"

namespace shorelead::lab {

// What somebody wants, over all tries.
struct Load::Wish {
  int request_class = 0;
  Millis intended = 0;
  Millis give_up = 0;  // the moment
  std::string key;
  std::string tenant;
  std::string basket;
  int tries = 0;
  std::uint32_t chain = 0;
};

class Load::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(Load& owner, int node);
  void ask(std::shared_ptr<Wish> wish, std::size_t record);
  void drop();

 private:
  Asked& record() { return owner_.records_[record_]; }
  Millis draw_leave();
  void arm_silence();
  void compose();
  void connect();
  void connect_again();
  void write();
  void read();
  void take(std::size_t size);
  void closed();
  void once_more();
  void finish(ClientEnd end, bool keep = false);
  void leave_pool();

  Load& owner_;
  const int node_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::array<char, 8192> part_;
  std::string input_;
  std::string text_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  std::shared_ptr<Wish> wish_;
  std::size_t record_ = static_cast<std::size_t>(-1);
  std::size_t before_ = static_cast<std::size_t>(-1);  // of the request before it on this connection
  double retry_after_ = -1;
  Alarm retry_;  // of connecting to a process that starts
  bool connected_ = false;
  bool reused_ = false;
  bool again_ = false;  // sent once more already
  bool busy_ = false;
  bool got_any_ = false;
  bool dead_ = false;
};

}  // namespace shorelead::lab
