// The parts that read an experiment's file, one table each. Private to them.
#pragma once

#include "lab/experiment.h"
#include "lab/toml_reader.h"

namespace shorelead::lab {

void read_fleet(Reader& in, FleetSpec& fleet);
void read_pools(Reader& in, FleetSpec& fleet);
void read_nodes(Reader& in, NodesSpec& nodes, const FleetSpec& fleet, const StoreSpec& store);
void read_discovery(Reader& in, DiscoverySpec& discovery);
void read_store(Reader& in, StoreSpec& store);
ClassSpec read_class(Reader& in);
void read_load(Reader& in, LoadPlan& load, const std::string& file);
void read_clients(Reader& in, ClientsSpec& clients);
std::vector<TenantSpec> read_tenants(Reader& in);
void read_rules(Reader& in, Rules& rules);
// What all processes are to keep together; classes, tenants and pools are known by then.
FleetRules read_together(Reader& in, const Experiment& experiment);
Action read_action(Reader& in, const Experiment& experiment);

}  // namespace shorelead::lab
