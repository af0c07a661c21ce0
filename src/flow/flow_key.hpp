#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/hash.hpp>

#include <cstdint>

namespace galenabay::flow
{

/// Number of low bits of a flow key that are always 0. Records between hosts
/// encode the idle time in them.
constexpr unsigned key_spare_bits = 3;
constexpr std::uint64_t key_mask = ~std::uint64_t{(1U << key_spare_bits) - 1};

/// Returns the key of a flow; never 0. The service is not part of the key,
/// because it follows from the flow's upstream.
inline std::uint64_t make_flow_key(const base::endpoint& caller, const base::endpoint& address) noexcept
{
    const auto key = base::mix(base::hash_endpoint(caller), base::hash_endpoint(address)) & key_mask;
    return key == 0 ? ~key_mask + 1 : key;
}

} // namespace galenabay::flow
