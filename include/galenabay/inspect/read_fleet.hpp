#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>
#include <galenabay/inspect/fleet_report.hpp>

#include <vector>

namespace galenabay::inspect
{

/// Reads the users' platform's store and the hosts that it lists, and `hosts` in addition; writes
/// nothing. A host that does not answer is in the report with its failure. Blocks. Errors: those
/// of reading the store.
base::result<fleet_report> read_fleet(const base::endpoint& store, const std::vector<base::endpoint>& hosts);

} // namespace galenabay::inspect
