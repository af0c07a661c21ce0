#pragma once

#include <galenabay/steer/packet_header.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::peers
{

/// What one host's flows put on an upstream. Plain value.
struct upstream_load
{
    steer::upstream_token token = 0;
    std::uint32_t flows = 0;
    std::uint32_t open_requests = 0;
    /// Time since a flow showed an answer from the upstream.
    std::chrono::milliseconds answered_ago{0};

    friend auto operator<=>(const upstream_load&, const upstream_load&) = default;
};

/// What a host says of itself, several times a second. Plain value.
struct host_status
{
    std::string name;
    /// Larger after each start of the process, in microseconds of Unix time.
    std::uint64_t started_us = 0;
    /// Larger in each status of one start.
    std::uint64_t sequence = 0;
    std::string data_centre;
    /// The host watches the store and its last call succeeded.
    bool follows_store = false;
    /// The host is about to stop.
    bool leaving = false;
    /// 0: none known.
    std::uint64_t configuration_version = 0;
    /// Revision of the last change of the upstreams that the host applied.
    std::uint64_t upstreams_revision = 0;
    std::vector<upstream_load> loads;
    /// Upstreams that answer none of the host's flows.
    std::vector<steer::upstream_token> silent;
    /// Upstreams that lately took no connection of the host.
    std::vector<steer::upstream_token> unreachable;

    friend auto operator<=>(const host_status&, const host_status&) = default;
};

} // namespace galenabay::peers
