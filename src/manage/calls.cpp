#include "manage/calls.h"

#include <algorithm>
#include <array>
#include <vector>

namespace shorelead::manage {
namespace {

struct Word {
  std::string_view text;
  CallKind kind;
  bool takes_id;
};

constexpr std::array<Word, 6> kWords = {{{"ready", CallKind::kReady, false},
                                         {"show-stat", CallKind::kShowStat, false},
                                         {"disable-server", CallKind::kDisable, true},
                                         {"enable-server", CallKind::kEnable, true},
                                         {"drain", CallKind::kDrain, false},
                                         {"resume", CallKind::kResume, false}}};

bool blank(char c) { return c == ' ' || c == '\t'; }

std::vector<std::string_view> words_of(std::string_view line) {
  std::vector<std::string_view> words;
  for (std::size_t at = 0; at < line.size();) {
    if (blank(line[at])) {
      ++at;
      continue;
    }
    const auto end = static_cast<std::size_t>(
        std::find_if(line.begin() + static_cast<std::ptrdiff_t>(at), line.end(), blank) - line.begin());
    words.push_back(line.substr(at, end - at));
    at = end;
  }
  return words;
}

}  // namespace

Reading read_call(std::string_view line) {
  const auto odd = [](char c) { return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f; };
  if (std::any_of(line.begin(), line.end(), odd)) return {std::nullopt, "a control character in the call"};
  const std::vector<std::string_view> words = words_of(line);
  if (words.empty()) return {std::nullopt, "an empty call"};
  const auto* const word =
      std::find_if(kWords.begin(), kWords.end(), [&](const Word& w) { return w.text == words[0]; });
  if (word == kWords.end()) {
    std::string cause = "unknown call; there are";
    for (const Word& w : kWords) cause.append(" ").append(w.text);
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
  line_.append(bytes.substr(0, std::min(end, kMostLine + 2 - std::min(line_.size(), kMostLine + 2))));
  if (end < bytes.size()) {
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    state_ = State::kLine;
  }
  if (line_.size() > kMostLine + (state_ == State::kOpen ? 1 : 0)) state_ = State::kTooLong;
  return state_;
}

LineReader::State LineReader::finish() {
  if (state_ == State::kOpen && !line_.empty()) {
    if (line_.back() == '\r') line_.pop_back();
    state_ = line_.size() > kMostLine ? State::kTooLong : State::kLine;
  }
  return state_;
}

std::string yes(std::string_view words) { return "OK " + std::string(words) + "\n"; }

std::string no(std::string_view words) { return "ERR " + std::string(words) + "\n"; }

std::string listing(std::string_view lines) { return std::string(lines) + "END\n"; }

}  // namespace shorelead::manage
