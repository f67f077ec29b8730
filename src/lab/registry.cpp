#include "lab/registry.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <cstdio>
#include <deque>
#include <limits>

#include "lab/clock.h"

namespace shorelead::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr Millis kSignOfLife = 2000;  // an empty line while nothing changes

std::string chunk(const std::string& text) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

}  // namespace

// One connection of a node: a question for the whole list, or a watch.
class Registry::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Registry& owner, int node, tcp::socket socket)
      : owner_(owner), node_(node), socket_(std::move(socket)), timer_(owner.context_) {
    parser_.eager(true);
  }

  void read() {
    socket_.async_read_some(asio::buffer(part_),
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              if (error) return self->close();
                              self->input_.append(self->part_.data(), size);
                              if (!self->asked_) self->parse();
                              self->read();
                            });
  }

  void tell(Line line) {
    if (!watching_) return;
    queue_.push_back(std::move(line));
    if (queue_.size() == 1) write();
  }

  bool watching() const { return watching_; }
  int node() const { return node_; }

  void close() {
    if (closed_) return;
    closed_ = true;
    const auto self = shared_from_this();
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    owner_.sessions_.erase(self);
  }

 private:
  void parse() {
    error_code error;
    const std::size_t used = parser_.put(asio::buffer(input_), error);
    input_.erase(0, used);
    if (error == http::error::need_more) return;
    if (error) return close();
    if (!parser_.is_done()) return;
    asked_ = true;
    const std::string target(parser_.get().target());
    if (target.rfind("/api/targets", 0) != 0)
      return last("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    if (target.find("watch=1") == std::string::npos) {
      Line line = owner_.whole(node_);
      line.text =
          "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(line.text.size()) +
          "\r\n\r\n" + line.text;
      queue_.push_back(std::move(line));
      last_ = true;
      return write();
    }
    std::uint64_t from = 0;
    if (const std::size_t at = target.find("from="); at != std::string::npos) {
      std::from_chars(target.data() + at + 5, target.data() + target.size(), from);
    }
    ++owner_.watches_;
    watching_ = true;
    Line line = owner_.since(node_, from);
    line.text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
                chunk(line.text + "\n");
    queue_.push_back(std::move(line));
    first_ = true;
    write();
    sign();
  }

  void last(const std::string& text) {
    queue_.push_back({text, {}});
    last_ = true;
    write();
  }

  void write() {
    auto text = std::make_shared<std::string>(
        std::exchange(first_, false) || last_ ? queue_.front().text : chunk(queue_.front().text + "\n"));
    asio::async_write(socket_, asio::buffer(*text),
                      [self = shared_from_this(), text](const error_code& error, std::size_t) {
                        if (error) return self->close();
                        self->written();
                      });
  }

  void written() {
    if (closed_) return;
    for (const auto& [box, state] : queue_.front().says) {
      owner_.told_.push_back({node_, box, state, clock_now()});
    }
    queue_.pop_front();
    if (!queue_.empty()) return write();
    if (last_) close();
  }

  void sign() {
    timer_.expires_after(std::chrono::milliseconds(static_cast<int>(kSignOfLife)));
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (error || self->closed_) return;
      if (self->queue_.empty()) self->tell({"", {}});
      self->sign();
    });
  }

  Registry& owner_;
  const int node_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 4096> part_;
  std::string input_;
  http::request_parser<http::string_body> parser_;
  std::deque<Line> queue_;
  bool asked_ = false;
  bool watching_ = false;
  bool first_ = false;
  bool last_ = false;
  bool closed_ = false;
};

Registry::Registry(asio::io_context& context, int nodes, const std::vector<std::string>& addresses,
                   std::function<std::string(int, int)> dial, const std::vector<BoxNote>& boxes,
                   const std::vector<std::string>& zones)
    : context_(context), addresses_(addresses), dial_(std::move(dial)), boxes_(boxes), zones_(zones) {
  ports_.resize(static_cast<std::size_t>(nodes));
  acceptors_.resize(static_cast<std::size_t>(nodes));
  for (int node = 0; node < nodes; ++node) listen(node);
}

Registry::~Registry() {
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->close();
}

void Registry::listen(int node) {
  const auto n = static_cast<std::size_t>(node);
  const tcp::endpoint at(asio::ip::make_address(addresses_[n]), ports_[n]);
  acceptors_[n] = std::make_unique<tcp::acceptor>(context_, at, true);
  ports_[n] = acceptors_[n]->local_endpoint().port();
  accept(node);
}

void Registry::accept(int node) {
  acceptors_[static_cast<std::size_t>(node)]->async_accept(
      [this, node](const error_code& error, tcp::socket socket) {
        if (error) return;
        auto session = std::make_shared<Session>(*this, node, std::move(socket));
        sessions_.insert(session);
        session->read();
        accept(node);
      });
}

std::string Registry::dial(int node) const {
  const auto n = static_cast<std::size_t>(node);
  return addresses_[n] + ":" + std::to_string(ports_[n]);
}

std::string Registry::entry(int box, BoxState state, int node) const {
  const BoxNote& note = boxes_[static_cast<std::size_t>(box)];
  return "{\"host\":\"" + note.host + "\",\"dial\":\"" + dial_(box, node) + "\",\"site\":\"" +
         zones_[static_cast<std::size_t>(note.zone)] +
         "\",\"class\":\"std\",\"block\":" + std::to_string(note.cell) + ",\"health\":\"" + name_of(state) +
         "\",\"share\":1.0,\"born_ms\":" + std::to_string(static_cast<long long>(note.born)) + "}";
}

std::string Registry::object(std::uint64_t version, bool is_whole, const std::string& hosts) const {
  return "{\"seq\":" + std::to_string(version) + ",\"whole\":" + (is_whole ? "true" : "false") +
         ",\"hosts\":[" + hosts + "]}";
}

Registry::Line Registry::whole(int node) const {
  Line line;
  if (empty_) {
    line.text = object(version_, true, "");
    return line;
  }
  std::string hosts;
  for (const auto& [box, entry_now] : entries_) {
    line.says.emplace_back(box, entry_now.state);
    if (entry_now.state == BoxState::kGone) continue;
    hosts += (hosts.empty() ? "" : ",") + entry(box, entry_now.state, node);
  }
  line.text = object(version_, true, hosts);
  return line;
}

Registry::Line Registry::since(int node, std::uint64_t version) const {
  if (empty_ || version < oldest_ || version > version_ || version == 0) return whole(node);
  Line line;
  std::string hosts;
  for (const auto& [box, entry_now] : entries_) {
    if (entry_now.version <= version) continue;
    line.says.emplace_back(box, entry_now.state);
    hosts += (hosts.empty() ? "" : ",") + entry(box, entry_now.state, node);
  }
  line.text = object(version_, false, hosts);
  return line;
}

Registry::Line Registry::one(int node, int box, BoxState state) const {
  return {object(version_, false, entry(box, state, node)), {{box, state}}};
}

std::string Registry::list(int node) const { return whole(node).text; }

void Registry::publish(int box, BoxState state) {
  Entry& entry = entries_[box];
  entry.state = state;
  entry.version = ++version_;
  if (empty_) return;
  const auto sessions = sessions_;
  for (const auto& session : sessions) {
    if (session->watching()) session->tell(one(session->node(), box, state));
  }
}

void Registry::down(bool on) {
  if (on == down_) return;
  down_ = on;
  error_code ignored;
  for (std::size_t n = 0; n < acceptors_.size(); ++n) {
    if (on) {
      acceptors_[n]->close(ignored);
    } else {
      listen(static_cast<int>(n));
    }
  }
  const auto sessions = sessions_;
  if (on) {
    for (const auto& session : sessions) session->close();
  }
}

void Registry::restart() {
  // It has lost its numbers and counts on from few: what nodes ask from is then far ahead of it.
  version_ = 1;
  oldest_ = 0;
  for (auto& [box, entry] : entries_) entry.version = 1;
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->close();
}

void Registry::lie_empty(bool on) {
  empty_ = on;
  ++version_;
  const auto sessions = sessions_;
  for (const auto& session : sessions) {
    if (session->watching()) session->tell(whole(session->node()));
  }
}

}  // namespace shorelead::lab
