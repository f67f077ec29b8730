// One node: the parts wired together, its counters, its start and its end. It owns the parts and the order in
// which they are told of each other. It must never parse, never decide, and never leave without having
// answered what it had taken.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "limits/descriptors.h"
#include "node/config.h"
#include "node/discovery.h"
#include "node/facade.h"
#include "node/front.h"
#include "node/net.h"
#include "node/upstream.h"

namespace shorelead::node {

class Server {
 public:
  struct Waits {
    Millis accept_on = 600;  // after SIGTERM: clients go on coming for up to 0.4 s
  };

  Server(Loop& loop, const Config& config) : Server(loop, config, Waits()) {}
  Server(Loop& loop, const Config& config, const Waits& waits);
  ~Server();

  void shut_down();  // as on SIGTERM
  // As on SIGHUP: what `read` brings counts from now on, where it can without a new start (discovery and the
  // number of descriptors). Where it throws, all stays as it was.
  void reload(const std::function<Config()>& read);
  void log_counters() const;
  unsigned short port() const { return front_->port(); }
  const FrontCounters& counters() const { return front_->counters(); }

 private:
  struct Open {
    std::shared_ptr<const Message> message;
    Ending last = Ending::kNotSent;  // of its attempts
  };

  void carry_out(const Choice& choice);
  void close(RequestId request);
  void settle();
  void attempt_done(RequestId request, int attempt, const Result& result);
  void list_changed(const List& list);
  void watch_ended(Ending ending);
  limits::Descriptors descriptors() const;
  int most_streams() const;
  // Frees a descriptor where that is to be; whether there is one.
  bool make_room(limits::Purpose purpose);
  limits::DescriptorCounts descriptors_now() const;
  void leave_when_empty(Millis until);

  Loop& loop_;
  const Config& config_;  // as at the start
  Limits limits_;
  const Waits waits_;
  Facade facade_;
  std::unique_ptr<Upstream> upstream_;
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<Front> front_;
  std::unordered_map<RequestId, Open> open_;
  bool settling_ = false;
  Loop::TimerId wake_ = 0;
  Millis wake_at_ = 0;
  Loop::TimerId rewatch_ = 0;
  Millis watch_wait_ = 0;
  std::mt19937_64 jitter_;
  bool leaving_ = false;
  Millis started_ = 0;
  // counters
  std::uint64_t sent_ = 0;
  std::uint64_t probes_ = 0;
  std::map<Ending, std::uint64_t> attempt_endings_;
  std::map<Ending, std::uint64_t> probe_endings_;
  std::map<Ending, std::uint64_t> watch_endings_;
  std::uint64_t reloads_ = 0;
  std::uint64_t bad_reloads_ = 0;
  int most_sockets_ = 0;
};

}  // namespace shorelead::node
