// The texts of the stand-in discovery on the wire, and what it does to them: where one is cut off, and one
// that no reader of the protocol accepts. Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace shorelead::lab {

// The text as a chunk of a response.
std::string chunk(const std::string& text);

// How a list goes on after its first part.
enum class PartialList { kNone, kEnds, kResets, kFallsSilent, kRestComesLate };

// Where the first part ends: in the middle of the list, or before its first byte (within the head of the
// response, behind it, or within a chunk's size).
enum class CutAt { kMiddle, kBeforeTheList };

struct ListDamage {
  PartialList then = PartialList::kNone;
  CutAt at = CutAt::kMiddle;
};

// Of a discovery fault with that name; nothing if it damages no list.
std::optional<ListDamage> list_damage(const std::string& fault);

// The size of the first part of a response or of a chunk. `nth`: which of these cuts it is, to vary the
// place.
std::size_t first_part(const std::string& text, CutAt at, std::size_t nth);

// The list in its form on the wire with one entry that cannot be read.
std::string with_unreadable_entry(const std::string& list);

}  // namespace shorelead::lab
