// A request's rules by the settings in force: for the guard, which checks before each step, and for the
// checker, which checks what was done. Read once when the request arrives, so that a reload does not change
// them.
#pragma once

#include "guard/checker.h"
#include "guard/guard.h"
#include "policy/policy.h"

namespace shorelead::node {

// Whether a client may repeat the request after a refusal without harm, whatever ran before.
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

// `due`: when its client stops waiting; never, while the body is being received.
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
