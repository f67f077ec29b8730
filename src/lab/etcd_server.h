// The stand-in registry's server: a key store behind etcd v3's JSON gateway (range, put, deleterange, txn,
// watch, leases), on several members, with the troubles that are asked for. Owns the store, the members'
// doors and what goes wrong; it must never tell what the store has not, but for the lies that it is asked
// for.
//
// Writes, and reads that ask for the latest, go to the whole; a member that lags tells older news on watches
// and to those who take them (serializable). Reads of keys that the owner calls loose may lag and lie as
// well: clients of lists have to stand that, though no registry as published does it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/clock.h"
#include "lab/draw.h"
#include "lab/etcd_text.h"
#include "lab/key_store.h"

namespace shorelead::lab {

class EtcdSession;

struct EtcdTroubles {
  int members = 1;
  double cuts = 0;           // share of answers cut after some byte; what they answer was done
  double lost = 0;           // share of calls whose connection ends before they are carried out
  Millis compact_every = 0;  // 0 = never
  int lag = 0;               // changes that a member may be behind
  double deaf = 0;           // watches that go deaf, a second each
};

class EtcdServer {
 public:
  struct Owner {
    std::function<bool(const std::string& key)> loose;
    std::function<void(const std::vector<KeyChange>& told)> told;  // went out whole
  };

  EtcdServer(boost::asio::io_context& context, std::string address, const EtcdTroubles& troubles,
             std::uint64_t seed, Owner owner = {});
  ~EtcdServer();
  EtcdServer(const EtcdServer&) = delete;
  EtcdServer& operator=(const EtcdServer&) = delete;

  KeyStore& store() { return store_; }
  std::string dial() const;  // all members, with blanks between
  void poke();               // the store has changed: watches are told

  void down(bool on);                   // connections are refused
  void full(bool on) { full_ = on; }    // nothing is put and no lease granted
  void slow(Millis by) { slow_ = by; }  // each answer comes so much later
  void deafen();                        // all watches that stand now
  void empty(bool on);                  // lies: loose keys are not there
  void cut(double share) { spec_.cuts = share; }
  // Comes back without the last `lost` changes, as from a copy; `same`: its tail is gone, and its cluster's
  // number the same.
  void restart(std::uint64_t lost, bool same = false);

 private:
  friend class EtcdSession;
  struct Answer {
    std::string status;
    std::string body;
    std::vector<KeyChange> told;
  };
  Answer carry_out(std::size_t member, const etcd::Call& call);
  Answer keys(std::size_t member, const etcd::KeyCall& call);
  Answer grant(std::size_t member, const etcd::GrantCall& call);
  bool loose(const std::string& key) const { return owner_.loose && owner_.loose(key); }
  void listen(std::size_t member);
  void accept(std::size_t member);
  void trouble();
  void close_all();
  std::uint64_t seen_by(std::size_t member) const;
  std::string head(std::size_t member, std::uint64_t revision) const;

  boost::asio::io_context& context_;
  const std::string address_;
  EtcdTroubles spec_;
  const Owner owner_;
  std::vector<unsigned short> ports_;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> acceptors_;
  std::vector<std::uint64_t> lag_;
  KeyStore store_;
  bool down_ = false;
  bool full_ = false;
  bool empty_ = false;
  Millis slow_ = 0;
  std::set<std::shared_ptr<EtcdSession>> sessions_;
  Draw faults_;
  Alarm alarm_;
  Millis compact_at_ = 0;
};

}  // namespace shorelead::lab
