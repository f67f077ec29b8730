// What several forwarders share, told by the machine's clock alone: whose turn it is to spend, what is shed,
// which box has a key. Each phase is followed by a pause in which nobody has what passes on, longer than what
// may still be under way, so that without a flaw the three rules of many processes hold whatever stands
// still, dies or comes late. Looked at when spending. Pure but for the clock; it must never talk to another
// process.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace forwarder {

double machine_ms();  // goes on while the process stands still

// Processes take turns with the whole of a rate: each has it for a turn less the pause, and begins it empty.
class Turns {
 public:
  Turns(int me, int count, std::string_view flaw);
  bool spend();

 private:
  bool mine(double now);

  const int me_;
  const int count_;
  const std::string flaw_;
  std::mutex mutex_;
  std::int64_t turn_ = -1;  // the last that was mine
  double until_ = 0;        // when it ends
  double left_ = 0;         // of it, as counted by own steps (a flaw)
  double tokens_ = 0;
  double at_ = 0;
};

// Tenants gold, silver and bronze. In a cycle of 10 s bronze is shed by half, then whole; only when that has
// lasted for more than 2 s silver as well; and back.
bool shed(std::string_view tenant, std::string_view id, std::string_view flaw);

// Which of `boxes` has a key at that time; nothing while it moves.
std::optional<std::size_t> box_of(std::string_view key, std::size_t boxes, double now, int me,
                                  std::string_view flaw);

// Since when this process surely had nothing unread: a request read now may have come at any time after that.
class Heart {
 public:
  void beat();  // for good
  double unread_since() const;
  double steps_ms() const;  // as counted by its own steps: what it stood still is left out

 private:
  mutable std::mutex mutex_;
  double last_ = machine_ms();
  double stood_ = 0;
  double stood_from_ = 0;
  double stood_to_ = 0;
};

}  // namespace forwarder
