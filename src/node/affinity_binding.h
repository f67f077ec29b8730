// Maps the affinity blocks of a checked .shore document to rules. A rule that cannot work is rejected.
#pragma once

#include <vector>

#include "affinity/rule_checks.h"
#include "language/check.h"
#include "node/config.h"

namespace shorelead::node {

// `fleet` has its plans already. Throws FieldError with every error of the rules, each with its place.
std::vector<affinity::Rule> affinity_of(const language::Document& document, const Config& config,
                                        const FleetConfig& fleet);

// Returns the longest time for which a request under a `must` rule can be in progress, also after the process
// that sent it has died: the longest deadline of the classes that such rules can match.
Millis longest_keyed_request(const std::vector<affinity::Rule>& rules, const Config& config,
                             const FleetConfig& fleet);
// Returns the classes, routes, tenants, plans and backends that the rules are checked against.
affinity::Universe universe_of(const Config& config, const FleetConfig& fleet);

}  // namespace shorelead::node
