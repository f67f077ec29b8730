#include "node/log_output.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <string>

#include "net/call_errors.h"

namespace shorelead::node {
namespace {

std::atomic<int> nonblocking_descriptor{-1};

// Opens the pipe once more instead of setting O_NONBLOCK on `fd`: the flag belongs to the open file
// description, which other processes may share. Returns -1 if `fd` is not a pipe or cannot be opened again.
int reopen_nonblocking(int fd) {
  struct stat info {};
  if (::fstat(fd, &info) != 0 || !S_ISFIFO(info.st_mode)) return -1;
  const std::string path = "/proc/self/fd/" + std::to_string(fd);
  return net::uninterrupted([&] { return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC); });
}

}  // namespace

LogOutput::LogOutput(int fd) : descriptor_(fd), nonblocking_(reopen_nonblocking(fd)) {
  nonblocking_descriptor = nonblocking_;
}

LogOutput::~LogOutput() {
  nonblocking_descriptor = -1;
  if (nonblocking_ >= 0) ::close(nonblocking_);
}

void LogOutput::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t text;
  formatter_->format(message, text);
  const std::string notice = std::to_string(lost_) + " lines of the log are missing here: it was not read\n";
  if (lost_ > 0 && !write_line(notice)) {
    ++lost_;
    return;
  }
  // The notice has reported the lines lost before.
  lost_ = write_line({text.data(), text.size()}) ? 0 : 1;
}

// A pipe takes up to PIPE_BUF bytes whole or not at all (pipe(7)); a longer line may be written in part, and
// then the next one begins with a line break.
bool LogOutput::write_line(std::string_view line) {
  std::string text(partial_line_ ? "\n" : "");
  text += line;
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t written = net::uninterrupted([&] {
      return ::write(nonblocking_ >= 0 ? nonblocking_ : descriptor_, text.data() + done, text.size() - done);
    });
    if (written <= 0) break;
    done += static_cast<std::size_t>(written);
  }
  if (done > 0) partial_line_ = done < text.size();
  return done == text.size();
}

int log_descriptor() {
  const int own = nonblocking_descriptor;
  return own >= 0 ? own : STDOUT_FILENO;
}

}  // namespace shorelead::node
