#pragma once

#include "summary.hpp"

#include <string>
#include <vector>

namespace galenabay::stand_in
{

/// Checks the callers' records of holds against the upstreams' records of runs: each
/// nonce runs at most once, exactly once if the caller received a success, and not at
/// all if it was refused. Adds counts to `results` and prints violations; returns true if
/// there are none and at least one run was recorded.
bool check_records(const std::vector<std::string>& caller_files, const std::vector<std::string>& upstream_files,
                   summary& results);

} // namespace galenabay::stand_in
