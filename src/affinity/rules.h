// Affinity rules: which requests are bound to one backend, cell or zone, and by which key. Pure: takes the
// attributes of a request and returns the first rule that matches, with the hash of its key. Owns the order
// of the rules, the conditions and where a key is read from. A look-up does not allocate, and it does not
// know which backend owns a key (slots.h).
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/millis.h"

namespace shorelead::affinity {

enum class Subject { kRoute, kClass, kTenant, kPlan, kMethod, kField };

// A condition as a tree. All values are compared byte by byte; names of header fields are in lower case.
struct Condition {
  enum class Op { kAlways, kIs, kPresent, kAll, kAny, kNot };
  Op op = Op::kAlways;
  Subject subject = Subject::kRoute;  // kIs; kPresent is of fields only
  std::string name;                   // of the header field
  std::string value;                  // kIs; never empty: an empty field counts as absent
  std::vector<Condition> parts;       // kAll and kAny: one or more; kNot: one

  bool operator==(const Condition&) const = default;
};
Condition is(Subject subject, std::string value);
Condition field_is(std::string name, std::string value);
Condition field_present(std::string name);
Condition all(std::vector<Condition> parts);
Condition any(std::vector<Condition> parts);
Condition negated(Condition part);

// Where a key is read from. An empty or absent key is no key: the rule matches, but does not bind the
// request.
struct KeySource {
  enum class From { kField, kCookie, kPart, kParameter, kTenant };
  From from = From::kTenant;
  std::string name;  // of the header field (lower case), the cookie, or the parameter of the route's path
  int part = 0;      // kPart: index of the path segment, from 1

  bool operator==(const KeySource&) const = default;
};

enum class Scope { kBackend, kCell, kZone };
enum class OnDrain { kFinish, kMove };
enum class OnLoss { kMove, kRefuse };

struct Rule {
  std::string name;
  std::string place;  // file:line
  Condition when;
  KeySource key;
  Scope to = Scope::kBackend;
  bool must = false;  // else `prefer`
  // How long an assignment to a lost backend is kept (OnLoss::kRefuse) before its keys move to another one.
  Millis hold = 0;
  OnDrain on_drain = OnDrain::kFinish;
  Millis finish =
      30000;  // kFinish: time that requests in flight at the old backend have before they are cancelled
  OnLoss on_loss = OnLoss::kMove;
  double bound = 1.25;       // most slots of one unit, as a multiple of its fair share; at least 1
  std::size_t slots = 1024;  // a power of two
  Millis wait = 1000;        // `must`: how long a request waits at most for its slot to open
  // Set at load: the only pool that its requests can be sent to; empty: any pool.
  std::string pool{};
  // Set at load: the longest deduplication window among the classes that the rule matches and whose repeats
  // are dropped only within a cell or zone. A slot that moves stays closed for this long, and is never moved
  // for balance.
  Millis dedup_window = 0;

  bool operator==(const Rule&) const = default;
};

// The attributes of a request; empty = none. `pattern` is the path pattern of its route ("/baskets/{id}").
struct Request {
  std::string_view route, request_class, tenant, plan, method, path, pattern;
  // Returns the value of a header field by its lower-case name; empty if it is absent.
  const std::function<std::string_view(std::string_view)>* field = nullptr;
};

bool holds(const Condition& condition, const Request& request);

// Returns the bytes of the key; empty = none. Also used by `config explain` and by tests.
std::string_view key_of(const KeySource& source, const Request& request);

struct RuleMatch {
  std::size_t rule = 0;
  bool keyed = false;     // false: the request has no key and is routed as if there were no rule
  std::uint64_t key = 0;  // xxhash (XXH3) of the key's bytes
};

// Returns the first rule whose condition holds. O(size of the conditions), no allocation.
std::optional<RuleMatch> find(const std::vector<Rule>& rules, const Request& request);

std::uint64_t hash_of(std::string_view text);
// Returns the slot of a key; `slots` is a power of two. Uses the upper bits, so that doubling the number of
// slots splits each slot in two.
std::size_t slot_of(std::uint64_t key, std::size_t slots);

// Returns the name of a rule's slot map in the plan. It changes with everything that changes the keys or the
// kind of unit, so that two versions of a file side by side never read each other's map.
std::string map_name(const Rule& rule);

}  // namespace shorelead::affinity
