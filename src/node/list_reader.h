// Parses a list's JSON in slices, so that a list of 20,000 entries does not block the loop. It finds the
// extent of each entry of "hosts" and parses the entries one by one; the remaining text is parsed as a list
// without entries. Owns the text. It returns only lists that were parsed whole, and rejects whatever it
// cannot parse.
#pragma once

#include <string>
#include <string_view>

#include "node/config.h"

namespace shorelead::node {

class ListReader {
 public:
  explicit ListReader(std::string text) : text_(std::move(text)) {}

  // Parses up to `entries` entries; returns true when the list is complete. Throws FieldError with the cause.
  bool advance(int entries);
  List take() { return std::move(list_); }

 private:
  bool scan_rest();  // skips to the array of entries or to the end; whether there is such an array
  void read_entry();
  bool in_text();  // skips white space; whether there is a byte at `at_`
  void skip_string();
  void skip_object();
  void finish();

  const std::string text_;
  std::size_t at_ = 0;
  std::size_t copied_ = 0;  // text before this is in `rest_` or was an entry
  std::string rest_;        // the list without its entries
  int depth_ = 0;
  bool hosts_ = false;  // within the array of entries
  bool any_ = false;    // an entry of the array was parsed
  List list_;
};

}  // namespace shorelead::node
