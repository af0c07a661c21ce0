#pragma once

#include <galenabay/config/service_set.hpp>

#include <cstdint>

namespace galenabay::bench
{

/// Target size of the fleet.
inline constexpr std::uint32_t target_services = 4'100;
inline constexpr std::uint32_t target_upstreams = 21'000;

/// Returns a service set of the target size, with names and addresses of typical
/// lengths.
config::service_set make_large_set();

/// Returns a service set of two services and 18 upstreams, as many as the two
/// services of the present fleet have (14 and 4).
config::service_set make_small_set();

} // namespace galenabay::bench
