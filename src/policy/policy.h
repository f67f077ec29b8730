// The interface of shorelead's decision module: what a node is told (settings, events) and what it may
// do (actions). Times are milliseconds on the host's clock. The module does no I/O, keeps no clock, starts
// no threads and has no globals; a host (the node, or the drill on the bench) feeds it events and carries out
// its actions in the order written.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/list_validity.h"
#include "base/millis.h"
#include "estimate/load.h"
#include "peers/message.h"
#include "policy/settings.h"

namespace shorelead {

using RequestId = std::uint32_t;
// Dense index that the host gives each backend when a list first names it; it stays with that address.
using BackendId = std::uint32_t;

enum class Outcome {
  kServed,
  kError,
  kRejected,
  kNoAnswer,
  kNoConnection,
  kConnectionLost,
  kCancelled,
  kNotSent
};

enum class BackendState { kReady, kDraining, kGone };

struct BackendEntry {
  BackendId backend = 0;
  BackendState state = BackendState::kReady;
  int zone = 0;
  int cell = 0;
  Millis started = 0;  // 0 = long past
  double size = 1;
  std::uint32_t tag = 0;  // of its address, the same on every node
};

enum class ListKind { kDelta, kFull, kStored, kFailed };

// What a request belongs to, as its host knows: one backend, or all of a cell or zone.
struct Unit {
  enum class Kind { kAny, kBackend, kCell, kZone };
  Kind kind = Kind::kAny;
  BackendId backend = 0;
  int zone = 0;
  int cell = 0;
  bool required = false;  // it may go nowhere else; without it, rather there

  bool is_set() const { return kind != Kind::kAny; }
  bool contains(const BackendEntry& entry) const {
    if (kind == Kind::kBackend) return entry.backend == backend;
    return kind != Kind::kAny && entry.zone == zone && (kind == Kind::kZone || entry.cell == cell);
  }
};

struct Started {};
struct ListUpdate {
  ListKind kind = ListKind::kFull;
  std::vector<BackendEntry> entries;
  double sharing = 0;  // nodes that work with each of these backends, where a node sees a part; 0 = all
};
struct RequestArrived {
  RequestId request = 0;
  int request_class = 0;
  int tenant = 0;
  Millis due = 0;             // the client gives this try up then
  double expected_work = -1;  // on a standard core; negative = unknown
  bool client_retry = false;
  std::uint64_t key = 0;  // of what it concerns, the same on every node; 0 = none
  Unit home{};            // for every attempt
  double worth = -1;      // beside the dearest, where a fleet has an order; negative = its class's
};
struct StreamStarted {
  RequestId request = 0;
  int attempt = 0;
};
struct AttemptEnded {
  RequestId request = 0;
  BackendId backend = 0;
  int attempt = 0;
  Outcome outcome = Outcome::kServed;
  Millis elapsed = 0;
  bool request_over = false;
  bool has_report = false;
  LoadReport report;
};
struct RequestGone {
  RequestId request = 0;
};
struct ProbeEnded {
  BackendId backend = 0;
  Outcome outcome = Outcome::kServed;
  Millis elapsed = 0;
  bool has_report = false;
  LoadReport report;
};
struct PeerMessageReceived {
  int peer = 0;
  PeerMessage message;
};
// New settings from now on. Classes keep their numbers; new ones stand behind them. Requests that are open
// keep theirs, and the number of attempts under which they came.
struct SettingsChanged {
  Settings settings;
};
// So many further attempts are left of what a fleet allows together, from now on; without it only the
// module's own bound counts.
struct RetriesAllowed {
  double left = 0;
};
struct TimerFired {
  std::uint64_t cookie = 0;
};
using Event =
    std::variant<Started, ListUpdate, RequestArrived, StreamStarted, AttemptEnded, RequestGone, ProbeEnded,
                 TimerFired, SettingsChanged, PeerMessageReceived, RetriesAllowed, ListValidity>;

struct SendAttempt {
  RequestId request = 0;
  BackendId backend = 0;
  Millis stop_at = 0;  // 0 = when the client gives up
  // Its last byte may not go out from then on: a backend that begins it so late would run it again.
  Millis begin_by = std::numeric_limits<Millis>::infinity();
};
struct CancelAttempt {
  RequestId request = 0;
  int attempt = 0;
};
struct Refuse {
  RequestId request = 0;
  Millis wait = 0;  // 0 = no advice
};
struct Fail {
  RequestId request = 0;
};
struct SendProbe {
  BackendId backend = 0;
};
// The node's idle connections to a backend are to be closed.
struct CloseIdle {
  BackendId backend = 0;
};
struct SubscribeList {};
// To another node; it may be lost.
struct SendPeerMessage {
  int peer = 0;
  PeerMessage message;
};
struct SetTimer {
  Millis at = 0;
  std::uint64_t cookie = 0;
};
struct Note {
  std::string text;
};
using Action = std::variant<SendAttempt, CancelAttempt, Refuse, Fail, SendProbe, SubscribeList, SetTimer,
                            Note, SendPeerMessage, CloseIdle>;

class Policy {
 public:
  Policy(const Settings& settings, std::uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  // Takes one event at time `now` and appends what is to be done about it. The first event is `Started`.
  void handle(const Event& event, Millis now, std::vector<Action>& actions);

  // How many ready backends it passes over now whatever is asked: dropped for the period, or resting. For
  // figures.
  std::size_t avoided(Millis now) const;
  // Whether the list, or a health check since, still says that it may get something new.
  bool confirmed(BackendId backend, Millis now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shorelead
