// A host of the decision module in simulated time, for recording what the module does: boxes that answer,
// fail, hang, drain and come back, clients, fellow nodes and lists, all drawn from one seed. It owns the
// events; every event and action is written down. It judges nothing, and must draw nothing from a clock or a
// hash table, so that one seed gives one record.
#pragma once

#include <queue>
#include <string>
#include <vector>

#include "base/random.h"
#include "policy/policy.h"

namespace shorelead::stream {

// What a run looks like, beside the module's settings.
struct Shape {
  std::string name;
  Settings settings;
  int boxes = 12;
  double rate = 400;       // requests a second
  Millis service = 8;      // of a mean request at a box of size 1
  double trouble = 0.02;   // share of attempts that end badly at an ordinary box
  Millis churn = 900;      // mean time from one change of the list to the next
  bool odd_lists = false;  // names boxes that are not ready first, and leaves gaps
};

class Sink {
 public:
  virtual ~Sink() = default;
  virtual void take(const std::string& text) = 0;
};

class Host {
 public:
  Host(const Shape& shape, std::uint64_t seed, Sink& sink);
  // Feeds so many events; returns how many actions came of them.
  std::size_t play(std::size_t events);

 private:
  struct Box {
    BackendEntry entry;
    bool listed = false;
    double slowness = 1;
    double trouble = 0;
    int bad_class = -1;  // fails only this one
    bool hangs = false;
    double crowd = 0;  // of others' requests
  };
  struct Due {
    Millis at = 0;
    std::uint64_t order = 0;
    Event event;
    int again = -1;  // >= 0: not an event, but a client's or the world's next step of this kind
    bool operator<(const Due& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  enum Step { kArrive, kChurn, kWord, kSettings, kStray };

  void feed(const Event& event);
  void react(const Action& action);
  void send(const SendAttempt& send);
  void answer(const SendPeerMessage& told);
  void step(int kind);
  void arrive(RequestArrived request);
  void churn();
  void word();
  void stray();
  void turn_settings();
  void list(ListKind kind, std::vector<BackendEntry> entries);
  std::vector<BackendEntry> all_entries() const;
  LoadReport report(const Box& box);
  void later(Millis in, Event event) { due_.push({now_ + in, order_++, std::move(event), -1}); }
  void next(Millis in, int kind) { due_.push({now_ + in, order_++, Started{}, kind}); }
  bool chance(double share) { return random_.unit() < share; }
  Millis wait(Millis mean);  // drawn without the mathematics library, which differs between machines

  Shape shape_;
  Settings settings_;
  Sink& sink_;
  Random random_;
  Policy policy_;
  Millis now_ = 1000;
  std::uint64_t order_ = 0;
  std::uint64_t fed_ = 0;
  std::size_t actions_seen_ = 0;
  std::priority_queue<Due> due_;
  std::vector<Box> boxes_;
  std::vector<RequestArrived> requests_;  // by number
  std::vector<int> attempts_;             // of each
  std::vector<Action> actions_;
};

// The named shapes, then ones drawn from their number, as many as asked for.
std::vector<Shape> shapes(std::size_t count);

// One line each.
std::string write(const Event& event);
std::string write(const Action& action);

}  // namespace shorelead::stream
