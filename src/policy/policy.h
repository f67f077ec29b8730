// The interface of shorelead's decision module: settings and events in, actions out. Times are milliseconds
// on the host's clock. The module does no I/O, reads no clock, starts no threads and has no globals. A host
// (the node, or the bench adapter) feeds it events and carries out its actions in the order in which they are
// returned.
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
// Dense index that the host gives to each backend when a list first names it. It stays with that address.
using BackendId = std::uint32_t;

// How an attempt or a probe ended.
enum class Outcome {
  kServed,
  kError,           // any answer that does not prove that the request did not run
  kRejected,        // the backend says that it did not process the request
  kNoAnswer,        // none in time
  kNoConnection,    // failed before the request was written whole
  kConnectionLost,  // lost after the request was written
  kCancelled,       // by this node
  kNotSent          // for want of a local resource, such as a file descriptor
};

enum class BackendState { kReady, kDraining, kGone };

struct BackendEntry {
  BackendId backend = 0;
  BackendState state = BackendState::kReady;
  int zone = 0;
  int cell = 0;
  Millis started = 0;  // 0 = a long time ago
  double size = 1;
  std::uint32_t tag = 0;  // hash of its address, the same on every node
};

// kDelta: changed entries only. kFull: all entries. kStored: all entries, saved by an earlier process.
// kFailed: the call for the list failed.
enum class ListKind { kDelta, kFull, kStored, kFailed };

// What a request is bound to, as its host knows: one backend, or all backends of a cell or zone.
struct Unit {
  enum class Kind { kAny, kBackend, kCell, kZone };
  Kind kind = Kind::kAny;
  BackendId backend = 0;
  int zone = 0;
  int cell = 0;
  bool required = false;  // it may go nowhere else; otherwise it is preferred there

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
  // Nodes that use each of these backends, where a node uses a subset of them; 0 = all nodes.
  double sharing = 0;
};
struct RequestArrived {
  RequestId request = 0;
  int request_class = 0;
  int tenant = 0;
  Millis due = 0;             // deadline of this try of the client
  double expected_work = -1;  // hint: milliseconds on a standard core; negative = none
  bool client_retry = false;
  std::uint64_t key = 0;  // hash of what it concerns, the same on every node; 0 = none
  Unit home{};            // binding that holds for every attempt
  // Relative to the highest worth, where the fleet has a plan; negative = the worth of its class.
  double worth = -1;
};
// The answer of a streamed request has begun, so that it must not be cancelled any more.
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
  bool request_over = false;  // it has its final answer, or its client has gone
  bool has_report = false;
  LoadReport report;
  bool response_open = false;  // its response is still being received; ResponseEnded says how that ends
};
// How a response ended that was forwarded while it was received.
struct ResponseEnded {
  BackendId backend = 0;
  int request_class = 0;
  Outcome outcome = Outcome::kServed;
};
// The client has gone.
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
// New settings, in force from now on. Classes keep their numbers, new ones are appended. Open requests keep
// the settings of their class and the maximum of attempts that held when they arrived.
struct SettingsChanged {
  Settings settings;
};
// Number of retries that the budget of the whole fleet still allows, from now on. Without this event only the
// module's own retry budget applies.
struct RetriesAllowed {
  double left = 0;
};
struct TimerFired {
  std::uint64_t cookie = 0;
};
using Event =
    std::variant<Started, ListUpdate, RequestArrived, StreamStarted, AttemptEnded, ResponseEnded, RequestGone,
                 ProbeEnded, TimerFired, SettingsChanged, PeerMessageReceived, RetriesAllowed, ListValidity>;

struct SendAttempt {
  RequestId request = 0;
  BackendId backend = 0;
  Millis stop_at = 0;  // 0 = at the client's deadline
  // Its last byte may not be sent from then on: a backend that starts on it later has forgotten its key, and
  // would run it twice.
  Millis begin_by = std::numeric_limits<Millis>::infinity();
};
struct CancelAttempt {
  RequestId request = 0;
  int attempt = 0;
};
struct Refuse {
  RequestId request = 0;
  Millis wait = 0;  // after which the client may try again; 0 = no advice
};
struct Fail {
  RequestId request = 0;
};
struct SendProbe {
  BackendId backend = 0;
};
// Asks the host to close the node's idle connections to a backend.
struct CloseIdle {
  BackendId backend = 0;
};
struct SubscribeList {};
// Sends a message to another node. It may be lost.
struct SendPeerMessage {
  int peer = 0;
  PeerMessage message;
};
struct SetTimer {
  Millis at = 0;
  std::uint64_t cookie = 0;
};
// A line for the host's log.
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

  // Handles one event at time `now` and appends the resulting actions. The first event is `Started`.
  void handle(const Event& event, Millis now, std::vector<Action>& actions);

  // Number of ready backends that currently get no request of any class: dropped for the period, or ejected.
  // For metrics.
  std::size_t avoided(Millis now) const;
  // Whether the list still allows new requests to its backends.
  bool list_valid(Millis now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shorelead
