// What may be said in a configuration, stated once: the blocks, the fields of each, their types, bounds and
// words for people. Checker and reference page read it. Owns no code beyond look-ups; it must never hold a
// default that the node does not go by.
#pragma once

#include <span>
#include <string_view>

namespace shorelead::language {

enum class Type {
  kTime,     // in ms
  kRate,     // a second
  kShare,    // 0 to 1, written in %
  kSize,     // in bytes
  kCount,    // a whole number without a unit
  kNumber,   // without a unit
  kWord,     // one of `words`, if there are any
  kAddress,  // 127.0.0.1:8080
  kWords,    // one or more
  kPair,     // two words; may be told more than once
  kShares,   // a word and a share; may be told more than once
  kFlag,     // yes or no
};

struct Field {
  std::string_view name;
  Type type = Type::kNumber;
  double least = 0;
  double most = 0;
  bool required = false;
  std::string_view words;  // for kWord: separated by "|"; empty = any
  std::string_view means;
};

struct Block {
  std::string_view name;
  std::string_view within;  // empty = at the top
  bool named = false;       // has a name of its own, different from others of its kind
  bool once = false;
  std::span<const Field> fields;
  std::string_view means;
};

std::span<const Block> blocks();
const Block* find_block(std::string_view name, std::string_view within);
const Field* find_field(const Block& block, std::string_view name);

}  // namespace shorelead::language
