#include "node/discovery_lease.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace shorelead::node {
namespace {

using CallEnd = membership::ListLease::CallEnd;

CallEnd call_end(Ending ending, bool answered) {
  if (answered) return CallEnd::kWatchOver;
  const bool made = ending != Ending::kLocalFailure && ending != Ending::kNoDescriptor;
  return made ? CallEnd::kFailed : CallEnd::kNotMade;
}

}  // namespace

DiscoveryLease::DiscoveryLease(Loop& loop, std::string pool, Told told)
    : loop_(loop), pool_(std::move(pool)), told_(std::move(told)) {}

void DiscoveryLease::adopt(const Settings& settings) {
  lease_.adopt(
      {.grace = settings.drain_grace, .pushed = !settings.list_on_request, .ask_every = settings.ask_every});
  tell_change();
}

void DiscoveryLease::asked() {
  lease_.asked(loop_.now());
  tell_change();
}

void DiscoveryLease::current(bool first) {
  first ? lease_.answered() : lease_.heard(loop_.now());
  tell_change();
}

void DiscoveryLease::unfinished() {
  lease_.unfinished(loop_.now());
  tell_change();
}

void DiscoveryLease::ended(Ending ending, const Discovery::CallEnd& end) {
  lease_.ended(call_end(ending, end.answered), loop_.now());
  tell_change();
}

void DiscoveryLease::moved() {
  lease_.moved(loop_.now());
  tell_change();
}

void DiscoveryLease::tell() {
  last_ = lease_.validity();
  const Millis now = loop_.now();
  spdlog::debug("pool {}: the list holds for {:.2f} s, then who has passed a health check within {:.2f} s",
                pool_, (last_.until - now) / 1000, last_.confirmed_for / 1000);
  told_(last_);
}

void DiscoveryLease::tell_change() {
  if (lease_.validity() != last_) tell();
}

}  // namespace shorelead::node
