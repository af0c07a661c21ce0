#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/steer/upstream_registry.hpp>

#include <vector>

namespace galenabay::steer
{

/// Returns the upstream for a new flow: the less loaded of two random ones of the best
/// available class, in `data_centre` unless its load is much higher than elsewhere. Ready
/// upstreams come first, then silent ones, then those with a missing registration;
/// draining and ended ones are never selected. `tried` is selected only when there is no
/// other. Returns null when there is none.
upstream_incarnation* select_upstream(const upstream_registry& registry, const std::string& service,
                                      const std::string& data_centre, const upstream_incarnation* tried,
                                      base::random_source& random, base::time_point now);

} // namespace galenabay::steer
