// Log sink for standard output. If that is a pipe, it is opened once more without blocking, so that a reader
// that has stopped does not delay clients. Lines that cannot be written are lost and counted; the count is
// written before the next line that can be. Never blocks on a pipe and never throws.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string_view>

namespace shorelead::node {

class LogOutput : public spdlog::sinks::base_sink<std::mutex> {
 public:
  // Writes to the file of `fd`, which the caller owns. If it is not a pipe, writes may block.
  explicit LogOutput(int fd);
  ~LogOutput() override;

  std::uint64_t lost() const { return lost_; }  // since the last line that was written

 private:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}
  bool write_line(std::string_view line);

  const int descriptor_;
  const int nonblocking_;      // of the same pipe, or -1
  bool partial_line_ = false;  // the last line was written in part
  std::uint64_t lost_ = 0;
};

// Descriptor for writing to the log without a logger: standard output, or the non-blocking one of the same
// pipe.
int log_descriptor();

}  // namespace shorelead::node
