// The text of a configuration as a tree: statements with arguments, blocks within blocks, and the comments
// that stand by them. Owns the grammar and the words for what does not follow it; it must never know what a
// statement means, read a file, or stop at the first mistake.
//
//     # a comment
//     let patience = 410 ms
//     class check {
//       aim $patience
//       give_up 1 s     # a statement ends with its line, or with ";"
//     }
//
// A word is letters, digits and _ . / : * + - @ ~ % = ; a string stands in quotation marks and knows \" \\ \n
// \t. A number takes the word behind it as its unit, or the letters that stand right at it.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace shorelead::language {

struct Place {
  std::string file;
  int line = 0;    // from 1
  int column = 0;  // from 1, in bytes
  int width = 1;   // bytes that are meant
};

// One mistake, for people: what is wrong, where, and a way out.
struct Problem {
  Place place;
  std::string cause;
  std::string hint;                                 // may be empty
  std::string line;                                 // the line as it stands
  std::vector<std::pair<Place, std::string>> also;  // other places that belong to it, and what is there
  bool warning = false;                             // it works, but hardly as it was meant

  // "file:line:column: error: cause" (or warning), the line with a caret, the hint, the other places.
  std::string text() const;
};

struct Value {
  enum class Kind { kWord, kString, kNumber, kVariable };
  Kind kind = Kind::kWord;
  std::string text;  // a word, a string's content, a variable's name, a number as it was written
  double number = 0;
  std::string unit;  // of a number; empty = none
  Place place;

  bool same(const Value& o) const {
    return kind == o.kind && unit == o.unit && (kind == Kind::kNumber ? number == o.number : text == o.text);
  }
};

struct Statement {
  std::string name;
  Place place;
  std::vector<Value> values;
  bool has_block = false;
  std::vector<Statement> block;
  std::vector<std::string> before;  // comments on lines of their own above it, with their "#"
  std::string behind;               // a comment on its line
  std::vector<std::string> last;    // comments above the end of its block
  bool gap = false;                 // an empty line stands above it

  bool same(const Statement& o) const;  // but for places
};

struct Tree {
  std::vector<Statement> statements;
  std::vector<std::string> last;  // comments at the end
  std::vector<std::string> lines;
  std::vector<Problem> problems;
  bool same(const Tree& o) const;
};

Tree parse(std::string_view text, const std::string& file);

// The same in one form: two blanks a level, one empty line at most, units apart. Only for a tree without
// problems.
std::string format(const Tree& tree);

// Whether a number may have this unit.
bool is_unit(std::string_view word);

}  // namespace shorelead::language
