// The plain forwarder's boxes: the list as discovery tells it, and one attempt at one of them. Blocking
// calls, as many threads as there are connections. Owns the list; it must never choose.
#pragma once

#include <atomic>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace forwarder {

using Clock = std::chrono::steady_clock;
using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

struct Box {
  std::string dial;
  std::string site;
  double born = 0;
};

class Boxes {
 public:
  explicit Boxes(bool ignores_drains) : ignores_drains_(ignores_drains) {}
  void follow(const std::string& discovery);  // for good
  std::vector<Box> all() const;               // in order of their names
  std::string site_of(const std::string& name) const;
  bool listed() const;

 private:
  void take(const std::string& text);

  const bool ignores_drains_;
  mutable std::mutex mutex_;
  std::map<std::string, Box> ready_;
  bool listed_ = false;
};

enum class End { kAnswered, kNeverRan, kMayHaveRun };

// `may_send` is asked last, when the connection is there.
End attempt(const Box& box, const Request& request, Clock::time_point due, Response& answer,
            const std::function<bool()>& may_send);

}  // namespace forwarder
