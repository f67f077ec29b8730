// A box's links and the connections on them. Private to the box: a link is its listener for one node, a
// connection reads requests, hands them to the box and writes what it answers. Owns the sockets and what a
// link does to what passes; it must never decide how long a request takes.
#pragma once

#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

#include "lab/box.h"
#include "lab/box_answer.h"

namespace shorelead::lab {

class Box::Link {
 public:
  using tcp = boost::asio::ip::tcp;
  Link(World& world, Box& box, int node, const std::string& address, unsigned short port);

  void accept();
  void hole(bool on);
  void close();
  unsigned short port() const { return acceptor_.local_endpoint().port(); }

  World& world_;
  Box& box_;
  const int node_;
  tcp::acceptor acceptor_;
  LinkState state_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::vector<tcp::socket> stuffing_;  // keeps the listener's queue full while nothing passes
};

class Box::Connection : public Wire, public std::enable_shared_from_this<Connection> {
 public:
  using tcp = boost::asio::ip::tcp;
  Connection(std::shared_ptr<Box> box, Link& link, tcp::socket socket);

  void read();
  void die();  // the box's process, or its machine, is gone
  void close_unused();
  void turn_away(std::size_t line);
  void answer(std::size_t line, bool erred);  // the model has finished this request
  void answer_crowd();                        // at once and long; nothing is recorded

  bool idle(Millis now, Millis least) const {
    return !busy_ && input_.empty() && now - unused_since_ >= least;
  }
  bool busy() const { return busy_; }
  std::size_t line() const { return line_; }

 private:
  void write(std::string text, std::function<void()> done) override;
  void wait(Millis time, std::function<void()> task) override;
  void next() override;
  void shut() override;
  void reset() override;

  void set_up();
  Millis one_way();
  void parse();
  void refuse(int status);
  void take();
  void after_way(std::function<void()> task);
  void probe(bool with_load);
  void send(std::size_t line, std::string text, int status);
  void ended();

  const std::shared_ptr<Box> box_;
  Link& link_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::array<char, 8192> part_;
  std::string input_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  Millis first_byte_ = 0;
  Millis unused_since_ = 0;
  std::size_t line_;  // of the ledger, for the request at hand
  bool busy_ = false;
  bool fresh_ = true;
  bool closing_ = false;
  bool closed_ = false;
};

}  // namespace shorelead::lab
