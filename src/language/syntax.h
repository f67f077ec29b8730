// Parses the text of a configuration into a tree: statements with values, nested blocks, and the comments
// beside them. Defines the grammar and the syntax errors. It does not interpret statements or read files, and
// reports all syntax errors of a text instead of stopping at the first.
//
//     # a comment
//     let patience = 410 ms
//     class check {
//       aim $patience
//       give_up 1 s     # a statement ends with its line, or with ";"
//     }
//
// A word consists of letters, digits and _ . / : * + - @ ~ % = ; a string is enclosed in quotation marks,
// with the escapes \" \\ \n \t. A number's unit follows it directly or as the next word.
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
  int width = 1;   // in bytes
};

// An error or a warning for the user: what is wrong, where, and how to correct it.
struct Problem {
  Place place;
  std::string cause;
  std::string hint;                                    // a suggested correction; may be empty
  std::string line;                                    // the text of the line
  std::vector<std::pair<Place, std::string>> related;  // related places, each with a note
  bool warning = false;                                // valid, but probably not intended

  // Formats "file:line:column: error: cause" (or warning), the line with carets, the hint, the related
  // places.
  std::string text() const;
};

struct Value {
  enum class Kind { kWord, kString, kNumber, kVariable };
  Kind kind = Kind::kWord;
  std::string text;  // a word, a string without quotes, a variable's name, a number as it was written
  double number = 0;
  std::string unit;  // a number's unit; empty = none
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
  std::vector<std::string> comments_before;   // comments on the lines above it, with their "#"
  std::string trailing_comment;               // the comment at the end of its line
  std::vector<std::string> closing_comments;  // comments before the end of its block
  bool blank_line_before = false;             // an empty line precedes it

  bool same(const Statement& o) const;  // equal apart from places
};

struct Tree {
  std::vector<Statement> statements;
  std::vector<std::string> closing_comments;  // comments after the last statement
  std::vector<std::string> lines;
  std::vector<Problem> problems;
  bool same(const Tree& o) const;
};

Tree parse(std::string_view text, const std::string& file);

// Writes a tree in the canonical form: two spaces per level, at most one empty line in a row, a space before
// a unit. Only for a tree without problems.
std::string format(const Tree& tree);

// Whether `word` is the name of a unit.
bool is_unit(std::string_view word);

}  // namespace shorelead::language
