// Records each event of this node once: in the ring buffer of recent events, in the rule checker and, at
// debug level, in the log. Owns the first two. It decides nothing and does not allocate while a request is
// handled. A violated rule is logged with the request's number and followed by the recent events.
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
  // `named`: its X-Request-ID; `came`: when the system received it. Its rules follow with ruled(), once its
  // pool is known.
  void taken(RequestId request, std::string_view named, Millis came, Millis due);
  void ruled(RequestId request, const guard::RequestRules& rules);
  void due(RequestId request, Millis due) { checker_.deadline_set(request, due); }
  // `list_valid_for`: the remaining time for which the list was valid; negative once it has expired.
  void attempt_decided(RequestId request, int attempt, std::string_view host, BackendId backend,
                       Millis list_valid_for);
  void refused(RequestId request, bool list_expired);  // no backend was available to it
  void attempt_denied(RequestId request, int attempt, guard::Reason reason);
  // `withdrawn`: the backend was no longer to get new requests; `told`: the remaining time sent to the
  // backend; `at`: the clock reading before the write from which `told` was computed.
  void attempt_written(RequestId request, int attempt, BackendId backend, bool withdrawn, Millis told,
                       Millis at);
  // `never_ran`: the outcome of a written attempt proves that it was not processed.
  void attempt_over(RequestId request, int attempt, Ending ending, bool written, bool never_ran);
  // A response is forwarded from now on while it is received; `bytes` of its body have arrived.
  void response_begun(RequestId request, int attempt, std::uint64_t bytes) const;
  // Its backend sends no more of it, or is not asked for more; `silent`: since its last byte.
  void response_over(RequestId request, int attempt, bool whole, std::uint64_t bytes, Millis silent) const;
  // Its time is over, and `read` bytes of its body were read, which its client may have written whole.
  void body_overdue(RequestId request, std::uint64_t read) const;
  void ended(RequestId request, manage::RequestEnd end);  // with or without a final response
  void handler_threw(RequestId request);

  // ---- a connection ----
  void client_opened(const Stream& stream);
  // `begun`: since when a part of a request has been buffered; 0 = none is.
  void client_closed(const Stream& stream, Ending why, Millis begun);
  // A client closed while its request waited for a response; `late`: time since the due time, negative before
  // it.
  void client_left(RequestId request, Ending why, Millis late) const;
  // A client's connection that held `bytes` is given up, as what all clients hold has passed its limit.
  // `begun`: as in client_closed(); 0: it does not take a response.
  void given_up_for_memory(std::size_t bytes, Millis begun) const;
  void closed_unanswered(RequestId request) { checker_.closed_unanswered(request); }
  void backend_opened(BackendId backend);
  void backend_closed(BackendId backend, Ending why);

  // ---- the process ----
  void list(std::uint64_t version, bool whole);
  void generation(std::uint64_t number);
  void phase(guard::ProcessPhase phase);
  // Records the response to a readiness check; the first positive one changes the process's phase.
  bool reported_ready(bool ready);
  // Writes the recent events to standard error when a signal crashes the process.
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
  std::uint64_t list_version_ = 0;  // of the last list that any pool applied
  std::uint64_t dumps_ = 0;
  std::uint64_t thrown_ = 0;
  bool any_ended_ = false;  // a request, since the start
};

// Refers to the node's recorder, or owns one if none is given, as in unit tests.
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
