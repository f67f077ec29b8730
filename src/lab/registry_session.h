// One connection of a node to the stand-in discovery: a question for the whole list, or a watch. Owns the
// socket, what waits to be written and the record of its call; it must never decide what the list says.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lab/list_damage.h"
#include "lab/records.h"

namespace shorelead::lab {

class Registry;

// A text for a node, and what it says of which boxes.
struct ListLine {
  std::string text;
  std::vector<std::pair<int, BoxState>> says;
};

// What befalls those who call discovery; all but the first two may hold together.
struct ListTrouble {
  bool refuses = false;      // each call is answered 503 at once: too many callers
  bool unavailable = false;  // it is down, and says so: each call is answered 503 after `latency`
  Millis latency = 0;        // before each answer
  bool trickles = false;     // answers come a byte at a time
  bool cuts = false;         // a change is written in half, and the watch ends
  bool ends = false;         // a watch ends in place of a change
  bool loses = false;        // a change is written, and a reset of the watch takes it before it arrives
  bool unreadable = false;   // each list has an entry that cannot be read
  ListDamage damage;         // no list comes whole, neither first ones nor changes
};

class RegistrySession : public std::enable_shared_from_this<RegistrySession> {
 public:
  RegistrySession(Registry& owner, int node, boost::asio::ip::tcp::socket socket);

  void read();
  void tell(ListLine line);  // a change, on a watch
  void fall_silent();        // for good, though the connection stays
  void reset();
  void close();

  bool watching() const { return watching_; }
  int node() const { return node_; }

 private:
  void parse();
  void answer();
  void answer_whole();
  void begin_watch();
  void refuse();
  void last(const std::string& text);
  void write();
  void written();
  void trickle(std::shared_ptr<std::string> text, std::size_t at);
  void note(const ListLine& line, bool whole);
  void cut(const ListLine& line);
  ListLine readable(ListLine line) const;
  void write_part(std::shared_ptr<std::string> text);
  void end_part(std::shared_ptr<std::string> rest);
  void sign();
  void after(Millis wait, void (RegistrySession::*step)());
  ListCall& call();

  Registry& owner_;
  const int node_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::array<char, 4096> part_;
  std::string input_;
  boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
  std::deque<ListLine> queue_;
  std::string target_;
  std::size_t call_ = 0;   // its number in the record
  std::size_t parts_ = 0;  // lists that were cut off
  bool asked_ = false;
  bool watching_ = false;
  bool first_ = false;  // the head goes out with the next line
  bool last_ = false;
  bool silent_ = false;
  bool closed_ = false;
};

}  // namespace shorelead::lab
