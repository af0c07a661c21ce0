#pragma once

#include "summary.hpp"

#include <string>
#include <vector>

namespace galenabay::stand_in
{

/// Joins the callers' records of holds with the upstreams' records of runs: each
/// nonce runs at most once; exactly once when the caller was told of success; not
/// at all when it was refused. Adds counts and prints violations; true when there
/// is none.
bool check_records(const std::vector<std::string>& caller_files, const std::vector<std::string>& upstream_files,
                   summary& results);

} // namespace galenabay::stand_in
