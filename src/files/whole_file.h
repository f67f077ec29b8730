// Reads and atomically replaces whole files. Interrupted calls and short reads or writes are continued;
// errors that may be transient (no descriptor, no space, an I/O error) are retried a few times before they
// are reported.
#pragma once

#include <string>

namespace shorelead::files {

enum class ReadStatus {
  kRead,
  kAbsent,  // the file does not exist
  kFailed,  // it could not be read completely
};

struct ReadResult {
  ReadStatus status = ReadStatus::kFailed;
  std::string text;   // if status is kRead
  std::string cause;  // otherwise, the error
};

ReadResult read_whole(const std::string& path);

struct ReplaceResult {
  bool replaced = false;  // readers see the new text
  // Empty if there was none. If the file was replaced, the old one may be back after a loss of power.
  std::string error;
};

// Replaces the file at `path` atomically: writes a temporary file beside it, syncs and renames it, and syncs
// the directory.
ReplaceResult replace_whole(const std::string& path, const std::string& text);

}  // namespace shorelead::files
