// The file through which two processes of one node share the backends taken out by hand, and by which the
// next one knows them. It owns the file's changes, each made whole under a lock. It must never let one
// process undo what the other was told, never take in a file that is not whole, and never take trouble in
// reading for a file that is not there.
#pragma once

#include <sys/types.h>

#include <ctime>
#include <functional>
#include <optional>
#include <string>

#include "manage/bans.h"

namespace shorelead::handover {

// Between a process's own steady time and the wall clock's labels, which cross processes.
struct LabelledTimes {
  std::function<Millis(Millis label)> from_wall = [](Millis label) { return label; };
  std::function<Millis(Millis at)> to_wall = [](Millis at) { return at; };
};

class BanFile {
 public:
  explicit BanFile(std::string path, LabelledTimes times = LabelledTimes())
      : path_(std::move(path)), times_(std::move(times)) {}

  // What stands there, if it changed since it was last read or written here; `cause` tells of a file that
  // cannot be used, once for each such file. One that could not be read now is looked at again.
  std::optional<manage::BanSet> read_if_new(std::string& cause);

  // Whether the last look has told what stands there, be it nothing.
  bool known() const { return known_; }

  struct Changed {
    manage::BanSet bans;  // `change` applied: to what stands there, or to `fallback`
    bool saved = false;   // and it is in the file
    std::string error;    // in words, if there was any
  };
  // Applies `change` to what stands there (to `fallback` where nothing usable does) and writes it, whole or
  // not at all.
  Changed change(const manage::BanSet& fallback, const std::function<void(manage::BanSet&)>& change);

 private:
  struct FileVersion {
    ino_t inode = 0;
    off_t size = 0;
    timespec time{};
    bool operator==(const FileVersion& other) const {
      return inode == other.inode && size == other.size && time.tv_sec == other.time.tv_sec &&
             time.tv_nsec == other.time.tv_nsec;
    }
  };
  enum class ReadOutcome { kUsable, kUnusable, kAbsent, kUnknown };

  std::optional<FileVersion> current_version() const;
  ReadOutcome read(manage::BanSet& into, std::string& cause) const;

  const std::string path_;
  const LabelledTimes times_;
  std::optional<FileVersion> last_seen_;
  bool known_ = false;
};

}  // namespace shorelead::handover
