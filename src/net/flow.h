// A body on its way from one connection to another: a bounded buffer between the two. It owns the bytes that
// came and did not yet go, and tells each side of the other. It must never grow beyond its part by more than
// one read, never parse, and never outlive its budget's count of it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace shorelead::net {

// The memory that all flows of a node share.
class FlowBudget {
 public:
  static constexpr std::size_t kMaxPart = 65536;
  static constexpr std::size_t kMinPart = 8192;

  explicit FlowBudget(std::size_t bytes) : bytes_(bytes) {}
  void state(std::size_t bytes) { bytes_ = bytes; }
  // Whether one more may begin.
  bool room() const { return bytes_ / (open_ + 1) / kSides >= kMinPart; }
  std::size_t part() const;  // bytes that one flow may hold now
  std::size_t open() const { return open_; }

 private:
  friend class Flow;
  // What a flow holds stands there once, and once more on its way into the socket.
  static constexpr std::size_t kSides = 2;
  std::size_t bytes_;
  std::size_t open_ = 0;
};

class Flow {
 public:
  struct Source {
    std::function<void()> room;  // goes on reading
    std::function<void()> left;  // nobody wants the rest
  };
  struct Sink {
    std::function<void()> more;  // bytes, or the end, have come
    std::function<void()> cut;   // the rest will not come
  };

  // `length` of the whole body, where it is known.
  Flow(std::shared_ptr<FlowBudget> budget, std::optional<std::uint64_t> length);
  ~Flow();
  Flow(const Flow&) = delete;
  Flow& operator=(const Flow&) = delete;

  // The source's side. Each may call the sink.
  void set_source(Source source) { source_ = std::move(source); }
  void put(std::string bytes);
  bool full() const { return bytes_.size() >= budget_->part(); }  // hold back, until room() is called
  void end();
  void cut();

  // The sink's side. There may be another one later, as long as nothing was taken.
  void set_sink(Sink sink) { sink_ = std::move(sink); }
  void clear_sink() { sink_ = Sink(); }
  bool has_sink() const { return static_cast<bool>(sink_.more); }
  std::string take();  // all there is; may call the source
  bool empty() const { return bytes_.empty(); }
  void leave();

  bool touched() const {
    return touched_;
  }                                      // something was taken: it cannot be sent from its beginning again
  bool ended() const { return ended_; }  // no more will come; what is there may be taken
  bool was_cut() const { return cut_; }
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
  bool source_paused_ = false;  // the source may have been told to wait
  bool touched_ = false;
  bool ended_ = false;
  bool cut_ = false;
  bool abandoned_ = false;
};

}  // namespace shorelead::net
