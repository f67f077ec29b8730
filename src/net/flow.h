// A streamed body: a bounded buffer between the connection that a body is read from (the source) and the one
// it is written to (the sink). Notifies each side of what the other does, so that a slow sink pauses the
// source. What both sides hold of it counts to the budget that all flows of the process share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/flow_budget.h"

namespace shorelead::net {

class Flow {
 public:
  struct Source {
    std::function<void()> room;  // read more
    std::function<void()> left;  // the sink does not want the rest
  };
  struct Sink {
    std::function<void()> more;  // bytes, or the end, have arrived
    std::function<void()> cut;   // the source failed; the rest will not arrive
  };

  // `length`: of the whole body, if known.
  Flow(std::shared_ptr<FlowBudget> budget, std::optional<std::uint64_t> length);
  ~Flow();
  Flow(const Flow&) = delete;
  Flow& operator=(const Flow&) = delete;

  // For the source. Each of these may call the sink.
  void set_source(Source source) { source_ = std::move(source); }
  void put(std::string bytes);
  std::size_t space() const;                        // bytes that may be put now
  bool full() const { return space() < kMinRead; }  // stop reading until room() is called
  void end();
  void cut();

  // For the sink. It may be replaced as long as nothing was taken.
  void set_sink(Sink sink) { sink_ = std::move(sink); }
  void clear_sink() { sink_ = Sink(); }
  bool has_sink() const { return static_cast<bool>(sink_.more); }
  std::string take();  // all buffered bytes
  // Of what was taken the sink holds `bytes`, as its connection does not take them yet. Called after each
  // take() and once they are written; may call the source.
  void set_unsent(std::size_t bytes);
  bool empty() const { return bytes_.empty(); }
  void leave();
  void leave_overdue();  // as the source has not sent the rest in time

  // Something was taken, so the body cannot be sent from its beginning again.
  bool touched() const { return touched_; }
  bool ended() const { return ended_; }  // no more bytes will arrive; the buffered ones may be taken
  bool was_cut() const { return cut_; }
  bool overdue() const { return overdue_; }  // the sink left because the source was late
  const std::optional<std::uint64_t>& length() const { return length_; }
  std::uint64_t passed() const { return passed_; }  // bytes put so far

 private:
  static constexpr std::size_t kMinRead = 1024;  // bytes, as of one read of a stream

  static void notify(const std::function<void()>& told);
  void count();

  const std::shared_ptr<FlowBudget> budget_;
  MemoryCharge charge_;
  const std::optional<std::uint64_t> length_;
  Source source_;
  Sink sink_;
  std::string bytes_;
  std::size_t unsent_ = 0;
  std::uint64_t passed_ = 0;
  bool source_paused_ = false;  // the buffer was full, and the source may wait for room()
  bool touched_ = false;
  bool ended_ = false;
  bool cut_ = false;
  bool abandoned_ = false;
  bool overdue_ = false;
};

}  // namespace shorelead::net
