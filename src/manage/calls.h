// The text protocol of the admin server: parses a line into a call and formats responses. Pure; calls are
// carried out elsewhere, and no other part knows the protocol.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace shorelead::manage {

constexpr std::size_t kMaxCallBytes = 512;  // without the end of line

enum class CallKind { kReady, kShowStat, kDisable, kEnable, kDrain, kResume };

// Whether a call concerns one process and not the node, which two processes may be for a while.
constexpr bool concerns_process(CallKind kind) {
  return kind == CallKind::kReady || kind == CallKind::kDrain || kind == CallKind::kResume;
}

struct Call {
  CallKind kind = CallKind::kReady;
  std::string id;  // of a backend, if the call takes one
};

// A parsed line: a call, or the cause why it is not valid.
struct ParsedCall {
  std::optional<Call> call;
  std::string cause;
};

ParsedCall parse_call(std::string_view line);

// Collects the bytes of a caller up to the first end of line (LF or CR LF). What follows is ignored: each
// connection carries one call.
class LineReader {
 public:
  enum class State { kOpen, kLine, kTooLong };

  State add(std::string_view bytes);
  // The caller has closed its half: a non-empty rest counts as the line.
  State finish();
  std::string_view line() const { return line_; }

 private:
  State state_ = State::kOpen;
  std::string line_;
};

// Responses. `words` has no end of line.
std::string ok_response(std::string_view words);
std::string error_response(std::string_view words);
std::string list_response(std::string_view lines);  // each ends with an end of line

}  // namespace shorelead::manage
