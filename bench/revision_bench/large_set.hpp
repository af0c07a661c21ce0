#pragma once

#include <galenabay/config/service_set.hpp>

#include <cstdint>

namespace galenabay::bench
{

/// Sizes that the fleet is meant to grow to.
inline constexpr std::uint32_t target_services = 4'100;
inline constexpr std::uint32_t target_upstreams = 21'000;

/// A service set of the target size with names and addresses of usual lengths.
config::service_set make_large_set();

/// Today's size: two services, 14 and 4 upstreams.
config::service_set make_small_set();

} // namespace galenabay::bench
