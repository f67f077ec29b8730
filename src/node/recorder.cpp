#include "node/recorder.h"

#include <spdlog/spdlog.h>

#include <charconv>
#include <utility>

#include "node/log_output.h"
#include "node/processor_time.h"

namespace shorelead::node {
namespace {

using guard::EventKind;

constexpr std::uint64_t kMaxDumps = 8;  // dumps of the recent events during the life of a process

const char* name_of(manage::RequestEnd end) {
  switch (end) {
    case manage::RequestEnd::kPassed:
      return "served";
    case manage::RequestEnd::kDropped:
      return "refused";
    case manage::RequestEnd::kBadGateway:
      return "failed";
    case manage::RequestEnd::kLeft:
      return "client gone";
  }
  return "unknown";
}

// The first 16 digits of a hexadecimal request ID, such as clients send; 0 for any other.
std::uint64_t number_of(std::string_view name) {
  std::uint64_t number = 0;
  const std::string_view digits = name.substr(0, 16);
  std::from_chars(digits.data(), digits.data() + digits.size(), number, 16);
  return number;
}

}  // namespace

Recorder::Recorder(Loop& loop)
    : loop_(loop), checker_([this](guard::Rule rule, RequestId request) { violated(rule, request); }) {
  phase(guard::ProcessPhase::kStarting);
}

void Recorder::add(EventKind kind, RequestId request, int attempt, std::uint8_t reason,
                   std::uint64_t detail) {
  events_.add({loop_.now(), detail, request, static_cast<std::uint16_t>(attempt), kind, reason});
}

void Recorder::violated(guard::Rule rule, RequestId request) {
  add(EventKind::kViolation, request, 0, static_cast<std::uint8_t>(rule));
  spdlog::error("rule broken: {}, request {}", guard::name_of(rule), request);
  if (++dumps_ <= kMaxDumps) events_.write_to(log_descriptor(), loop_.now());
}

void Recorder::taken(RequestId request, std::string_view named, Millis came, Millis due) {
  add(EventKind::kTaken, request, 0, 0, number_of(named));
  const Millis now = loop_.now();
  spdlog::debug("request {} taken, X-Request-ID {}, unread for {:.0f} ms, {:.0f} ms left", request, named,
                now - came, due - now);
}

void Recorder::ruled(RequestId request, const guard::RequestRules& rules) {
  checker_.request_accepted(request, rules);
}

void Recorder::attempt_decided(RequestId request, int attempt, std::string_view host, BackendId backend,
                               Millis list_valid_for) {
  add(EventKind::kAttemptDecided, request, attempt, 0, backend);
  spdlog::debug("attempt {}.{} to {} by list {}, valid for {:.2f} s", request, attempt, host, list_version_,
                list_valid_for / 1000);
}

void Recorder::refused(RequestId request, bool list_expired) {
  spdlog::debug("request {} refused: {}", request, list_expired ? "the list has expired" : "no backend free");
}

void Recorder::attempt_denied(RequestId request, int attempt, guard::Reason reason) {
  add(EventKind::kAttemptDenied, request, attempt, static_cast<std::uint8_t>(reason));
  spdlog::debug("attempt {}.{} not written: {}", request, attempt, guard::name_of(reason));
}

void Recorder::attempt_written(RequestId request, int attempt, BackendId backend, bool withdrawn, Millis told,
                               Millis at) {
  add(EventKind::kAttemptWritten, request, attempt, withdrawn ? 1 : 0, backend);
  checker_.attempt_written(request, withdrawn, told, at);
}

void Recorder::attempt_over(RequestId request, int attempt, Ending ending, bool written, bool never_ran) {
  add(EventKind::kAttemptOver, request, attempt, static_cast<std::uint8_t>(ending));
  if (written) checker_.attempt_ended(request, never_ran);
}

void Recorder::response_begun(RequestId request, int attempt, std::uint64_t bytes) const {
  spdlog::debug("attempt {}.{}: its response is forwarded from now on, {} bytes so far", request, attempt,
                bytes);
}

void Recorder::response_over(RequestId request, int attempt, bool whole, std::uint64_t bytes,
                             Millis silent) const {
  spdlog::debug("attempt {}.{}: its response ended {} after {} bytes, {:.0f} ms after the last part", request,
                attempt, whole ? "whole" : "cut short", bytes, silent);
}

void Recorder::body_overdue(RequestId request, std::uint64_t read) const {
  spdlog::info("request {} refused: its body was not taken in its time, {} bytes were read", request, read);
}

void Recorder::ended(RequestId request, manage::RequestEnd end) {
  if (!std::exchange(any_ended_, true))
    spdlog::info("first request over: {}, after {:.1f} ms of processor time", name_of(end), processor_time());
  switch (end) {
    case manage::RequestEnd::kPassed:
      add(EventKind::kServed, request, 0, 0);
      checker_.request_answered(request, guard::Answer::kServed);
      break;
    case manage::RequestEnd::kDropped:
      add(EventKind::kRefused, request, 0, 0);
      checker_.request_answered(request, guard::Answer::kRefused);
      break;
    case manage::RequestEnd::kBadGateway:
      add(EventKind::kFailed, request, 0, 0);
      checker_.request_answered(request, guard::Answer::kFailed);
      break;
    case manage::RequestEnd::kLeft:
      add(EventKind::kClientGone, request, 0, 0);
      checker_.client_left(request, loop_.now());
      break;
  }
  spdlog::debug("request {} over: {}", request, name_of(end));
}

void Recorder::handler_threw(RequestId request) {
  ++thrown_;
  add(EventKind::kHandlerThrew, request, 0, 0);
}

void Recorder::client_opened(const Stream& stream) {
  add(EventKind::kClientOpened, 0, 0, 0, static_cast<std::uint64_t>(stream.descriptor()));
}

void Recorder::client_closed(const Stream& stream, Ending why, Millis begun) {
  add(EventKind::kClientClosed, 0, 0, static_cast<std::uint8_t>(why),
      static_cast<std::uint64_t>(stream.descriptor()));
  spdlog::debug("client connection {} closed: {}", stream.descriptor(), name_of(why));
  if (begun > 0) {
    spdlog::info("client connection closed ({}) with {} bytes of a request, begun {:.0f} ms before",
                 name_of(why), stream.held(), loop_.now() - begun);
  }
}

void Recorder::client_left(RequestId request, Ending why, Millis late) const {
  spdlog::debug("client gone ({}) with request {} under way", name_of(why), request);
  if (late > 0) spdlog::warn("request {} had no answer {:.0f} ms after its due time", request, late);
}

void Recorder::given_up_for_memory(std::size_t bytes, Millis begun) const {
  const char* const what = begun > 0 ? "a request that is not whole" : "a response that is not taken";
  spdlog::debug("client connection given up for memory: {} bytes of {}", bytes, what);
}

void Recorder::backend_opened(BackendId backend) { add(EventKind::kBackendOpened, 0, 0, 0, backend); }

void Recorder::backend_closed(BackendId backend, Ending why) {
  add(EventKind::kBackendClosed, 0, 0, static_cast<std::uint8_t>(why), backend);
  spdlog::debug("connection to backend {} closed: {}", backend, name_of(why));
}

void Recorder::list(std::uint64_t version, bool whole) {
  list_version_ = version;
  add(EventKind::kList, 0, 0, whole ? 1 : 0, version);
}

void Recorder::generation(std::uint64_t number) { add(EventKind::kGeneration, 0, 0, 0, number); }

void Recorder::phase(guard::ProcessPhase phase) {
  if (std::exchange(phase_, phase) == phase) return;
  add(EventKind::kProcess, 0, 0, static_cast<std::uint8_t>(phase));
}

bool Recorder::reported_ready(bool ready) {
  if (ready && phase_ == guard::ProcessPhase::kStarting) phase(guard::ProcessPhase::kReady);
  return ready;
}

void Recorder::log_counters() const {
  std::string by_rule;
  for (std::size_t n = 0; n < guard::kRules; ++n) {
    const auto rule = static_cast<guard::Rule>(n);
    if (checker_.violations(rule) == 0) continue;
    by_rule.append(" ")
        .append(guard::name_of(rule))
        .append("=")
        .append(std::to_string(checker_.violations(rule)));
  }
  spdlog::info("counters: rules violations={} unchecked={} thrown={}{}", checker_.violations(),
               checker_.unchecked(), thrown_, by_rule);
}

}  // namespace shorelead::node
