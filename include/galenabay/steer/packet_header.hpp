#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace galenabay::steer
{

/// The four values that name a flow of a caller. IPv4 addresses and ports in
/// host byte order. Immutable value.
struct flow_key
{
    std::uint32_t caller_address = 0;
    std::uint32_t service_address = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t service_port = 0;

    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// Names one incarnation of an upstream inside the packets of its flows; 0: none.
using upstream_token = std::uint32_t;

/// What steering reads of a packet from a caller. Plain value.
struct packet_header
{
    flow_key flow;
    upstream_token token = 0;
    /// Position of the first data byte in the caller's stream.
    std::uint32_t sequence = 0;
    /// How far the caller has received the upstream's stream. On an opening
    /// packet: how many copies of it were sent before.
    std::uint32_t acknowledged = 0;
    std::uint16_t data_size = 0;
    bool syn = false;
    bool fin = false;
    bool rst = false;

    friend auto operator<=>(const packet_header&, const packet_header&) = default;
};

/// A reset to be sent to a caller in the name of a service. Plain value.
struct flow_reset
{
    flow_key flow;
    /// Position in the upstream's stream that the caller accepts a reset at.
    std::uint32_t sequence = 0;

    friend auto operator<=>(const flow_reset&, const flow_reset&) = default;
};

} // namespace galenabay::steer

template <> struct std::hash<galenabay::steer::flow_key>
{
    std::size_t operator()(const galenabay::steer::flow_key& key) const noexcept;
};
