#include "node/open_requests.h"

namespace shorelead::node {
namespace {

// The host fails an unanswered request this long after its due time, so that the time-out of its last
// attempt, which falls on the due time, is reported to the module first.
constexpr Millis kExpiryDelay = 1;

}  // namespace

void OpenRequests::begin(RequestId request, Entry entry) {
  deadlines_.emplace(entry.due + kExpiryDelay, request);
  if (entry.home.kind == Unit::Kind::kBackend) endpoints_.use(entry.home.backend);
  requests_[request] = std::move(entry);
}

OpenRequests::Entry* OpenRequests::find(RequestId request) {
  const auto it = requests_.find(request);
  return it == requests_.end() ? nullptr : &it->second;
}

void OpenRequests::mark_ended(RequestId request, Entry& entry) {
  entry.ended = true;
  if (entry.in_flight == 0) forget(request, entry);
}

void OpenRequests::attempt_ended(RequestId request, Entry& entry) {
  entry.in_flight -= 1;
  if (entry.ended && entry.in_flight == 0) forget(request, entry);
}

void OpenRequests::set_due(RequestId request, Millis due) {
  Entry* const entry = find(request);
  if (entry == nullptr) return;
  deadlines_.erase({entry->due + kExpiryDelay, request});
  entry->due = due;
  if (!entry->ended) deadlines_.emplace(due + kExpiryDelay, request);
}

std::optional<RequestId> OpenRequests::take_overdue(Millis now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const RequestId request = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const Entry* const entry = find(request);
    if (entry != nullptr && !entry->ended) return request;
  }
  return std::nullopt;
}

void OpenRequests::describe(RequestId request, guard::RequestState& state) const {
  const auto it = requests_.find(request);
  if (it == requests_.end()) {
    state.answered = true;
    return;
  }
  // Which of the attempts in flight were written is known to their connections, which fill in state.out.
  const Entry& entry = it->second;
  const guard::RequestState here = entry.state();
  state.run_once = here.run_once;
  state.parallel = here.parallel;
  state.max_attempts = here.max_attempts;
  state.answered = here.answered;
  state.slot_open = here.slot_open;
  state.may_have_run = entry.may_have_run || state.in_flight > 0;
}

bool OpenRequests::may_have_run(RequestId request) const {
  const auto it = requests_.find(request);
  return it != requests_.end() && it->second.state().may_have_run;
}

void OpenRequests::forget(RequestId request, Entry& entry) {
  deadlines_.erase({entry.due + kExpiryDelay, request});
  for (const BackendId backend : entry.attempts) endpoints_.release(backend);
  if (entry.home.kind == Unit::Kind::kBackend) endpoints_.release(entry.home.backend);
  const AffinityHold affinity_hold = std::move(entry.affinity_hold);
  requests_.erase(request);
  affinity_hold.release();
}

}  // namespace shorelead::node
