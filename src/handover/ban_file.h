// The file through which the processes of one node share the backends that an operator has banned. Each
// change reads, modifies and replaces the whole file under a lock, so that no process undoes the change of
// another. Damaged files are rejected, and a read error is not taken for a missing file.
#pragma once

#include <sys/types.h>

#include <ctime>
#include <functional>
#include <optional>
#include <string>

#include "manage/bans.h"

namespace shorelead::handover {

// Conversions between the steady time of a process and the wall-clock time written to the file.
struct LabelledTimes {
  std::function<Millis(Millis label)> from_wall = [](Millis label) { return label; };
  std::function<Millis(Millis at)> to_wall = [](Millis at) { return at; };
};

class BanFile {
 public:
  explicit BanFile(std::string path, LabelledTimes times = LabelledTimes())
      : path_(std::move(path)), times_(std::move(times)) {}

  // Returns the bans in the file if it changed since this object read or wrote it. For an unusable file sets
  // `cause`, once per version of the file. After a read error the next call tries again.
  std::optional<manage::BanSet> read_if_new(std::string& cause);

  // Whether the last read_if_new() determined the content of the file, or that there is none.
  bool known() const { return known_; }

  struct Changed {
    manage::BanSet bans;  // after `change`
    bool saved = false;   // whether they are in the file
    std::string error;    // empty if there was none
  };
  // Applies `change` to the content of the file, or to `fallback` if that is not usable, and replaces the
  // file atomically.
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
