#define XXH_INLINE_ALL
#include "membership/kept_list.h"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include "membership/registry/messages.h"

namespace shorelead::membership {
namespace {

constexpr std::string_view kForm = "shorelead-list ";
constexpr std::size_t kMostFile = 256U << 20;

std::string checksum(std::string_view bytes) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(bytes.data(), bytes.size())));
  return text;
}

std::string failure(const std::string& path, const char* what) {
  return path + " " + what + ": " + std::strerror(errno);
}

bool write_all(int fd, std::string_view text) {
  while (!text.empty()) {
    const ssize_t done = ::write(fd, text.data(), text.size());
    if (done < 0 && errno == EINTR) continue;
    if (done <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(done));
  }
  return true;
}

}  // namespace

std::string kept_text(const std::vector<Member>& members, Millis now) {
  std::string body;
  // The host goes first, apart from the rest: a name may hold anything but the end of a line.
  for (const Member& member : members) {
    body.append(registry::base64(member.host))
        .append(" ")
        .append(registry::member_value(member))
        .append("\n");
  }
  std::string text(kForm);
  text.append("1 ").append(checksum(body)).append(" ").append(std::to_string(body.size())).append(" ");
  text.append(std::to_string(static_cast<long long>(now))).append("\n");
  return text.append(body);
}

std::optional<KeptList> read_kept(const std::string& text, std::string& cause) {
  if (text.compare(0, kForm.size(), kForm) != 0) return cause = "it is no kept list", std::nullopt;
  const std::size_t end = text.find('\n');
  if (end == std::string::npos) return cause = "it is torn", std::nullopt;
  std::istringstream head(text.substr(kForm.size(), end - kForm.size()));
  int form = 0;
  std::string sum;
  std::size_t size = 0;
  long long written = 0;
  if (!(head >> form)) return cause = "it is no kept list", std::nullopt;
  if (form != 1) return cause = "its form is " + std::to_string(form) + ", this node knows 1", std::nullopt;
  if (!(head >> sum >> size >> written)) return cause = "its first line is damaged", std::nullopt;
  const std::string_view body = std::string_view(text).substr(end + 1);
  if (body.size() != size) {
    return cause = "it is torn: " + std::to_string(body.size()) + " of " + std::to_string(size) + " bytes",
           std::nullopt;
  }
  if (checksum(body) != sum) return cause = "its checksum is wrong", std::nullopt;
  KeptList list;
  list.written = static_cast<Millis>(written);
  for (std::size_t from = 0; from < body.size();) {
    const std::size_t line_end = std::min(body.find('\n', from), body.size());
    const std::string_view line = body.substr(from, line_end - from);
    from = line_end + 1;
    const std::size_t blank = line.find(' ');
    const auto host = registry::from_base64(line.substr(0, blank));
    if (!host || blank == std::string_view::npos) return cause = "a line of it names no box", std::nullopt;
    auto member = registry::parse_member(*host, std::string(line.substr(blank + 1)), cause);
    if (!member) return std::nullopt;
    list.members.push_back(std::move(*member));
  }
  return list;
}

std::optional<KeptList> load_kept(const std::string& path, std::string& cause) {
  std::ifstream file(path, std::ios::binary | std::ios::ate);
  if (!file) return std::nullopt;
  if (file.tellg() > static_cast<std::streamoff>(kMostFile))
    return cause = "it is over 256 MiB", std::nullopt;
  file.seekg(0);
  std::ostringstream text;
  text << file.rdbuf();
  return read_kept(std::move(text).str(), cause);
}

std::optional<std::string> store_kept(const std::string& path, const std::string& text) {
  const std::string fresh = path + ".new";
  const int fd = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0) return failure(fresh, "cannot be opened");
  const bool written = write_all(fd, text) && ::fsync(fd) == 0;
  const std::string cause = written ? "" : failure(fresh, "cannot be written");
  ::close(fd);
  if (!written) {
    ::unlink(fresh.c_str());
    return cause;
  }
  if (::rename(fresh.c_str(), path.c_str()) != 0) return failure(path, "cannot be put in its place");
  // The new name counts after a loss of power only once its folder is synced as well.
  const std::size_t slash = path.rfind('/');
  const std::string folder = slash == std::string::npos ? "." : path.substr(0, slash + 1);
  const int at = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (at < 0) return std::nullopt;
  ::fsync(at);
  ::close(at);
  return std::nullopt;
}

Keeper::~Keeper() {
  if (thread_.joinable()) thread_.join();
}

bool Keeper::busy() const {
  const std::lock_guard lock(mutex_);
  return busy_;
}

void Keeper::keep(std::string text) {
  if (thread_.joinable()) thread_.join();
  {
    const std::lock_guard lock(mutex_);
    busy_ = true;
  }
  thread_ = std::thread([this, text = std::move(text)] {
    auto trouble = store_kept(path_, text);
    const std::lock_guard lock(mutex_);
    written_ += trouble ? 0 : 1;
    trouble_ = std::move(trouble);
    busy_ = false;
  });
}

std::optional<std::string> Keeper::trouble() {
  const std::lock_guard lock(mutex_);
  return std::exchange(trouble_, std::nullopt);
}

std::uint64_t Keeper::written() const {
  const std::lock_guard lock(mutex_);
  return written_;
}

}  // namespace shorelead::membership
