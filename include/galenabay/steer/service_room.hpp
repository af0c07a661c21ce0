#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/evacuations.hpp>
#include <galenabay/steer/upstream_registry.hpp>

#include <compare>
#include <map>
#include <string>

namespace galenabay::steer
{

/// Slots of upstreams and how many requests are open on them. Plain value.
struct room
{
    /// Requests that the upstreams process at once. A slow upstream counts for less than it states.
    double slots = 0;
    /// Requests without a complete answer; above `slots` when some wait in queues.
    double open_requests = 0;

    /// Open requests per slot; 0 without slots, since a lack of upstreams is not a lack of room.
    double occupancy() const { return slots > 0 ? open_requests / slots : 0; }

    friend auto operator<=>(const room&, const room&) = default;
};

/// Room of a service, for the fleet and by data centre of the upstreams. Plain value.
struct service_room
{
    room fleet;
    std::map<std::string, room> data_centres;

    friend auto operator<=>(const service_room&, const service_room&) = default;
};

/// Derives a service's room. `open_requests`: those of all hosts, by their latest reports, with this
/// host's own ones of its last tick. Counts the slots of the upstreams that may take new flows and that new flows do
/// not avoid. The open requests are divided between data centres in proportion to the loads that are
/// known of each upstream, which may be several seconds old where the service has hundreds of upstreams.
///
/// Error: the sum differs from the open requests of the moment by those that began or ended within
/// the age of the sum, and lacks those of hosts that are not in touch.
service_room measure_room(const upstream_registry& registry, const evacuation_table& evacuations,
                          const std::string& service, double open_requests, base::time_point now);

} // namespace galenabay::steer
