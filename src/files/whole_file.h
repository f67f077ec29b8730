// Files that are read and replaced whole. Owns the calls that take, and what Linux documents of their
// failing: interruptions are no failure, short reads and writes go on, and trouble that passes (no
// descriptor, no space, an I/O error) is tried again a few times before it is told. It must never know what a
// file holds.
#pragma once

#include <string>

namespace shorelead::files {

enum class ReadStatus {
  kRead,
  kAbsent,  // there is no such file
  kFailed,  // it could not be read, or not to its end: what is in it is not known
};

struct ReadResult {
  ReadStatus status = ReadStatus::kFailed;
  std::string text;   // if it was read
  std::string cause;  // if not, in words
};

ReadResult read_whole(const std::string& path);

struct ReplaceResult {
  bool replaced = false;  // readers find the new text from now on
  // In words. With a file that was replaced: it may be the old one again after a loss of power.
  std::string error;
};

// Puts a file with this text in the place of the one at `path`, whole or not at all: written beside it,
// synced, renamed, and the folder synced.
ReplaceResult replace_whole(const std::string& path, const std::string& text);

}  // namespace shorelead::files
