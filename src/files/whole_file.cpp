#include "files/whole_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <string_view>

namespace shorelead::files {
namespace {

constexpr int kMaxAttempts = 3;  // of the whole operation

std::string describe_error(const std::string& path, const char* what) {
  return path + " " + what + ": " + std::strerror(errno);
}

class File {
 public:
  File(const std::string& path, int flags) {
    do {
      fd_ = ::open(path.c_str(), flags | O_CLOEXEC, 0644);
    } while (fd_ < 0 && errno == EINTR);
  }
  ~File() {
    if (fd_ >= 0) ::close(fd_);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  bool open() const { return fd_ >= 0; }

  // Reads up to the end of the file.
  bool read(std::string& into) const {
    std::array<char, 65536> part;
    while (true) {
      const ssize_t got = ::read(fd_, part.data(), part.size());
      if (got < 0 && errno == EINTR) continue;
      if (got <= 0) return got == 0;
      into.append(part.data(), static_cast<std::size_t>(got));
    }
  }
  bool write(std::string_view text) const {
    while (!text.empty()) {
      const ssize_t done = ::write(fd_, text.data(), text.size());
      if (done < 0 && errno == EINTR) continue;
      if (done <= 0) return false;
      text.remove_prefix(static_cast<std::size_t>(done));
    }
    return true;
  }
  bool sync() const {
    int result = 0;
    do {
      result = ::fsync(fd_);
    } while (result != 0 && errno == EINTR);
    return result == 0;
  }

 private:
  int fd_ = -1;
};

// One attempt. Only a kill leaves the temporary file behind.
ReplaceResult replace_once(const std::string& path, const std::string& text) {
  // The name is unique to this process, as another may write at the same time.
  const std::string temporary_path = path + "." + std::to_string(::getpid()) + ".new";
  ReplaceResult result;
  {
    const File file(temporary_path, O_WRONLY | O_CREAT | O_TRUNC);
    if (!file.open()) {
      result.error = describe_error(temporary_path, "cannot be opened");
      return result;
    }
    if (!file.write(text) || !file.sync()) {
      result.error = describe_error(temporary_path, "cannot be written");
      ::unlink(temporary_path.c_str());
      return result;
    }
  }
  if (::rename(temporary_path.c_str(), path.c_str()) != 0) {
    result.error = describe_error(path, "cannot be put in its place");
    ::unlink(temporary_path.c_str());
    return result;
  }
  result.replaced = true;
  return result;
}

// The rename survives a loss of power only after the directory is synced.
std::string sync_directory_of(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  const std::string directory = slash == std::string::npos ? "." : path.substr(0, slash + 1);
  const File file(directory, O_RDONLY | O_DIRECTORY);
  return file.open() && file.sync() ? "" : describe_error(directory, "cannot be synced");
}

}  // namespace

ReadResult read_whole(const std::string& path) {
  ReadResult result;
  for (int n = 0; n < kMaxAttempts; ++n) {
    const File file(path, O_RDONLY);
    if (!file.open() && errno == ENOENT) {
      result.status = ReadStatus::kAbsent;
      result.cause = describe_error(path, "cannot be opened");
      return result;
    }
    result.text.clear();
    if (file.open() && file.read(result.text)) {
      result.status = ReadStatus::kRead;
      return result;
    }
    result.cause = describe_error(path, file.open() ? "cannot be read" : "cannot be opened");
  }
  result.text.clear();
  return result;
}

ReplaceResult replace_whole(const std::string& path, const std::string& text) {
  ReplaceResult result;
  for (int n = 0; n < kMaxAttempts && !result.replaced; ++n) result = replace_once(path, text);
  if (!result.replaced) return result;
  for (int n = 0; n < kMaxAttempts; ++n) {
    result.error = sync_directory_of(path);
    if (result.error.empty()) break;
  }
  return result;
}

}  // namespace shorelead::files
