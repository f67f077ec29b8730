#include "manage/bans.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <vector>

namespace shorelead::manage {
namespace {

constexpr std::string_view kTitle = "shorelead bans 1";

std::uint64_t checksum(std::string_view text) {  // FNV-1a
  std::uint64_t sum = 0xcbf29ce484222325ULL;
  for (const char c : text) sum = (sum ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return sum;
}

template <typename Number>
std::optional<Number> parse_integer(std::string_view text) {
  Number value = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || rest != text.data() + text.size()) return std::nullopt;
  return value;
}

std::string_view take_until(std::string_view& text, char at) {
  const std::size_t end = std::min(text.find(at), text.size());
  const std::string_view part = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return part;
}

}  // namespace

bool BanSet::disable(const std::string& id, Millis now) {
  if (out(id)) return false;
  bans_[id] = Ban{true, now, 0};
  return true;
}

bool BanSet::enable(const std::string& id, Millis now) {
  if (!out(id)) return false;
  Ban& ban = bans_[id];
  ban.out = false;
  ban.until = now;
  return true;
}

bool BanSet::out(const std::string& id) const {
  const auto it = bans_.find(id);
  return it != bans_.end() && it->second.out;
}

std::size_t BanSet::count_out() const {
  return static_cast<std::size_t>(
      std::count_if(bans_.begin(), bans_.end(), [](const auto& one) { return one.second.out; }));
}

Millis BanSet::started(const std::string& id, Millis born) const {
  const auto it = bans_.find(id);
  if (it == bans_.end() || it->second.out || born > it->second.since) return born;
  return it->second.until;
}

BanSet BanSet::with_times(const std::function<Millis(Millis)>& convert) const {
  BanSet set = *this;
  for (auto& [id, ban] : set.bans_) {
    if (ban.since > 0) ban.since = convert(ban.since);
    if (ban.until > 0) ban.until = convert(ban.until);
  }
  return set;
}

std::string BanSet::text() const {
  std::string text(kTitle);
  text += '\n';
  for (const auto& [id, ban] : bans_) {
    text += (ban.out ? "out " : "back ") + std::to_string(std::llround(ban.since)) + " " +
            std::to_string(std::llround(ban.until)) + " " + id + "\n";
  }
  const std::uint64_t sum = checksum(text);
  return text + "end " + std::to_string(sum) + "\n";
}

std::optional<BanSet> BanSet::parse(std::string_view text, std::string& cause) {
  const std::size_t last = text.rfind("end ");
  if (text.substr(0, kTitle.size()) != kTitle) return cause = "is no file of bans", std::nullopt;
  if (last == std::string_view::npos || text.back() != '\n') return cause = "is torn", std::nullopt;
  const auto sum = parse_integer<std::uint64_t>(text.substr(last + 4, text.size() - last - 5));
  if (!sum || *sum != checksum(text.substr(0, last))) return cause = "is torn or was changed", std::nullopt;
  BanSet set;
  std::string_view rest = text.substr(0, last);
  take_until(rest, '\n');
  while (!rest.empty()) {
    std::string_view line = take_until(rest, '\n');
    const std::string_view word = take_until(line, ' ');
    const auto since = parse_integer<std::int64_t>(take_until(line, ' '));
    const auto until = parse_integer<std::int64_t>(take_until(line, ' '));
    if ((word != "out" && word != "back") || !since || !until || line.empty())
      return cause = "holds a line that is no ban", std::nullopt;
    set.bans_[std::string(line)] =
        Ban{word == "out", static_cast<Millis>(*since), static_cast<Millis>(*until)};
  }
  return set;
}

}  // namespace shorelead::manage
