// The schema of the configuration language: its blocks and, for each field, the type, the bounds and the help
// text. The checks and the reference page are derived from it. A default that a help text names must be the
// one that the node uses.
#pragma once

#include <span>
#include <string_view>

namespace shorelead::language {

enum class Type {
  kTime,     // in ms
  kRate,     // per second
  kShare,    // 0 to 1, written in %
  kSize,     // in bytes
  kCount,    // an integer without a unit
  kNumber,   // without a unit
  kWord,     // one of `words`, if there are any
  kAddress,  // 127.0.0.1:8080
  kWords,    // one or more
  kPair,     // two words; may be repeated
  kShares,   // a word and a share; may be repeated
  kFlag,     // yes or no
};

struct Field {
  std::string_view name;
  Type type = Type::kNumber;
  double min = 0;
  double max = 0;
  bool required = false;
  std::string_view words;  // for kWord: separated by "|"; empty = any
  std::string_view help;
};

struct Block {
  std::string_view name;
  std::string_view parent;  // the enclosing block; empty = top level
  bool named = false;       // has a name, unique among blocks of its kind
  bool single = false;      // at most one in its enclosing block
  std::span<const Field> fields;
  std::string_view help;
};

std::span<const Block> blocks();
const Block* find_block(std::string_view name, std::string_view parent);
const Field* find_field(const Block& block, std::string_view name);

}  // namespace shorelead::language
