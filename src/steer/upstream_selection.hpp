#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/steer/upstream_registry.hpp>

#include <vector>

namespace galenabay::steer
{

/// The upstream for a new flow: the less loaded of two drawn from the best
/// candidates there are, in `data_centre` unless they are much more loaded. Ready ones come first, then ready ones that
/// are silent, then ones whose registration is missing; draining and ended ones never. `tried` is left out while there
/// is another. Null when there is none.
upstream_incarnation* select_upstream(const upstream_registry& registry, const std::string& service,
                                      const std::string& data_centre, const upstream_incarnation* tried,
                                      base::random_source& random, base::time_point now);

} // namespace galenabay::steer
