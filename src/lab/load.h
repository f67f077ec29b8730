// The load: clients over real connections, sending by an open-loop schedule and writing down what each of
// them saw. Runs on an io_context and a thread of its own. It owns the clients' connections and records; it
// must never send a request later because an earlier one has no answer yet: latency counts from the intended
// time.
//
// A client that finds its kept connection closed with no byte of an answer sends once more on a new one, as
// the platform's clients do: the close may have crossed the request.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/clock.h"
#include "lab/experiment.h"
#include "lab/nodes.h"
#include "lab/records.h"

namespace shorelead::lab {

class Load {
 public:
  Load(boost::asio::io_context& context, const Experiment& experiment, Front& front);
  ~Load();

  // Begins the schedule at that moment; calls back when the last request has ended and clients have settled.
  void run(Millis begin, std::function<void()> done);
  // Moves what was written down into the run's record.
  void collect(Run& run);

  // For progress, read from other threads.
  struct Progress {
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> served{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> failed{0};
  };
  const Progress& progress() const { return progress_; }

 private:
  class Client;
  struct Wish;
  friend class Client;

  void send_due();
  void begin(const std::shared_ptr<Wish>& wish);
  void ended(const std::shared_ptr<Wish>& wish, std::size_t record, double retry_after);
  int next_node();
  int starting_node();                       // -1 = none, or the next is not for one
  int ending_node();                         // the same
  int next_in(int from, int to, int& turn);  // in turns among those taken in; -1 = none is
  void choose_owner(Wish& wish);             // tenant and basket
  void finish_when_quiet();

  boost::asio::io_context& context_;
  const Experiment& experiment_;
  Front& front_;
  std::vector<Planned> plan_;
  std::size_t next_ = 0;
  Millis begin_ = 0;
  std::function<void()> done_;
  Alarm alarm_;
  Lateness lateness_;
  Draw habits_;
  Draw ids_;
  Draw whose_;
  const Zipf baskets_;
  Draw where_;
  std::vector<Asked> records_;
  std::vector<std::vector<std::shared_ptr<Client>>> unused_;  // by node, the one used last at the back
  std::size_t open_ = 0;                                      // wishes under way
  std::uint32_t chains_ = 0;
  int turn_ = 0;
  int hot_turn_ = 0;
  bool settling_ = false;
  Progress progress_;
};

}  // namespace shorelead::lab
