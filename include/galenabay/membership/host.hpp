#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/hash.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace galenabay::membership
{

/// State that a host reports about itself.
enum class host_state
{
    starting,
    ready,
    leaving,
};

/// Report of a host about itself, sent in heartbeats. Plain value.
struct host_report
{
    std::string name;
    std::string data_centre;
    /// Increases with each start of the process.
    std::uint64_t incarnation = 0;
    /// Increases with each report of one incarnation.
    std::uint64_t sequence = 0;
    host_state state = host_state::starting;
    base::endpoint control;
    base::endpoint relay;
    /// Number of the revision in force; 0: none.
    std::uint64_t revision = 0;
    bool platform_reachable = false;

    friend auto operator<=>(const host_report&, const host_report&) = default;
};

/// One row of the platform's list of hosts, which may be out of date.
struct listed_host
{
    std::string name;
    std::string data_centre;
    base::endpoint control;
    base::endpoint relay;
    bool leaving = false;

    friend auto operator<=>(const listed_host&, const listed_host&) = default;
};

/// A live host that may decide requests.
struct live_host
{
    std::string name;
    std::string data_centre;
    /// Hash of `name`; weight of rendezvous hashing.
    std::uint64_t id = 0;
    base::endpoint relay;

    friend auto operator<=>(const live_host&, const live_host&) = default;
};

} // namespace galenabay::membership
