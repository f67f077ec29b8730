// One stand-in box on sockets: its links, its connections and what it does with a request, by the box model.
// It owns the ledger's lines of its attempts; it must never answer a request that its model has not finished,
// nor let a fault of a link change what its ledger says ran.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/box_model.h"
#include "lab/key_memory.h"
#include "lab/stand_ins.h"

namespace shorelead::lab {

// What a link does to what passes it.
struct LinkState {
  bool hole = false;
  Millis latency = 0;
  Millis jitter = 0;
  std::string fault;  // of answers, as in Action::fault; empty = none
  double share = 1;
  int after_bytes = 0;
};

class Box : public std::enable_shared_from_this<Box> {
 public:
  // Throws where an address cannot be listened on.
  Box(World& world, int number, const BoxNote& note, const std::vector<std::string>& addresses,
      const std::vector<unsigned short>& ports, bool cold);
  ~Box();
  void start();

  int number() const { return number_; }
  const BoxNote& note() const { return note_; }
  std::vector<unsigned short> ports() const;
  bool up() const { return up_; }
  bool draining() const { return draining_since_ > 0; }

  void die();
  void drain();  // turns new requests away once the grace is over
  void stall(Millis until);
  void slow(double factor);
  LinkState& link(int node);
  void hole(int node, bool on);

 private:
  class Link;
  class Connection;
  friend class Connection;

  struct Job {
    std::weak_ptr<Connection> connection;
    std::size_t line = 0;  // of the ledger
  };

  void take(const std::shared_ptr<Connection>& connection, std::size_t line, Millis extra_work,
            const std::string& basket);
  void gone(std::size_t line);  // whoever sent it has ended the connection
  void cut(std::size_t line);   // the box ended it, by its death or a fault
  void step();
  void arm();
  void begun(std::size_t line, Millis at);
  BoxModel::Load reported();
  std::string load_field();
  void sweep();

  World& world_;
  const int number_;
  const BoxNote note_;
  BoxModel model_;
  KeyMemory met_;
  bool up_ = true;
  Millis draining_since_ = 0;
  Millis stalled_until_ = 0;
  std::vector<std::unique_ptr<Link>> links_;
  std::unordered_map<std::uint64_t, Job> jobs_;  // by serial
  Alarm alarm_;
  Alarm sweep_;
  BoxModel::Load snapshot_;
  Millis snapshot_at_ = 0;
};

}  // namespace shorelead::lab
