// What happened at this node, written down once: into the ring of last events, into the checker of the rules,
// and at debug level into the log. Owns all three's state; it must never decide anything, nor allocate on a
// request's way. A violation is told in the log with the request's number, and the last events with it.
#pragma once

#include <memory>
#include <string_view>

#include "guard/checker.h"
#include "guard/event_log.h"
#include "guard/guard.h"
#include "manage/metrics.h"
#include "node/net.h"
#include "policy/policy.h"

namespace shorelead::node {

class Recorder {
 public:
  explicit Recorder(Loop& loop);

  // ---- a request ----
  // `named`: its X-Request-ID; `came`: when the system had it. What the settings say of it follows once its
  // pool is known.
  void taken(RequestId request, std::string_view named, Millis came, Millis due);
  void ruled(RequestId request, const guard::RequestRules& rules);
  void due(RequestId request, Millis due) { checker_.deadline_set(request, due); }
  void attempt_decided(RequestId request, int attempt, std::string_view host, BackendId backend);
  void attempt_denied(RequestId request, int attempt, guard::Reason reason);
  // `withdrawn`: its backend was to get nothing new by then; `told`: the time that it tells its backend.
  // `at`: the clock as it was read before the write, and by which `told` was counted.
  void attempt_written(RequestId request, int attempt, BackendId backend, bool withdrawn, Millis told,
                       Millis at);
  // `never_ran`: of one that was written, its outcome proves that.
  void attempt_over(RequestId request, int attempt, Ending ending, bool written, bool never_ran);
  void ended(RequestId request, manage::RequestEnd end);  // with its final answer, or without
  void handler_threw(RequestId request);

  // ---- a connection ----
  void client_opened(const Stream& stream);
  // `begun`: since when part of a request has lain there; 0: none does.
  void client_closed(const Stream& stream, Ending why, Millis begun);
  // A client left while its request waited for an answer, so long after its due time; negative: before it.
  void client_left(RequestId request, Ending why, Millis late) const;
  void closed_unanswered(RequestId request) { checker_.closed_unanswered(request); }
  void backend_opened(BackendId backend);
  void backend_closed(BackendId backend, Ending why);

  // ---- the process ----
  void list(std::uint64_t version, bool whole);
  void generation(std::uint64_t number);
  void phase(guard::ProcessPhase phase);
  // The answer to whoever asked whether it is ready; the first yes is a change of its state.
  bool reported_ready(bool ready);
  // The last events go to standard error when a signal ends the process as crashed.
  void write_at_crash() const { events_.write_at_crash(); }

  const guard::Checker& checker() const { return checker_; }
  std::uint64_t violations() const { return checker_.violations(); }
  void log_counters() const;

 private:
  void add(guard::EventKind kind, RequestId request, int attempt, std::uint8_t reason,
           std::uint64_t detail = 0);
  void violated(guard::Rule rule, RequestId request);

  Loop& loop_;
  guard::EventLog events_;
  guard::Checker checker_;
  guard::ProcessPhase phase_ = guard::ProcessPhase::kStopped;
  std::uint64_t list_version_ = 0;  // of the last list that any pool took in
  std::uint64_t dumps_ = 0;
  std::uint64_t thrown_ = 0;
};

// The node's recorder for one of its parts; one of its own where nobody gave any, as in tests of a part.
class RecorderHandle {
 public:
  RecorderHandle(Loop& loop, Recorder* shared)
      : own_(shared == nullptr ? std::make_shared<Recorder>(loop) : nullptr),
        recorder_(shared == nullptr ? own_.get() : shared) {}
  Recorder* operator->() const { return recorder_; }

 private:
  std::shared_ptr<Recorder> own_;
  Recorder* recorder_;
};

}  // namespace shorelead::node
