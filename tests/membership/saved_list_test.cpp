// The last good list on disk: loaded whole, or rejected with a cause, whatever happened to the file.
#include "membership/saved_list.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace shorelead::membership {
namespace {

std::vector<Member> three() {
  std::vector<Member> all(3);
  for (int n = 0; n < 3; ++n) {
    Member& m = all[static_cast<std::size_t>(n)];
    m.host = std::string("b\xc3\xa9 ").append(std::to_string(n));
    m.dial = "127.0.0.1:900" + std::to_string(n);
    m.health = n == 1 ? "draining" : "ready";
    m.started = 1000 * n;
  }
  return all;
}

struct Folder {
  Folder() {
    std::string name = (std::filesystem::temp_directory_path() / "shorelead-kept-XXXXXX").string();
    if (::mkdtemp(name.data()) != nullptr) path = name;
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string file() const { return path + "/list"; }
  // The temporary file; its name is per process, as two processes that save one list must not write to one
  // file.
  std::string beside() const { return file() + "." + std::to_string(::getpid()) + ".new"; }
  std::string path;
};

TEST(SavedList, RoundTrip) {
  const Folder folder;
  std::string cause;
  EXPECT_FALSE(load_saved_list(folder.file(), cause));
  EXPECT_EQ(cause, "");  // none was ever saved
  {
    SavedListWriter writer(folder.file());
    writer.write(saved_list_text(three(), 123456));
  }
  const auto list = load_saved_list(folder.file(), cause);
  ASSERT_TRUE(list) << cause;
  EXPECT_EQ(list->members, three());
  EXPECT_EQ(list->written, 123456);
  EXPECT_FALSE(std::filesystem::exists(folder.beside()));
}

// A file cut at any byte, or with any byte changed, is rejected; a list is never loaded with entries missing.
TEST(SavedList, TruncatedOrDamagedFileIsRejected) {
  const std::string text = saved_list_text(three(), 123456);
  const std::size_t body = text.find('\n') + 1;
  for (std::size_t size = 0; size < text.size(); ++size) {
    std::string cause;
    EXPECT_FALSE(read_saved_list(text.substr(0, size), cause)) << size;
    EXPECT_FALSE(cause.empty()) << size;
  }
  for (std::size_t at = 0; at < text.size(); ++at) {
    for (const int bit : {1, 32, 128}) {
      std::string hurt = text;
      hurt[at] = static_cast<char>(hurt[at] ^ bit);
      std::string cause;
      const auto list = read_saved_list(hurt, cause);
      // Only the time of writing is outside the checksum.
      EXPECT_TRUE(!list || (at < body && list->members == three())) << at;
    }
  }
}

TEST(SavedList, OtherFormatsAreRejectedWithACause) {
  const std::pair<std::string, const char*> cases[] = {
      {"", "not a saved list"},
      {"{\"seq\":1}\n", "not a saved list"},
      {"shorelead-list 2 0 0 0\n", "format version is 2, this node supports 1"},
      {"shorelead-list 1 x\n", "first line is damaged"},
      {saved_list_text(three(), 1) + "more", "truncated"}};
  for (const auto& [text, words] : cases) {
    std::string cause;
    EXPECT_FALSE(read_saved_list(text, cause));
    EXPECT_NE(cause.find(words), std::string::npos) << cause;
  }
}

// A failed write leaves the old file unchanged and reports why.
TEST(SavedList, FailedWriteLeavesTheOldFile) {
  const Folder folder;
  ASSERT_FALSE(store_saved_list(folder.file(), saved_list_text(three(), 1)));
  std::filesystem::create_directory(folder.beside());  // blocks the temporary file's name
  const auto cause = store_saved_list(folder.file(), saved_list_text({}, 2));
  ASSERT_TRUE(cause);
  EXPECT_NE(cause->find("cannot be opened"), std::string::npos);
  std::string none;
  EXPECT_EQ(load_saved_list(folder.file(), none)->members.size(), 3U);
}

}  // namespace
}  // namespace shorelead::membership
