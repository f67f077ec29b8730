// The affinity blocks of a checked .shore document as rules. It must never let a rule pass that cannot work.
#pragma once

#include <vector>

#include "affinity/rule_checks.h"
#include "language/check.h"
#include "node/config.h"

namespace shorelead::node {

// `fleet` has the plans so far. Throws FieldError with all that is wrong with the rules, each with its place.
std::vector<affinity::Rule> affinity_of(const language::Document& document, const Config& config,
                                        const FleetConfig& fleet);

// How long what `must` rules bind can be under way, whatever becomes of who sent it.
Millis longest_bound(const std::vector<affinity::Rule>& rules, const Config& config,
                     const FleetConfig& fleet);
// What the rules are held against.
affinity::Universe universe_of(const Config& config, const FleetConfig& fleet);

}  // namespace shorelead::node
