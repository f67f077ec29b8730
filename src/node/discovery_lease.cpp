#include "node/discovery_lease.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace shorelead::node {
namespace {

using CallEnd = membership::ListLease::CallEnd;

CallEnd call_end(Ending ending, bool answered) {
  if (answered) return CallEnd::kWatchEnded;
  const bool attempted = ending != Ending::kLocalFailure && ending != Ending::kNoDescriptor;
  return attempted ? CallEnd::kFailed : CallEnd::kNotAttempted;
}

}  // namespace

DiscoveryLease::DiscoveryLease(Loop& loop, std::string pool, Listener listener)
    : loop_(loop), pool_(std::move(pool)), listener_(std::move(listener)) {}

void DiscoveryLease::adopt(const Settings& settings) {
  lease_.adopt(
      {.grace = settings.drain_grace, .pushed = !settings.list_on_request, .ask_every = settings.ask_every});
  report_change();
}

void DiscoveryLease::call_begun() {
  lease_.call_begun(loop_.now());
  report_change();
}

void DiscoveryLease::current(bool first) {
  first ? lease_.call_answered() : lease_.sign_of_life(loop_.now());
  report_change();
}

void DiscoveryLease::incomplete() {
  lease_.list_incomplete(loop_.now());
  report_change();
}

void DiscoveryLease::ended(Ending ending, const Discovery::CallEnd& end) {
  lease_.call_ended(call_end(ending, end.answered), loop_.now());
  report_change();
}

void DiscoveryLease::address_changed() {
  lease_.discovery_changed(loop_.now());
  report_change();
}

void DiscoveryLease::report() {
  last_ = lease_.validity();
  const Millis now = loop_.now();
  spdlog::debug(
      "pool {}: the list is valid for {:.2f} s, then backends with a passed health check within {:.2f} s",
      pool_, (last_.until - now) / 1000, last_.confirmed_for / 1000);
  listener_(last_);
}

void DiscoveryLease::report_change() {
  if (lease_.validity() != last_) report();
}

}  // namespace shorelead::node
