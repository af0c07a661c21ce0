#pragma once

#include <galenabay/config/service_set.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenabay::config
{

/// SHA-256 of a service set.
using digest = std::array<std::uint8_t, 32>;

/// An earlier state of one service. A host that starts derives from it which
/// upstreams an older flow may be on.
struct generation
{
    /// Last revision number in which this state was in force.
    std::uint64_t last_revision = 0;
    /// Address of the service in that state.
    base::endpoint address;
    std::vector<upstream> upstreams;

    friend auto operator<=>(const generation&, const generation&) = default;
};

/// Largest number of generations kept for a service.
constexpr std::size_t max_generations = 8;

/// A service set that the platform has accepted, with the earlier states of its
/// services.
struct accepted_revision
{
    /// Position in the platform's order; larger is newer. Starts at 1.
    std::uint64_t number = 0;
    /// SHA-256 of the canonical form of `set`.
    config::digest digest{};
    service_set set;
    /// Earlier states by service name, newest first, at most `max_generations`.
    /// Also holds services that are no longer in `set`.
    std::map<std::string, std::vector<generation>> lineage;
    std::string author;
    /// Seconds since 1970, for display only.
    std::int64_t accepted_at = 0;

    friend auto operator<=>(const accepted_revision&, const accepted_revision&) = default;
};

} // namespace galenabay::config
