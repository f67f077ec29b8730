// The text form of a condition: "class = check and not header X-Test = yes". Owns its grammar and the
// messages for a text that does not follow it; it does not know which routes, classes or plans exist
// (rule_checks.h).
//
//   any      all ("or" all)*
//   all      one ("and" one)*
//   one      "not" one | "(" any ")" | word
//   word     ("route" | "class" | "tenant" | "plan" | "method") ("=" | "!=") value
//            "header" NAME [("=" | "!=") value]        without a value: the header is present
//   value    letters, digits and _ . / : * + - @ ~ %, or any bytes but ' between two of '
//
// "and" binds closer than "or"; "not" binds closest. Keywords are lower case; a header's name is matched
// without regard to case, all values are compared byte by byte.
#pragma once

#include <string>
#include <string_view>

#include "affinity/rules.h"

namespace shorelead::affinity {

inline constexpr std::size_t kMaxTextBytes = 1024;  // bytes; limits the depth of a condition

struct Parsed {
  Condition condition;
  std::string cause;       // not empty: the text is no condition
  std::size_t column = 0;  // of the error, from 1, in bytes
};
Parsed parse_condition(std::string_view text);

// Returns the canonical text of a condition; it parses to an equal condition.
std::string text_of(const Condition& condition);

}  // namespace shorelead::affinity
