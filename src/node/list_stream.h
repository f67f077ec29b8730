// Where one list ends and the next begins in what a watch brings: an object with a line end behind it, which
// may be indented over many lines. Owns what has come and was not given out. It must never read what an
// object says, nor pass over anything but blank lines between objects: what is no object is given out as it
// is, for the reader to refuse.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace shorelead::node {

class ListStream {
 public:
  void put(std::string_view bytes);
  // The next text that is whole; none until more has come.
  std::optional<std::string> next();
  void clear() { *this = ListStream(); }
  std::size_t held() const { return text_.size() - begun_; }  // bytes not given out

 private:
  bool ends_here();  // at a line end: whether the text does

  std::string text_;
  std::size_t begun_ = 0;   // the text at hand
  std::size_t at_ = 0;      // looked at up to here
  std::size_t line_ = 0;    // the line at hand
  int depth_ = 0;           // objects and arrays that are open
  bool in_string_ = false;  // of the text at hand
};

}  // namespace shorelead::node
