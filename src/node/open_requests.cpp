#include "node/open_requests.h"

namespace shorelead::node {
namespace {

// A request that got no answer in its time is given up by the host, this long after, so that the time-out of
// its last attempt, which falls on the same moment, is told to the module first.
constexpr Millis kAfterDue = 1;

}  // namespace

void OpenRequests::begin(RequestId request, Open open) {
  deadlines_.emplace(open.due + kAfterDue, request);
  if (open.home.kind == Unit::Kind::kBackend) endpoints_.use(open.home.backend);
  requests_[request] = std::move(open);
}

OpenRequests::Open* OpenRequests::find(RequestId request) {
  const auto it = requests_.find(request);
  return it == requests_.end() ? nullptr : &it->second;
}

void OpenRequests::answered(RequestId request, Open& open) {
  open.over = true;
  if (open.out == 0) forget(request, open);
}

void OpenRequests::ended(RequestId request, Open& open) {
  open.out -= 1;
  if (open.over && open.out == 0) forget(request, open);
}

void OpenRequests::due(RequestId request, Millis due) {
  Open* const open = find(request);
  if (open == nullptr) return;
  deadlines_.erase({open->due + kAfterDue, request});
  open->due = due;
  if (!open->over) deadlines_.emplace(due + kAfterDue, request);
}

std::optional<RequestId> OpenRequests::overdue(Millis now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const RequestId request = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const Open* const open = find(request);
    if (open != nullptr && !open->over) return request;
  }
  return std::nullopt;
}

void OpenRequests::describe(RequestId request, guard::RequestState& state) const {
  const auto it = requests_.find(request);
  if (it == requests_.end()) {
    state.answered = true;
    return;
  }
  // Of those that are out the connections know which were written.
  const Open& open = it->second;
  const guard::RequestState here = open.state();
  state.run_once = here.run_once;
  state.parallel = here.parallel;
  state.max_attempts = here.max_attempts;
  state.answered = here.answered;
  state.slot_open = here.slot_open;
  state.may_have_run = open.may_have_run || state.in_flight > 0;
}

void OpenRequests::forget(RequestId request, Open& open) {
  deadlines_.erase({open.due + kAfterDue, request});
  for (const BackendId backend : open.attempts) endpoints_.release(backend);
  if (open.home.kind == Unit::Kind::kBackend) endpoints_.release(open.home.backend);
  const AffinityHold affinity_hold = std::move(open.affinity_hold);
  requests_.erase(request);
  affinity_hold.over();
}

}  // namespace shorelead::node
