#pragma once

#include <galenabay/steer/configuration.hpp>
#include <galenabay/steer/evacuations.hpp>
#include <galenabay/steer/upstream_entry.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::peers
{

/// A registration that was removed from the store. Plain value.
struct removed_upstream
{
    std::string id;
    steer::store_revision revision;

    friend auto operator<=>(const removed_upstream&, const removed_upstream&) = default;
};

/// Changes of the upstreams between two revisions of the store. Plain value.
struct upstream_changes
{
    /// Revision that the changes follow: a host that has applied all changes up to it is at
    /// `revision` after it has applied these.
    steer::store_revision previous_revision;
    steer::store_revision revision;
    std::vector<steer::upstream_entry> entries;
    std::vector<removed_upstream> removed;
    /// Data centre of the host that sends the datagram; empty in a complete state.
    std::string data_centre;
    /// Number of received registrations that cannot be used and are left out.
    std::size_t unusable = 0;

    friend auto operator<=>(const upstream_changes&, const upstream_changes&) = default;
};

/// An upstream whose new flows are limited while it is starting. Plain value.
struct starting_upstream
{
    std::string id;
    /// New flows a second that the host may send to it; 0 without a share.
    double share_rate = 0;

    friend auto operator<=>(const starting_upstream&, const starting_upstream&) = default;
};

/// Largest number of starting upstreams in a host's state, whose size is bounded.
constexpr std::size_t max_starting_upstreams = 64;

/// A host's copy of the store. Plain value.
struct edge_state
{
    /// Has version 0 when there is none.
    steer::configuration configuration;
    /// All upstreams, with `previous_revision` 0.
    upstream_changes upstreams;
    /// Empty where data centres are not evacuated.
    std::optional<steer::evacuation_set> evacuations{};
    /// Empty where no service states a rate for starting upstreams.
    std::vector<starting_upstream> starting{};
    /// New flows that the host refused because of such a rate since its process started.
    std::uint64_t limited_flows = 0;
    /// SYNs that this host passed on to others because of such a rate, and new flows that it opened by
    /// SYNs of other hosts.
    std::uint64_t relayed_syns = 0;
    std::uint64_t opened_for_others = 0;

    friend auto operator<=>(const edge_state&, const edge_state&) = default;
};

} // namespace galenabay::peers
