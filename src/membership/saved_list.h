// The last good list on disk, so that a node can start while its source is unavailable. Format of the file:
//
//     "shorelead-list 1 " checksum " " bytes " " when "\n", then `bytes` bytes: one backend a line, as JSON
//
// checksum: XXH3 of everything after the first line, 16 hexadecimal digits; when: Unix time in ms. The file
// is written under another name, synced and renamed, so it always holds the old list or the new one. A file
// that is truncated, of another format or of a newer version is rejected.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "membership/member.h"

namespace shorelead::membership {

struct SavedList {
  std::vector<Member> members;
  Millis written = 0;
};

// Formats a file's text; parses one, or returns nothing and the cause.
std::string saved_list_text(const std::vector<Member>& members, Millis now);
std::optional<SavedList> read_saved_list(const std::string& text, std::string& cause);

// Reads the file. A missing file gives neither a list nor a cause.
std::optional<SavedList> load_saved_list(const std::string& path, std::string& cause);
// Writes the file and blocks until it is on the disk. Returns the error, after which the old file is
// unchanged.
std::optional<std::string> store_saved_list(const std::string& path, const std::string& text);

// Writes lists in its own thread, one at a time.
class SavedListWriter {
 public:
  explicit SavedListWriter(std::string path) : path_(std::move(path)) {}
  ~SavedListWriter();

  bool busy() const;
  void write(std::string text);             // must not be busy
  std::optional<std::string> take_error();  // error of the last write, returned once
  std::uint64_t written() const;

 private:
  const std::string path_;
  mutable std::mutex mutex_;
  std::thread thread_;
  bool busy_ = false;
  std::uint64_t written_ = 0;
  std::optional<std::string> error_;
};

}  // namespace shorelead::membership
