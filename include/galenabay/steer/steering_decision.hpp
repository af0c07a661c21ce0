#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/steer/packet_header.hpp>

#include <compare>
#include <cstdint>

namespace galenabay::steer
{

/// What to do with a packet.
enum class steering_action : std::uint8_t
{
    forward,
    reset,
    drop,
};

/// Why it was decided so.
enum class steering_reason : std::uint8_t
{
    /// The packet's token names a known upstream.
    token,
    /// An opening packet: an upstream was chosen.
    new_flow,
    /// A copy of an opening packet went to another upstream than the one before.
    next_upstream,
    no_route,
    route_removed,
    no_upstream,
    token_unknown,
    token_missing,
    upstream_ended,
    upstream_silent,
    /// The configuration or the upstreams are not known yet.
    not_ready,
};

constexpr std::size_t steering_reason_count = 11;

/// Stable lower-case names, as written to logs and metrics.
const char* name_of(steering_action action);
const char* name_of(steering_reason reason);

/// The outcome for one packet. Immutable value.
struct steering_decision
{
    steering_action action = steering_action::drop;
    steering_reason reason = steering_reason::not_ready;
    /// Set when a packet is forwarded.
    upstream_token token = 0;
    std::uint64_t upstream_number = 0;
    base::endpoint upstream;
    /// Set when a flow is reset.
    flow_reset reset;

    friend auto operator<=>(const steering_decision&, const steering_decision&) = default;
};

/// A flow that can't go on, found without a packet of it.
struct lost_flow
{
    flow_reset reset;
    /// Of the flow's upstream.
    upstream_token token = 0;
    /// `upstream_ended` or `upstream_silent`.
    steering_reason reason = steering_reason::upstream_ended;
};

} // namespace galenabay::steer
