// What the settings say of a request that comes now, for the guard, which is asked before anything is done,
// and for the checker, which counts what was done. Pure: read once when a request comes, so that a reload
// changes neither.
#pragma once

#include "guard/checker.h"
#include "guard/guard.h"
#include "policy/policy.h"

namespace shorelead::node {

// Whether a client that repeats it after a refusal does no harm, whatever ran before.
inline bool refusal_repeats(const RequestClass& of) {
  return of.effect == Effect::kSafe || (of.effect == Effect::kKeyed && of.group == DedupGroup::kAll);
}

inline guard::RequestState guarded_rules(const Settings& settings, int request_class) {
  const RequestClass& of = settings.classes.at(static_cast<std::size_t>(request_class));
  guard::RequestState rules;
  rules.run_once = of.effect == Effect::kUnsafe;
  rules.parallel = settings.parallel_attempts;
  rules.max_attempts = settings.max_attempts;
  rules.refusal_is_safe = refusal_repeats(of);
  return rules;
}

// `due`: when its client stops waiting; unknown (never) while its body comes.
inline guard::RequestRules checked_rules(const Settings& settings, int request_class, Millis due) {
  const RequestClass& of = settings.classes.at(static_cast<std::size_t>(request_class));
  guard::RequestRules rules;
  rules.run_once = of.effect == Effect::kUnsafe;
  rules.parallel = settings.parallel_attempts;
  rules.max_attempts = settings.max_attempts;
  rules.refusal_is_safe = refusal_repeats(of);
  rules.window = of.effect == Effect::kKeyed ? of.dedup_window : 0;
  rules.due = due;
  return rules;
}

}  // namespace shorelead::node
