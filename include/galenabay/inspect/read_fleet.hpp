#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>
#include <galenabay/inspect/configuration_check.hpp>
#include <galenabay/inspect/fleet_report.hpp>

#include <map>
#include <string>
#include <vector>

namespace galenabay::inspect
{

/// Reads the users' platform's store and the hosts that it lists, and `hosts` in addition; writes
/// nothing. A host that does not answer is in the report with its failure. Blocks. Errors: those
/// of reading the store.
base::result<fleet_report> read_fleet(const base::endpoint& store, const std::vector<base::endpoint>& hosts);

/// Reads the upstreams in the store that take new flows, by service. Blocks. Errors: those of reading the store.
base::result<std::map<std::string, service_capacity>> read_capacities(const base::endpoint& store);

} // namespace galenabay::inspect
