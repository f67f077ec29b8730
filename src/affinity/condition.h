// The text of a condition: "class = check and not header X-Test = yes". Owns its grammar and what is said of
// a text that does not follow it; it must never know which routes, classes or plans there are
// (rule_checks.h).
//
//   any      all ("or" all)*
//   all      one ("and" one)*
//   one      "not" one | "(" any ")" | word
//   word     ("route" | "class" | "tenant" | "plan" | "method") ("=" | "!=") value
//            "header" NAME [("=" | "!=") value]        without a value: it is there
//   value    letters, digits and _ . / : * + - @ ~ %, or anything but ' between two of '
//
// "and" binds closer than "or"; "not" binds closest. Words are small; a header's name is taken without case,
// all values are compared byte by byte.
#pragma once

#include <string>
#include <string_view>

#include "affinity/rules.h"

namespace shorelead::affinity {

inline constexpr std::size_t kMostText = 1024;  // bytes: bounds how deep a condition goes

struct Parsed {
  Condition condition;
  std::string cause;       // not empty: there is no condition
  std::size_t column = 0;  // of the mistake, from 1, in bytes
};
Parsed parse_condition(std::string_view text);

// The same as text, in one form; parses to an equal condition.
std::string text_of(const Condition& condition);

}  // namespace shorelead::affinity
