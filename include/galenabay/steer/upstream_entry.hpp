#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/steer/packet_header.hpp>
#include <galenabay/steer/store_revision.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace galenabay::steer
{

/// An upstream's registration. Plain value.
struct upstream_entry
{
    /// Stays the same when the upstream restarts; `started_ms` differs then.
    std::string id;
    /// Number that precedes a forwarded packet; an upstream accepts only its own number.
    std::uint64_t number = 0;
    /// Unix time of the start in milliseconds; distinguishes incarnations of one id.
    std::uint64_t started_ms = 0;
    std::string service;
    base::endpoint address;
    std::string data_centre;
    /// Requests that the upstream processes concurrently.
    std::uint32_t slots = 1;
    bool draining = false;
    /// Remaining time for which the upstream is slow after its start.
    base::duration warm_up_left{0};
    /// Rises with each registration that the upstream sends, until it restarts.
    std::uint64_t sequence = 0;
    /// Store revision at which the registration last changed.
    store_revision revision;

    friend auto operator<=>(const upstream_entry&, const upstream_entry&) = default;
};

/// Returns the token of the entry's incarnation: the same on every host, never 0.
upstream_token token_of(const upstream_entry& entry) noexcept;

} // namespace galenabay::steer
