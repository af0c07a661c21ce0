#pragma once

#include <galenabay/membership/host.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace galenabay::membership
{

/// Returns at most `count` indexes into `hosts` in rendezvous
/// (highest-random-weight) order for a key: element 0 decides, element 1 takes
/// over when it fails.
std::vector<std::size_t> rank_hosts(std::span<const live_host> hosts, std::uint64_t key, std::size_t count);

/// Returns the index of the deciding host for a key; `hosts` must not be empty.
std::size_t deciding_host(std::span<const live_host> hosts, std::uint64_t key);

} // namespace galenabay::membership
