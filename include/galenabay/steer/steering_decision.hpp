#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/steer/packet_header.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace galenabay::steer
{

/// Action taken on a packet.
enum class steering_action : std::uint8_t
{
    forward,
    reset,
    drop,
    /// A SYN is passed on to another host, which decides it.
    relay,
};

/// Reason for the action on a packet.
enum class steering_reason : std::uint8_t
{
    /// The packet's token names a known upstream.
    token,
    /// The packet is a SYN and an upstream was selected.
    new_flow,
    /// A retransmitted SYN goes to another upstream than the one before.
    next_upstream,
    no_route,
    route_removed,
    no_upstream,
    token_unknown,
    token_missing,
    upstream_ended,
    upstream_silent,
    /// No configuration, no list of upstreams or no set of evacuations has arrived yet.
    not_ready,
    /// All upstreams that could take the flow are in evacuated data centres.
    evacuated,
    /// The upstreams that are left are starting and have had all new flows that they bear.
    warm_up_limit,
    /// The upstreams have no room, and more urgent flows or other callers come first.
    no_room,
    /// The upstreams that are left are starting, and another host may have room for a new flow. Also of a SYN
    /// that was passed on to another host and reached this one.
    relayed,
};

constexpr std::size_t steering_reason_count = 15;

/// Returns the lower-case name that logs and metrics use; it never changes.
const char* name_of(steering_action action);
const char* name_of(steering_reason reason);

/// Returns the key by which a host that passes a SYN on names the receiver.
std::uint32_t host_key(std::string_view name) noexcept;

/// The hosts to one of which a SYN is passed on. Plain value.
struct relay_target
{
    /// A starting upstream that they have shares of.
    upstream_token token = 0;
    /// Number of processes that may have shares of it.
    std::size_t holders = 1;
    /// Selects one of the hosts: the same one for all copies of a SYN.
    std::uint64_t lot = 0;
    /// Service of the flow, by `service_key`.
    std::uint64_t service = 0;
    /// Times that the receiver may pass the SYN on.
    std::uint8_t passes_left = 0;

    friend auto operator<=>(const relay_target&, const relay_target&) = default;
};

/// The decision for one packet. Immutable value.
struct steering_decision
{
    steering_action action = steering_action::drop;
    steering_reason reason = steering_reason::not_ready;
    /// These three are set when the packet is forwarded.
    upstream_token token = 0;
    std::uint64_t upstream_number = 0;
    base::endpoint upstream;
    /// Set when the flow is reset, and for a relay, which becomes a reset when there is no host.
    flow_reset reset;
    /// Set when the packet is passed on.
    relay_target relay{};

    friend auto operator<=>(const steering_decision&, const steering_decision&) = default;
};

/// A flow that cannot continue, detected without a packet of the flow.
struct lost_flow
{
    flow_reset reset;
    /// Token of the flow's upstream.
    upstream_token token = 0;
    /// Either `upstream_ended` or `upstream_silent`.
    steering_reason reason = steering_reason::upstream_ended;
    /// How long the caller's newest data has waited for an answer; zero when none waits.
    base::duration waited{0};
};

} // namespace galenabay::steer
