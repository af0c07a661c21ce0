#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/steer/packet_header.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace galenabay::steer
{

/// What an upstream says of itself in its registration. Plain value.
struct upstream_entry
{
    /// Stays the same when the upstream restarts under it; see `started_ms`.
    std::string id;
    /// Number that a datagram carries so that only this upstream takes it.
    std::uint64_t number = 0;
    /// Unix time of the start in milliseconds; tells incarnations of one id apart.
    std::uint64_t started_ms = 0;
    std::string service;
    base::endpoint address;
    std::string data_centre;
    /// Requests that the upstream works on at once.
    std::uint32_t slots = 1;
    bool draining = false;
    /// How much longer the upstream is slow after its start.
    base::duration warm_up_left{0};
    /// Revision of the store at which the registration last changed.
    std::uint64_t revision = 0;

    friend auto operator<=>(const upstream_entry&, const upstream_entry&) = default;
};

/// Token of an incarnation: the same on every host, never 0.
upstream_token token_of(const upstream_entry& entry) noexcept;

} // namespace galenabay::steer
