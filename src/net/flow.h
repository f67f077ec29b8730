// A streamed body: a bounded buffer between the connection that a body is read from (the source) and the one
// it is written to (the sink). Notifies each side of what the other does, so that a slow sink pauses the
// source. Holds at most its part of the budget and one read more.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace shorelead::net {

// The memory limit that all flows of a node share.
class FlowBudget {
 public:
  static constexpr std::size_t kMaxPart = 65536;
  static constexpr std::size_t kMinPart = 8192;

  explicit FlowBudget(std::size_t bytes) : bytes_(bytes) {}
  void state(std::size_t bytes) { bytes_ = bytes; }
  // Whether there is room for one more flow.
  bool room() const { return bytes_ / (open_ + 1) / kSides >= kMinPart; }
  std::size_t part() const;  // bytes that each flow may hold now
  std::size_t open() const { return open_; }

 private:
  friend class Flow;
  // Bytes are counted twice: in the flow and in the output buffer of the sink's connection.
  static constexpr std::size_t kSides = 2;
  std::size_t bytes_;
  std::size_t open_ = 0;
};

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
  bool full() const { return bytes_.size() >= budget_->part(); }  // stop reading until room() is called
  void end();
  void cut();

  // For the sink. It may be replaced as long as nothing was taken.
  void set_sink(Sink sink) { sink_ = std::move(sink); }
  void clear_sink() { sink_ = Sink(); }
  bool has_sink() const { return static_cast<bool>(sink_.more); }
  std::string take();  // all buffered bytes; may call the source
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
  static void notify(const std::function<void()>& told);

  const std::shared_ptr<FlowBudget> budget_;
  const std::optional<std::uint64_t> length_;
  Source source_;
  Sink sink_;
  std::string bytes_;
  std::uint64_t passed_ = 0;
  bool source_paused_ = false;  // the buffer was full, and the source may wait for room()
  bool touched_ = false;
  bool ended_ = false;
  bool cut_ = false;
  bool abandoned_ = false;
  bool overdue_ = false;
};

}  // namespace shorelead::net
