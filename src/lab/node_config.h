// What a node under test is told, as text: the platform's JSON, or the experiment's own .shore. Pure; it must
// never be read by the lab itself.
#pragma once

#include <functional>
#include <string>

#include "lab/experiment.h"

namespace shorelead::lab {

// The node's configuration, in the platform's form.
std::string node_configuration(const Experiment& experiment, int node, const std::string& listen,
                               const std::string& discovery, const std::string& known);

// The same as the n-th of the experiment's .shore texts; `discovery` says where a pool's list is, `store` how
// this node reaches the store.
std::string node_shore(const Experiment& experiment, int node, const std::string& listen,
                       const std::function<std::string(int)>& discovery, const std::string& store,
                       std::size_t n);

}  // namespace shorelead::lab
