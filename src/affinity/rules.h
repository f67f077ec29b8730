// Rules of affinity: which requests keep to one backend, cell or zone, and by what key. Pure: a request's
// words in, the first rule that takes it and the hash of its key out. Owns the order of rules, the conditions
// and where a key is read from. It must never allocate while it looks, nor know which backend a key has
// (slots.h).
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

// A condition as a tree. All words are compared byte by byte; fields' names stand in small letters.
struct Condition {
  enum class Op { kAlways, kIs, kPresent, kAll, kAny, kNot };
  Op op = Op::kAlways;
  Subject subject = Subject::kRoute;  // kIs; kPresent is of fields only
  std::string name;                   // of the field
  std::string value;                  // kIs; not empty: a field that is empty counts as absent
  std::vector<Condition> parts;       // kAll and kAny: one or more; kNot: one

  bool operator==(const Condition&) const = default;
};
Condition is(Subject subject, std::string value);
Condition field_is(std::string name, std::string value);
Condition field_there(std::string name);
Condition all(std::vector<Condition> parts);
Condition any(std::vector<Condition> parts);
Condition negated(Condition part);

// Where a key stands. One that is empty or not there is none: the rule counts, but binds nothing.
struct KeySource {
  enum class From { kField, kCookie, kPart, kParameter, kTenant };
  From from = From::kTenant;
  std::string name;  // of the field (small letters), the cookie, or the parameter of the route's path
  int part = 0;      // kPart: which segment of the path, from 1

  bool operator==(const KeySource&) const = default;
};

enum class To { kBackend, kCell, kZone };
enum class OnDrain { kFinish, kMove };
enum class OnLoss { kMove, kRefuse };

struct Rule {
  std::string name;
  std::string place;  // file:line
  Condition when;
  KeySource key;
  To to = To::kBackend;
  bool must = false;  // else `prefer`
  // An assignment that cannot be used holds this long: keys of a backend that is lost (OnLoss::kRefuse) wait
  // for it so long, then they move.
  Millis hold = 0;
  OnDrain on_drain = OnDrain::kFinish;
  Millis finish =
      30000;  // kFinish: what is under way at the old backend may take so long, then it is called off
  OnLoss on_loss = OnLoss::kMove;
  double bound = 1.25;       // most slots of one over its part, at least 1
  std::size_t slots = 1024;  // a power of two
  Millis wait = 1000;        // `must`: a request waits at most so long for its slot to open
  // Set at load: the one pool whose backends its requests can go to; empty: all that there are.
  std::string pool{};
  // Set at load: the longest window for repeats among the classes that the rule takes and whose repeats are
  // dropped only within a cell or zone. A slot that moves stays closed so long, and moves only where it has
  // to.
  Millis still = 0;

  bool operator==(const Rule&) const = default;
};

// A request's words; empty = none. `pattern` is the path of the route that it takes ("/baskets/{id}").
struct Request {
  std::string_view route, request_class, tenant, plan, method, path, pattern;
  // The value of a header field by its name in small letters; empty where there is none.
  const std::function<std::string_view(std::string_view)>* field = nullptr;
};

bool holds(const Condition& condition, const Request& request);

// The bytes of the key; empty = none. For people (`config explain`) and tests as well.
std::string_view key_of(const KeySource& source, const Request& request);

struct Found {
  std::size_t rule = 0;
  bool keyed = false;     // else the request has no key, and goes where it would without the rule
  std::uint64_t key = 0;  // xxhash (XXH3) of the key's bytes
};

// The first rule whose condition holds. O(size of the conditions), no allocation.
std::optional<Found> find(const std::vector<Rule>& rules, const Request& request);

std::uint64_t hash_of(std::string_view text);
// The slot of a key among so many, a power of two: the upper bits, so that doubling splits each slot in two.
std::size_t slot_of(std::uint64_t key, std::size_t slots);

// The name of a rule's map in the plan. It changes with whatever makes other keys of the same requests, or
// other units: two versions of a file side by side never read each other's map.
std::string map_name(const Rule& rule);

}  // namespace shorelead::affinity
