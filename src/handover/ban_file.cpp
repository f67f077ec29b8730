#include "handover/ban_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <string>

namespace shorelead::handover {
namespace {

// Held while a change is read, made and written; gone with its process.
class Lock {
 public:
  explicit Lock(const std::string& path) : fd_(::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600)) {
    held_ = fd_ >= 0 && ::flock(fd_, LOCK_EX) == 0;
  }
  ~Lock() {
    if (fd_ >= 0) ::close(fd_);
  }
  Lock(const Lock&) = delete;
  Lock& operator=(const Lock&) = delete;
  bool held() const { return held_; }

 private:
  int fd_;
  bool held_ = false;
};

bool write_whole(const std::string& path, const std::string& text) {
  const std::string beside = path + "." + std::to_string(::getpid());
  std::ofstream out(beside, std::ios::binary | std::ios::trunc);
  out << text;
  out.close();
  if (out && std::rename(beside.c_str(), path.c_str()) == 0) return true;
  std::remove(beside.c_str());
  return false;
}

}  // namespace

std::optional<BanFile::Mark> BanFile::mark() const {
  struct stat info {};
  if (::stat(path_.c_str(), &info) != 0) return std::nullopt;
  return Mark{info.st_ino, info.st_size, info.st_mtim};
}

std::optional<manage::BanSet> BanFile::read(std::string& cause) const {
  std::ifstream file(path_, std::ios::binary);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  auto set = manage::BanSet::parse(text.str(), cause);
  if (!set) cause = path_ + " " + cause;
  return set;
}

std::optional<manage::BanSet> BanFile::read_if_new(std::string& cause) {
  const auto now = mark();
  if (!now || now == seen_) return std::nullopt;
  seen_ = now;
  return read(cause);
}

manage::BanSet BanFile::change(const manage::BanSet& mine, const std::function<void(manage::BanSet&)>& change,
                               std::string& cause) {
  const Lock lock(path_ + ".lock");
  manage::BanSet set = mine;
  if (lock.held() && mark()) {
    if (const auto there = read(cause)) set = *there;
  }
  change(set);
  if (!lock.held() || !write_whole(path_, set.text())) {
    cause = path_ + " cannot be written: " + std::strerror(errno);
    return set;
  }
  seen_ = mark();
  return set;
}

}  // namespace shorelead::handover
