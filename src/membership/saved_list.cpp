#define XXH_INLINE_ALL
#include "membership/saved_list.h"

#include <xxhash.h>

#include <charconv>
#include <cstdio>
#include <sstream>
#include <utility>

#include "files/whole_file.h"
#include "membership/registry/messages.h"

namespace shorelead::membership {
namespace {

constexpr std::string_view kMagic = "shorelead-list ";
constexpr std::size_t kMaxFileBytes = 256U << 20;

std::string checksum(std::string_view bytes) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(bytes.data(), bytes.size())));
  return text;
}

}  // namespace

std::string saved_list_text(const std::vector<Member>& members, Millis now) {
  std::string body;
  // The host is encoded apart from the JSON, as a name may hold any character but a newline.
  for (const Member& member : members) {
    body.append(registry::base64(member.host))
        .append(" ")
        .append(registry::member_value(member))
        .append("\n");
  }
  std::string text(kMagic);
  text.append("1 ").append(checksum(body)).append(" ").append(std::to_string(body.size())).append(" ");
  text.append(std::to_string(static_cast<long long>(now))).append("\n");
  return text.append(body);
}

std::optional<SavedList> read_saved_list(const std::string& text, std::string& cause) {
  if (text.compare(0, kMagic.size(), kMagic) != 0) return cause = "it is not a saved list", std::nullopt;
  const std::size_t end = text.find('\n');
  if (end == std::string::npos) return cause = "it is truncated", std::nullopt;
  std::istringstream head(text.substr(kMagic.size(), end - kMagic.size()));
  int version = 0;
  std::string sum;
  std::size_t size = 0;
  long long written = 0;
  if (!(head >> version)) return cause = "it is not a saved list", std::nullopt;
  if (version != 1)
    return cause = "its format version is " + std::to_string(version) + ", this node supports 1",
           std::nullopt;
  if (!(head >> sum >> size >> written)) return cause = "its first line is damaged", std::nullopt;
  const std::string_view body = std::string_view(text).substr(end + 1);
  if (body.size() != size) {
    return cause =
               "it is truncated: " + std::to_string(body.size()) + " of " + std::to_string(size) + " bytes",
           std::nullopt;
  }
  if (checksum(body) != sum) return cause = "its checksum is wrong", std::nullopt;
  SavedList list;
  list.written = static_cast<Millis>(written);
  for (std::size_t from = 0; from < body.size();) {
    const std::size_t line_end = std::min(body.find('\n', from), body.size());
    const std::string_view line = body.substr(from, line_end - from);
    from = line_end + 1;
    const std::size_t blank = line.find(' ');
    const auto host = registry::from_base64(line.substr(0, blank));
    if (!host || blank == std::string_view::npos)
      return cause = "a line of it names no backend", std::nullopt;
    auto member = registry::parse_member(*host, std::string(line.substr(blank + 1)), cause);
    if (!member) return std::nullopt;
    list.members.push_back(std::move(*member));
  }
  return list;
}

std::optional<SavedList> load_saved_list(const std::string& path, std::string& cause) {
  files::ReadResult file = files::read_whole(path);
  if (file.status == files::ReadStatus::kAbsent) return std::nullopt;
  if (file.status == files::ReadStatus::kFailed) return cause = file.cause, std::nullopt;
  if (file.text.size() > kMaxFileBytes) return cause = "it is over 256 MiB", std::nullopt;
  return read_saved_list(file.text, cause);
}

std::optional<std::string> store_saved_list(const std::string& path, const std::string& text) {
  files::ReplaceResult result = files::replace_whole(path, text);
  return result.error.empty() ? std::nullopt : std::optional(std::move(result.error));
}

SavedListWriter::~SavedListWriter() {
  if (thread_.joinable()) thread_.join();
}

bool SavedListWriter::busy() const {
  const std::lock_guard lock(mutex_);
  return busy_;
}

void SavedListWriter::write(std::string text) {
  if (thread_.joinable()) thread_.join();
  {
    const std::lock_guard lock(mutex_);
    busy_ = true;
  }
  thread_ = std::thread([this, text = std::move(text)] {
    auto error = store_saved_list(path_, text);
    const std::lock_guard lock(mutex_);
    written_ += error ? 0 : 1;
    error_ = std::move(error);
    busy_ = false;
  });
}

std::optional<std::string> SavedListWriter::take_error() {
  const std::lock_guard lock(mutex_);
  return std::exchange(error_, std::nullopt);
}

std::uint64_t SavedListWriter::written() const {
  const std::lock_guard lock(mutex_);
  return written_;
}

}  // namespace shorelead::membership
