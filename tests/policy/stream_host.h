// A host of the decision module in simulated time, to record what the module does: backends that answer,
// fail, hang, drain and return, clients, peers and lists, all drawn from one seed. Owns the events; every
// event and action is written down. Judges nothing. It uses neither the clock nor the order of a hash table,
// so that one seed always gives the same record.
#pragma once

#include <queue>
#include <string>
#include <vector>

#include "base/random.h"
#include "policy/policy.h"

namespace shorelead::stream {

// The parameters of a run, beside the module's settings.
struct Shape {
  std::string name;
  Settings settings;
  int backends = 12;
  double rate = 400;             // requests a second
  Millis service = 8;            // of a mean request at a backend of size 1
  double failure_share = 0.02;   // share of attempts that fail at an ordinary backend
  Millis churn = 900;            // mean time between two changes of the list
  bool irregular_lists = false;  // lists also name backends that are not ready, and indexes have gaps
};

class Sink {
 public:
  virtual ~Sink() = default;
  virtual void take(const std::string& text) = 0;
};

class Host {
 public:
  Host(const Shape& shape, std::uint64_t seed, Sink& sink);
  // Feeds this many events. Returns the number of resulting actions.
  std::size_t play(std::size_t events);

 private:
  struct Backend {
    BackendEntry entry;
    bool listed = false;
    double slowness = 1;
    double failure_share = 0;
    int bad_class = -1;  // fails only this class
    bool hangs = false;
    double other_load = 0;  // requests of other nodes
  };
  struct Due {
    Millis at = 0;
    std::uint64_t order = 0;
    Event event;
    int again = -1;  // >= 0: not an event, but the next step of this kind
    bool operator<(const Due& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  enum Step { kArrive, kChurn, kPeerMessage, kSettings, kStray };

  void feed(const Event& event);
  void react(const Action& action);
  void send(const SendAttempt& send);
  void answer(const SendPeerMessage& sent);
  void step(int kind);
  void arrive(RequestArrived request);
  void churn();
  void peer_message();
  void feed_stray_event();
  void change_settings();
  void list(ListKind kind, std::vector<BackendEntry> entries);
  std::vector<BackendEntry> all_entries() const;
  LoadReport report(const Backend& backend);
  void later(Millis in, Event event) { due_.push({now_ + in, order_++, std::move(event), -1}); }
  void next(Millis in, int kind) { due_.push({now_ + in, order_++, Started{}, kind}); }
  bool chance(double share) { return random_.unit() < share; }
  Millis wait(Millis mean);  // drawn without the maths library, which differs between machines

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
  std::vector<Backend> backends_;
  std::vector<RequestArrived> requests_;  // by request number
  std::vector<int> attempts_;             // of each request
  std::vector<Action> actions_;
};

// The named shapes, followed by shapes drawn from their number, `count` in all.
std::vector<Shape> shapes(std::size_t count);

// One line each.
std::string write(const Event& event);
std::string write(const Action& action);

}  // namespace shorelead::stream
