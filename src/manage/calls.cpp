#include "manage/calls.h"

#include <algorithm>
#include <array>
#include <vector>

namespace shorelead::manage {
namespace {

struct CallSyntax {
  std::string_view text;
  CallKind kind;
  bool takes_id;
};

constexpr std::array<CallSyntax, 6> kCalls = {{{"ready", CallKind::kReady, false},
                                               {"show-stat", CallKind::kShowStat, false},
                                               {"disable-server", CallKind::kDisable, true},
                                               {"enable-server", CallKind::kEnable, true},
                                               {"drain", CallKind::kDrain, false},
                                               {"resume", CallKind::kResume, false}}};

bool is_blank(char c) { return c == ' ' || c == '\t'; }

std::vector<std::string_view> words_of(std::string_view line) {
  std::vector<std::string_view> words;
  for (std::size_t at = 0; at < line.size();) {
    if (is_blank(line[at])) {
      ++at;
      continue;
    }
    const auto end = static_cast<std::size_t>(
        std::find_if(line.begin() + static_cast<std::ptrdiff_t>(at), line.end(), is_blank) - line.begin());
    words.push_back(line.substr(at, end - at));
    at = end;
  }
  return words;
}

}  // namespace

ParsedCall parse_call(std::string_view line) {
  const auto is_control = [](char c) {
    return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
  };
  if (std::any_of(line.begin(), line.end(), is_control))
    return {std::nullopt, "a control character in the call"};
  const std::vector<std::string_view> words = words_of(line);
  if (words.empty()) return {std::nullopt, "an empty call"};
  const auto* const word =
      std::find_if(kCalls.begin(), kCalls.end(), [&](const CallSyntax& w) { return w.text == words[0]; });
  if (word == kCalls.end()) {
    std::string cause = "unknown call; there are";
    for (const CallSyntax& w : kCalls) cause.append(" ").append(w.text);
    return {std::nullopt, cause};
  }
  if (word->takes_id && words.size() < 2)
    return {std::nullopt, std::string(word->text) + " needs the id of a backend"};
  if (words.size() > (word->takes_id ? 2U : 1U))
    return {std::nullopt, std::string(word->text) + ": too many words"};
  return {Call{word->kind, word->takes_id ? std::string(words[1]) : std::string()}, ""};
}

LineReader::State LineReader::add(std::string_view bytes) {
  if (state_ != State::kOpen) return state_;
  const std::size_t end = std::min(bytes.find('\n'), bytes.size());
  line_.append(bytes.substr(0, std::min(end, kMaxCallBytes + 2 - std::min(line_.size(), kMaxCallBytes + 2))));
  if (end < bytes.size()) {
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    state_ = State::kLine;
  }
  if (line_.size() > kMaxCallBytes + (state_ == State::kOpen ? 1 : 0)) state_ = State::kTooLong;
  return state_;
}

LineReader::State LineReader::finish() {
  if (state_ == State::kOpen && !line_.empty()) {
    if (line_.back() == '\r') line_.pop_back();
    state_ = line_.size() > kMaxCallBytes ? State::kTooLong : State::kLine;
  }
  return state_;
}

std::string ok_response(std::string_view words) { return "OK " + std::string(words) + "\n"; }

std::string error_response(std::string_view words) { return "ERR " + std::string(words) + "\n"; }

std::string list_response(std::string_view lines) { return std::string(lines) + "END\n"; }

}  // namespace shorelead::manage
