#include "handover/ban_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <string>

#include "files/whole_file.h"

namespace shorelead::handover {
namespace {

constexpr int kMaxAttempts = 3;  // of opening the lock file

// An exclusive lock on a file; the system releases it when the process ends.
class Lock {
 public:
  explicit Lock(const std::string& path) {
    for (int n = 0; n < kMaxAttempts && fd_ < 0; ++n)
      fd_ = ::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (fd_ < 0) return;
    int result = 0;
    do {
      result = ::flock(fd_, LOCK_EX);
    } while (result != 0 && errno == EINTR);
    held_ = result == 0;
  }
  ~Lock() {
    if (fd_ >= 0) ::close(fd_);
  }
  Lock(const Lock&) = delete;
  Lock& operator=(const Lock&) = delete;
  bool held() const { return held_; }

 private:
  int fd_ = -1;
  bool held_ = false;
};

}  // namespace

std::optional<BanFile::FileVersion> BanFile::current_version() const {
  struct stat info {};
  if (::stat(path_.c_str(), &info) != 0) return std::nullopt;
  return FileVersion{info.st_ino, info.st_size, info.st_mtim};
}

BanFile::ReadOutcome BanFile::read(manage::BanSet& into, std::string& cause) const {
  const files::ReadResult file = files::read_whole(path_);
  if (file.status == files::ReadStatus::kAbsent) return ReadOutcome::kAbsent;
  if (file.status == files::ReadStatus::kFailed) return cause = file.cause, ReadOutcome::kUnknown;
  std::string unusable;
  const auto set = manage::BanSet::parse(file.text, unusable);
  if (!set) return cause = path_ + " " + unusable, ReadOutcome::kUnusable;
  into = set->with_times(times_.from_wall);
  return ReadOutcome::kUsable;
}

std::optional<manage::BanSet> BanFile::read_if_new(std::string& cause) {
  const auto now = current_version();
  known_ = now ? now == last_seen_ : errno == ENOENT || errno == ENOTDIR;
  if (!now || now == last_seen_) return std::nullopt;
  manage::BanSet set;
  const ReadOutcome outcome = read(set, cause);
  known_ = outcome != ReadOutcome::kUnknown;
  if (outcome == ReadOutcome::kUsable || outcome == ReadOutcome::kUnusable) last_seen_ = now;
  return outcome == ReadOutcome::kUsable ? std::optional(set) : std::nullopt;
}

BanFile::Changed BanFile::change(const manage::BanSet& fallback,
                                 const std::function<void(manage::BanSet&)>& change) {
  const Lock lock(path_ + ".lock");
  Changed changed;
  changed.bans = fallback;
  manage::BanSet file_bans;
  ReadOutcome outcome = ReadOutcome::kUnknown;
  if (lock.held()) {
    outcome = read(file_bans, changed.error);
  } else {
    changed.error = path_ + ".lock cannot be had: " + std::strerror(errno);
  }
  if (outcome == ReadOutcome::kUsable) changed.bans = file_bans;
  change(changed.bans);
  // A file that could not be read is not overwritten: it may hold bans made by the other process.
  if (outcome == ReadOutcome::kUnknown) return changed;
  const auto written = files::replace_whole(path_, changed.bans.with_times(times_.to_wall).text());
  changed.saved = written.replaced;
  changed.error = written.error;
  if (changed.saved) last_seen_ = current_version();
  return changed;
}

}  // namespace shorelead::handover
