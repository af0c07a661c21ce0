#pragma once

#include <galenabay/base/invariant.hpp>
#include <galenabay/steer/packet_header.hpp>
#include <galenabay/steer/steering_decision.hpp>
#include <galenabay/steer/upstream_registry.hpp>

namespace galenabay::steer
{

inline steering_decision drop(steering_reason reason)
{
    return {.action = steering_action::drop, .reason = reason, .upstream = {}, .reset = {}};
}

inline steering_decision reset(const packet_header& header, steering_reason reason)
{
    const auto sequence = header.syn ? 0 : header.acknowledged;
    return {.action = steering_action::reset,
            .reason = reason,
            .upstream = {},
            .reset = {.flow = header.flow, .sequence = sequence}};
}

inline steering_decision forward(const upstream_incarnation& to, steering_reason reason)
{
    GALENABAY_INVARIANT(!to.ended && to.token != 0 && to.entry.number != 0);
    return {.action = steering_action::forward,
            .reason = reason,
            .token = to.token,
            .upstream_number = to.entry.number,
            .upstream = to.entry.address,
            .reset = {}};
}

} // namespace galenabay::steer
