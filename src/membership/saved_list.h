// The last good list on disk, so that a node can start while its source is away. Owns the file's form:
//
//     "shorelead-list 1 " checksum " " bytes " " when "\n" and then `bytes` bytes: one backend a line, JSON
//
// checksum: XXH3 of what follows the first line, 16 hexadecimal digits; when: Unix time in ms. It is written
// whole beside its place, synced, and renamed; so the file is the old list or the new one. It must never give
// out a list from a file that is torn, of another form or newer than it knows.
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

// The text of a file; and what it holds, or nothing and the cause.
std::string saved_list_text(const std::vector<Member>& members, Millis now);
std::optional<SavedList> read_saved_list(const std::string& text, std::string& cause);

// From the disk. A file that is not there is no list and no cause.
std::optional<SavedList> load_saved_list(const std::string& path, std::string& cause);
// Blocks until it is on the disk; the cause where it is not, and the old file is as it was.
std::optional<std::string> store_saved_list(const std::string& path, const std::string& text);

// Writes in a thread of its own, one list at a time; the newest wins.
class SavedListWriter {
 public:
  explicit SavedListWriter(std::string path) : path_(std::move(path)) {}
  ~SavedListWriter();

  bool busy() const;
  void write(std::string text);             // not while busy
  std::optional<std::string> take_error();  // of the last writing, told once
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
