#include "node/reachability_check.h"

#include <cerrno>
#include <utility>

namespace shorelead::node {

ReachabilityCheck::ReachabilityCheck(Loop& loop, std::function<void(Millis)> refused)
    : loop_(loop), refused_(std::move(refused)) {}

ReachabilityCheck::~ReachabilityCheck() { loop_.cancel(timer_); }

void ReachabilityCheck::start(const Poco::Net::SocketAddress& address, Millis interval) {
  stop();
  address_ = address;
  interval_ = interval;
  check();
}

void ReachabilityCheck::stop() {
  loop_.cancel(timer_);
  timer_ = 0;
  if (!stream_) return;
  stream_->close();
  loop_.later([stream = std::move(stream_)] {});  // this stream's handler may be the caller
  stream_ = nullptr;
}

// A connection that is neither established nor refused within the interval ends the checks.
void ReachabilityCheck::check() {
  checked_at_ = loop_.now();
  timer_ = loop_.after(interval_, [this] {
    timer_ = 0;
    stop();
  });
  stream_ = std::make_shared<Stream>(loop_, *this, address_);
  if (!stream_->open()) checked(*stream_);
}

void ReachabilityCheck::on_end(Stream& stream, Ending) { checked(stream); }

void ReachabilityCheck::checked(const Stream& stream) {
  const bool refused = stream.connect_error() == ECONNREFUSED;
  stop();
  if (!refused) return;
  timer_ = loop_.after(interval_, [this] {
    timer_ = 0;
    check();
  });
  refused_(checked_at_);
}

}  // namespace shorelead::node
