// Splits the text of a watch into lists. A list is a JSON object followed by a newline, and may be indented
// over many lines. Owns the text that was not returned yet. It does not parse objects: text that is no object
// is returned as it is, for the parser to reject; only blank lines between objects are skipped.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace shorelead::node {

class ListStream {
 public:
  void put(std::string_view bytes);
  // Returns the next complete text, or nothing until more has arrived.
  std::optional<std::string> next();
  void clear() { *this = ListStream(); }
  std::size_t held() const { return text_.size() - begun_; }  // bytes not returned yet

 private:
  bool ends_here();  // whether the current text ends at this newline

  std::string text_;
  std::size_t begun_ = 0;   // start of the current text
  std::size_t at_ = 0;      // scanned up to here
  std::size_t line_ = 0;    // start of the current line
  int depth_ = 0;           // open objects and arrays
  bool in_string_ = false;  // within the current text
};

}  // namespace shorelead::node
