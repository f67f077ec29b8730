#include "node/discovery_lease.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace shorelead::node {
namespace {

using CallEnd = membership::ListLease::CallEnd;

CallEnd call_end(Ending ending, bool answered) {
  switch (ending) {
    case Ending::kLocalFailure:
    case Ending::kNoDescriptor:
      return CallEnd::kNotAttempted;
    case Ending::kMalformed:
    case Ending::kSilent:
    case Ending::kTimeout:
      return CallEnd::kInterrupted;
    case Ending::kBroken:
      return answered ? CallEnd::kWatchReset : CallEnd::kFailed;
    default:
      return answered ? CallEnd::kWatchEnded : CallEnd::kFailed;
  }
}

}  // namespace

DiscoveryLease::DiscoveryLease(Loop& loop, std::string pool, const Poco::Net::SocketAddress& address,
                               Listener listener, std::function<void()> refused)
    : loop_(loop),
      pool_(std::move(pool)),
      listener_(std::move(listener)),
      refused_(std::move(refused)),
      address_(address),
      reachability_(loop, [this](Millis checked_at) { unreachable(checked_at); }) {}

DiscoveryLease::~DiscoveryLease() { loop_.cancel(expiry_timer_); }

void DiscoveryLease::adopt(const Settings& settings) {
  expires_ = settings.drain_grace.has_value();
  pushed_ = !settings.list_on_request;
  lease_.adopt({.grace = settings.drain_grace, .pushed = pushed_, .ask_every = settings.ask_every});
  report_change();
}

void DiscoveryLease::call_begun() {
  lease_.call_begun(loop_.now());
  report_change();
}

void DiscoveryLease::current(bool first, bool late, Millis received_at) {
  reachability_.stop();
  first ? lease_.call_answered(received_at, late) : lease_.sign_of_life(received_at);
  report_change();
}

Millis DiscoveryLease::earliest_occurrence() const {
  return std::max(loop_.no_event_before(), loop_.now() - membership::ListLease::kMaxPause);
}

void DiscoveryLease::incomplete() {
  lease_.list_incomplete(earliest_occurrence());
  report_change();
}

void DiscoveryLease::ended(Ending ending, const Discovery::CallEnd& end) {
  if (end.told_nothing) lease_.nothing_told();
  const CallEnd how = call_end(ending, end.answered);
  lease_.call_ended(how, loop_.now(), earliest_occurrence());
  report_change();
  const bool watched = how == CallEnd::kWatchEnded || how == CallEnd::kWatchReset;
  if (!watched || !expires_) return;
  outage_logged_ = false;
  reachability_.start(address_, pushed_ ? kCheckIntervalPushed : kCheckInterval);
}

void DiscoveryLease::unreachable(Millis checked_at) {
  lease_.unreachable(checked_at);
  refused_();
  if (!std::exchange(outage_logged_, true)) log_outage();
  report_change();
}

void DiscoveryLease::log_outage() const {
  if (lease_.stands_still()) {
    spdlog::warn("pool {}: discovery refuses connections: the list does not age meanwhile", pool_);
    return;
  }
  spdlog::warn(
      "pool {}: discovery refuses connections: the list ages on, as its watch was quiet for {:.0f} ms before",
      pool_, lease_.quiet_before_end());
}

void DiscoveryLease::address_changed(const Poco::Net::SocketAddress& address, Millis requested_at) {
  reachability_.stop();
  address_ = address;
  lease_.discovery_changed(loop_.now(), requested_at);
  report_change();
}

void DiscoveryLease::report() {
  last_ = lease_.validity();
  log_limit();
  log_expiry();
  listener_(last_);
}

// Keep-alives extend the validity every two seconds, so only another limit is logged.
void DiscoveryLease::log_limit() {
  if (lease_.limit() == std::exchange(last_limit_, lease_.limit())) return;
  spdlog::info("pool {}: the list is valid for {:.2f} s, limited by {}", pool_,
               (last_.until - loop_.now()) / 1000, name_of(last_limit_));
}

// Logs and counts once when the list expires and once when it is valid again.
void DiscoveryLease::log_expiry() {
  const Millis now = loop_.now();
  loop_.cancel(expiry_timer_);
  expiry_timer_ = 0;
  if (now < last_.until) {
    if (expired_at_ < kNever) {
      expired_before_ += now - expired_at_;
      spdlog::warn("pool {}: the list is valid again after {:.2f} s", pool_, (now - expired_at_) / 1000);
    }
    expired_at_ = kNever;
    was_valid_ = true;
    if (last_.until < kNever) {
      expiry_timer_ = loop_.at(last_.until, [this] {
        expiry_timer_ = 0;
        log_expiry();
      });
    }
    return;
  }
  if (!was_valid_ || expired_at_ < kNever) return;
  expired_at_ = now;
  ++expirations_;
  spdlog::warn("pool {}: the list has expired: backends may have left it unnoticed; limited by {}", pool_,
               name_of(last_limit_));
}

Millis DiscoveryLease::time_expired() const {
  return expired_before_ + (expired_at_ < kNever ? loop_.now() - expired_at_ : 0);
}

void DiscoveryLease::report_change() {
  if (lease_.validity() != last_) report();
}

}  // namespace shorelead::node
