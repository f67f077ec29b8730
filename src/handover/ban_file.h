// The file through which two processes of one node share the backends taken out by hand. It owns the file's
// changes, each made whole under a lock. It must never let one process undo what the other was told, and
// never take in a file that is not whole.
#pragma once

#include <sys/types.h>

#include <ctime>
#include <functional>
#include <optional>
#include <string>

#include "manage/bans.h"

namespace shorelead::handover {

class BanFile {
 public:
  explicit BanFile(std::string path) : path_(std::move(path)) {}

  // What stands there, if it changed since it was last read or written here; `cause` tells of a file that
  // cannot be used, once for each such file.
  std::optional<manage::BanSet> read_if_new(std::string& cause);

  // Applies `change` to what stands there (to `mine` where nothing usable does) and writes it, whole or not
  // at all. Says what is in force then; on trouble `mine` changed, and `cause` tells.
  manage::BanSet change(const manage::BanSet& mine, const std::function<void(manage::BanSet&)>& change,
                        std::string& cause);

 private:
  struct Mark {
    ino_t inode = 0;
    off_t size = 0;
    timespec time{};
    bool operator==(const Mark& other) const {
      return inode == other.inode && size == other.size && time.tv_sec == other.time.tv_sec &&
             time.tv_nsec == other.time.tv_nsec;
    }
  };

  std::optional<Mark> mark() const;
  std::optional<manage::BanSet> read(std::string& cause) const;

  const std::string path_;
  std::optional<Mark> seen_;
};

}  // namespace shorelead::handover
