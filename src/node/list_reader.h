// A list's JSON read in slices, so that one of 20,000 entries does not hold the loop. It finds where the
// entries of "hosts" begin and end and has each read by itself; what is left is read as a list without
// entries. Owns the text until it is read. It must never give out a list that it has not read whole, nor pass
// over what it cannot read.
#pragma once

#include <string>
#include <string_view>

#include "node/config.h"

namespace shorelead::node {

class ListReader {
 public:
  explicit ListReader(std::string text) : text_(std::move(text)) {}

  // Reads up to so many entries; true when the list is whole. Throws FieldError with the cause.
  bool advance(int entries);
  List take() { return std::move(list_); }

 private:
  bool scan_rest();  // up to the array of entries, or to the end; whether there is such an array
  void read_entry();
  bool in_text();  // whether there is a byte at `at_` that is no white space, which is skipped
  void skip_string();
  void skip_object();
  void finish();

  const std::string text_;
  std::size_t at_ = 0;
  std::size_t copied_ = 0;  // what lies before is in `rest_`, or was an entry
  std::string rest_;        // the list with its entries left out
  int depth_ = 0;
  bool hosts_ = false;  // among the entries
  bool any_ = false;    // one was read
  List list_;
};

}  // namespace shorelead::node
