// The words of the admin server: one line in, one answer out. Pure: bytes in, a call or a cause out. It
// must never do what it reads, and nothing else in the daemon may know these words.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace shorelead::manage {

constexpr std::size_t kMaxCallBytes = 512;  // bytes of a call, its end of line apart

enum class CallKind { kReady, kShowStat, kDisable, kEnable, kDrain, kResume };

struct Call {
  CallKind kind = CallKind::kReady;
  std::string id;  // of a backend, where the call takes one
};

// What a line says: a call, or why it is none.
struct ParsedCall {
  std::optional<Call> call;
  std::string cause;
};

ParsedCall parse_call(std::string_view line);

// Takes a caller's bytes as they come, split anywhere, up to the first end of line (LF, or CR LF). What
// follows it is none of its business: one line to a connection.
class LineReader {
 public:
  enum class State { kOpen, kLine, kTooLong };

  State add(std::string_view bytes);
  // The other side has closed its half: what came is the line, if anything did.
  State finish();
  std::string_view line() const { return line_; }

 private:
  State state_ = State::kOpen;
  std::string line_;
};

// Answers. `words` holds no end of line.
std::string ok_response(std::string_view words);
std::string error_response(std::string_view words);
std::string list_response(std::string_view lines);  // each with its end of line

}  // namespace shorelead::manage
