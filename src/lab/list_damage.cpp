#include "lab/list_damage.h"

#include <array>
#include <cstdio>
#include <map>

namespace shorelead::lab {

std::string chunk(const std::string& text) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

std::optional<ListDamage> list_damage(const std::string& fault) {
  static const std::map<std::string, ListDamage> damages{
      {"partial_end", {PartialList::kEnds, CutAt::kMiddle}},
      {"partial_reset", {PartialList::kResets, CutAt::kMiddle}},
      {"partial_silent", {PartialList::kFallsSilent, CutAt::kMiddle}},
      {"partial_late", {PartialList::kRestComesLate, CutAt::kMiddle}},
      {"begun_end", {PartialList::kEnds, CutAt::kBeforeTheList}},
      {"begun_reset", {PartialList::kResets, CutAt::kBeforeTheList}},
      {"begun_silent", {PartialList::kFallsSilent, CutAt::kBeforeTheList}},
      {"begun_late", {PartialList::kRestComesLate, CutAt::kBeforeTheList}}};
  const auto found = damages.find(fault);
  return found == damages.end() ? std::nullopt : std::optional(found->second);
}

std::size_t first_part(const std::string& text, CutAt at, std::size_t nth) {
  const std::size_t head = text.rfind("HTTP/", 0) == 0 ? text.find("\r\n\r\n") + 4 : 0;
  if (at == CutAt::kMiddle) return head + (text.size() - head) / 2;
  if (head == 0) return 1;  // the first digit of a chunk's size
  return nth % 2 == 0 ? head / 2 : head;
}

std::string with_unreadable_entry(const std::string& list) {
  static const std::string kHosts = "\"hosts\":[";
  const std::size_t at = list.find(kHosts);
  if (at == std::string::npos) return list;
  const std::size_t first = at + kHosts.size();
  const std::string entry = list[first] == ']' ? "{\"host\":5}" : "{\"host\":5},";
  return list.substr(0, first) + entry + list.substr(first);
}

}  // namespace shorelead::lab
