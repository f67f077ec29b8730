#include "lab/list_notice.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace shorelead::lab {
namespace {

constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

Millis or_never(Millis time) { return time > 0 ? time : kNever; }

}  // namespace

ListNotices::ListNotices(const Run& run) : run_(run) {
  for (const Changed& change : run.had) {
    std::vector<Withdrawal>& withdrawals = withdrawals_[change.box];
    const bool open = !withdrawals.empty() && withdrawals.back().to == kNever;
    if (change.state == BoxState::kReady && open) withdrawals.back().to = change.at;
    if (change.state != BoxState::kReady && !open) withdrawals.push_back({change.at, kNever});
  }
  for (const Told& told : run.told) {
    auto& times = told.state == BoxState::kReady ? told_ready_ : told_;
    times[{told.node, told.box}].push_back(told.at);
  }
  for (const ListCall& call : run.list_calls) calls_[call.node].push_back(&call);
  for (const NodeEvent& event : run.nodes) {
    if (event.what == NodeDid::kStarted) starts_[event.node].push_back(event.at);
    if (event.what == NodeDid::kReloaded) reloads_[event.node].push_back(event.at);
  }
  for (const auto& [node, calls] : calls_) index_unasked(node);
}

// From a process's start, or the end of a watch, until a call of its has ended or been answered.
void ListNotices::index_unasked(int node) {
  std::vector<Millis> begins = starts_[node];
  for (const ListCall* const call : calls_[node]) {
    if (call->answered > 0 && call->ended > 0) begins.push_back(call->ended);
  }
  for (const Millis from : begins) {
    Millis to = kNever;
    for (const ListCall* const call : calls_[node]) {
      if (call->begun < from) continue;
      to = std::min(to, std::min(or_never(call->answered), or_never(call->ended)));
    }
    for (const Millis start : starts_[node]) {
      if (start > from) to = std::min(to, start);
    }
    unasked_[node].push_back({from, to});
  }
}

Millis ListNotices::reachable(Millis from) const {
  for (const Outage& outage : run_.outages) {
    if (outage.from <= from && from < or_never(outage.to)) return or_never(outage.to);
  }
  return from;
}

Millis ListNotices::started(int node, Millis now) const {
  Millis started = -kNever;
  const auto it = starts_.find(node);
  if (it == starts_.end()) return started;
  for (const Millis at : it->second) {
    if (at <= now) started = std::max(started, at);
  }
  return started;
}

std::optional<Millis> ListNotices::by_silence(int node, Millis had) const {
  const auto it = calls_.find(node);
  if (it == calls_.end()) return std::nullopt;
  std::optional<Millis> first;
  for (const ListCall* const call : it->second) {
    if (call->silent_since <= 0 || or_never(call->ended) <= had) continue;
    const Millis at = std::max(had, call->silent_since + kAfterSilence);
    if (!first || at < *first) first = at;
  }
  return first;
}

// Discovery had the change when it ended the watch instead of writing it.
std::optional<Millis> ListNotices::by_end(int node, Millis had, Millis start) const {
  const auto it = calls_.find(node);
  if (it == calls_.end()) return std::nullopt;
  std::optional<Millis> first;
  for (const ListCall* const call : it->second) {
    if (call->begun < start || call->ended_untold <= 0 || call->ended_untold < had) continue;
    const Millis at = call->ended_untold + kAfterEnd;
    if (!first || at < *first) first = at;
  }
  return first;
}

// What the agent has counts as told at once, with a watch or without: but not on one that has fallen silent
// and not been ended, nor right after a new configuration.
std::optional<Millis> ListNotices::by_push(int node, Millis had) const {
  Millis at = reachable(had);
  const auto calls = calls_.find(node);
  if (calls != calls_.end()) {
    for (const ListCall* const call : calls->second) {
      const bool silent = call->silent_since > 0 && call->silent_since <= at && at < or_never(call->ended);
      if (silent) at = std::min(or_never(call->ended), call->silent_since + kAfterSilence);
    }
  }
  const auto reloads = reloads_.find(node);
  if (reloads == reloads_.end()) return at;
  for (const Millis reload : reloads->second) {
    if (reload <= at && at < reload + kAfterReload) at = reload + kAfterReload;
  }
  return at;
}

std::optional<Millis> ListNotices::by_unasked(int node, Millis had, Millis start) const {
  const auto it = unasked_.find(node);
  if (it == unasked_.end()) return std::nullopt;
  std::optional<Millis> first;
  for (const Span& span : it->second) {
    Millis at = std::max(reachable(had), span.from) + run_.ask_every;
    // Calls that are refused while discovery is away leave no record there, and the time counts anew after
    // it.
    if (const Millis back = reachable(at); back > at) at = back + run_.ask_every;
    if (span.from < start || at >= span.to) continue;
    if (!first || at < *first) first = at;
  }
  return first;
}

std::optional<ListNotices::Notice> ListNotices::notice_of(int node, int box, const Withdrawal& withdrawal,
                                                          Millis start) const {
  std::optional<Notice> earliest;
  const auto consider = [&earliest](std::optional<Millis> at, By by) {
    if (at && *at < kNever && (!earliest || *at < earliest->at)) earliest = Notice{*at, by};
  };
  const auto told = told_.find({node, box});
  if (told != told_.end()) {
    for (const Millis at : told->second) {
      if (at >= start && at >= withdrawal.from && at < withdrawal.to) consider(at, By::kWritten);
    }
  }
  consider(reachable(withdrawal.from) + kAfterChange, By::kAge);
  consider(by_silence(node, withdrawal.from), By::kSilence);
  if (run_.lists_pushed) {
    consider(by_push(node, withdrawal.from), By::kPushed);
  } else {
    consider(by_unasked(node, withdrawal.from, start), By::kUnasked);
    consider(by_end(node, withdrawal.from, start), By::kEnd);
  }
  return earliest;
}

bool ListNotices::returned(int node, int box, const Withdrawal& withdrawal, Millis start, Millis now) const {
  if (withdrawal.to > now) return false;
  if (reachable(withdrawal.to) + kAfterChange <= now) return true;
  if (run_.lists_pushed && reachable(withdrawal.to) <= now) return true;
  // An answer to the process, also that nothing has changed since the list that it was given.
  const auto calls = calls_.find(node);
  if (calls != calls_.end()) {
    for (const ListCall* const call : calls->second) {
      const bool after_return = call->answered >= withdrawal.to && call->answered <= now;
      if (after_return && call->begun >= start) return true;
    }
  }
  const auto told = told_ready_.find({node, box});
  return told != told_ready_.end() && std::any_of(told->second.begin(), told->second.end(), [&](Millis at) {
           return at >= withdrawal.to && at >= start && at <= now;
         });
}

std::optional<ListNotices::Notice> ListNotices::withdrawn(int node, int box, Millis now) const {
  const auto withdrawals = withdrawals_.find(box);
  if (withdrawals == withdrawals_.end()) return std::nullopt;
  const Millis start = started(node, now);
  std::optional<Notice> earliest;
  for (const Withdrawal& withdrawal : withdrawals->second) {
    if (returned(node, box, withdrawal, start, now)) continue;
    const std::optional<Notice> notice = notice_of(node, box, withdrawal, start);
    if (notice && (!earliest || notice->at < earliest->at)) earliest = notice;
  }
  return earliest;
}

const char* name_of(ListNotices::By by) {
  switch (by) {
    case ListNotices::By::kWritten:
      return "written to it";
    case ListNotices::By::kAge:
      return "6 s after discovery had it and could be reached";
    case ListNotices::By::kUnasked:
      return "the settings' interval without a call that ended";
    case ListNotices::By::kSilence:
      return "6 s after its watch fell silent";
    case ListNotices::By::kEnd:
      return "2 s after its watch ended in place of it";
    case ListNotices::By::kPushed:
      return "pushed";
  }
  return "unknown";
}

}  // namespace shorelead::lab
