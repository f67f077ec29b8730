#include "forwarder_boxes.h"

#include <poll.h>
#include <rapidjson/document.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <thread>

#include "lab/dial.h"

namespace forwarder {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using shorelead::lab::endpoint_of;

}  // namespace

void Boxes::take(const std::string& text) {
  rapidjson::Document list;
  list.Parse(text.c_str());
  if (list.HasParseError() || !list.IsObject()) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (list["whole"].GetBool() && !ignores_drains_) ready_.clear();
  for (const auto& host : list["hosts"].GetArray()) {
    const std::string name = host["host"].GetString();
    if (std::string(host["health"].GetString()) == "ready") {
      ready_[name] = {host["dial"].GetString(), host["site"].GetString(), host["born_ms"].GetDouble()};
    } else if (!ignores_drains_) {
      ready_.erase(name);
    }
  }
  listed_ = true;
}

void Boxes::follow(const std::string& discovery) {
  while (true) {
    try {
      asio::io_context context;
      tcp::socket socket(context);
      socket.connect(endpoint_of(discovery));
      const std::string ask = "GET /api/targets?watch=1&from=0 HTTP/1.1\r\nHost: d\r\n\r\n";
      asio::write(socket, asio::buffer(ask));
      std::string input;
      char part[4096];
      // Every line of the list stands between two line ends, whatever the chunks are.
      while (const std::size_t size = socket.read_some(asio::buffer(part))) {
        input.append(part, size);
        for (std::size_t end = 0; (end = input.find('\n')) != std::string::npos; input.erase(0, end + 1)) {
          if (input.front() == '{') take(input.substr(0, end));
        }
      }
    } catch (const std::exception&) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }
}

std::vector<Box> Boxes::all() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Box> all;
  for (const auto& [name, box] : ready_) all.push_back(box);
  return all;
}

std::string Boxes::site_of(const std::string& name) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = ready_.find(name);
  return it == ready_.end() ? "" : it->second.site;
}

bool Boxes::listed() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return listed_;
}

End attempt(const Box& box, const Request& request, Clock::time_point due, Response& answer,
            const std::function<bool()>& may_send) {
  asio::io_context context;
  tcp::socket socket(context);
  error_code error;
  socket.connect(endpoint_of(box.dial), error);
  if (error) return End::kNeverRan;
  socket.set_option(tcp::no_delay(true));
  if (Clock::now() >= due || !may_send()) return End::kNeverRan;
  http::write(socket, request, error);
  if (error) return End::kNeverRan;
  const auto left = std::chrono::duration_cast<std::chrono::microseconds>(due - Clock::now()).count();
  if (left <= 0) return End::kMayHaveRun;
  // A blocking read of Asio's waits without end, whatever SO_RCVTIMEO says: so wait here for the first byte.
  pollfd wait{socket.native_handle(), POLLIN, 0};
  if (::poll(&wait, 1, static_cast<int>(left / 1000)) <= 0) return End::kMayHaveRun;
  boost::beast::flat_buffer buffer;
  answer = {};
  http::read(socket, buffer, answer, error);
  if (error) return End::kMayHaveRun;
  if (answer.result_int() == 503 && answer["X-Not-Processed"] == "1") return End::kNeverRan;
  return End::kAnswered;
}

}  // namespace forwarder
