// Log output to a pipe that is not read: lines are lost without blocking, and the next line that can be
// written reports how many.
#include "node/log_output.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <array>
#include <sstream>
#include <string>

namespace shorelead::node {
namespace {

struct Pipe {
  Pipe() { EXPECT_EQ(::pipe2(ends.data(), O_CLOEXEC), 0); }
  ~Pipe() {
    for (const int end : ends) ::close(end);
  }
  // Reads all buffered bytes.
  std::string read() const {
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string all;
    std::array<char, 65536> part{};
    for (ssize_t got = 0; (got = ::read(ends[0], part.data(), part.size())) > 0;)
      all.append(part.data(), static_cast<std::size_t>(got));
    return all;
  }
  std::array<int, 2> ends{};
};

// Each line is either written or counted as missing.
TEST(LogOutput, LinesThatAreNotReadAreLostAndCounted) {
  for (const std::size_t length : {std::size_t{100}, std::size_t{10000}}) {
    const Pipe pipe;
    const auto output = std::make_shared<LogOutput>(pipe.ends[1]);
    spdlog::logger log("node", output);
    log.set_pattern("%v");
    const std::string line(length, 'x');
    std::uint64_t logged = 0;
    while (output->lost() == 0) log.info(line), ++logged;
    for (int n = 0; n < 10; ++n) log.info(line), ++logged;
    EXPECT_EQ(::fcntl(pipe.ends[1], F_GETFL) & O_NONBLOCK, 0) << "other processes share the file description";
    std::string all = pipe.read();
    log.info("read again");
    all += pipe.read();
    EXPECT_EQ(output->lost(), 0U);
    std::istringstream lines(all);
    std::uint64_t there = 0;
    std::uint64_t missing = 0;
    std::string last;
    for (std::string one; std::getline(lines, one); last = one) {
      there += one == line ? 1 : 0;
      if (one.find(" lines of the log are missing here") != std::string::npos) missing += std::stoull(one);
    }
    EXPECT_EQ(there + missing, logged) << length;
    EXPECT_GE(missing, 1U);
    EXPECT_EQ(last, "read again");
  }
}

TEST(LogOutput, AFileIsAppendedTo) {
  std::string path = testing::TempDir() + "shorelead-log-XXXXXX";
  const int file = ::mkstemp(path.data());
  ASSERT_EQ(::write(file, "before\n", 7), 7);
  spdlog::logger log("node", std::make_shared<LogOutput>(file));
  log.set_pattern("%v");
  log.info("behind");
  std::array<char, 64> text{};
  EXPECT_EQ(::pread(file, text.data(), text.size(), 0), 14);
  EXPECT_EQ(std::string(text.data()), "before\nbehind\n");
  ::close(file);
  ::unlink(path.c_str());
}

}  // namespace
}  // namespace shorelead::node
