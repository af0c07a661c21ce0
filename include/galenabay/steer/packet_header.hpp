#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace galenabay::steer
{

/// Identifies a caller's flow. IPv4 addresses and ports are in host byte order.
/// Immutable value.
struct flow_key
{
    std::uint32_t caller_address = 0;
    std::uint32_t service_address = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t service_port = 0;

    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// Identifies one incarnation of an upstream in the packets of its flows; 0 for none.
using upstream_token = std::uint32_t;

/// The fields of a caller's packet that steering uses. Plain value.
struct packet_header
{
    flow_key flow;
    upstream_token token = 0;
    /// Sequence number of the first data byte in the caller's stream.
    std::uint32_t sequence = 0;
    /// Acknowledgement number: how far the caller has received the upstream's stream.
    /// In a SYN, the number of times that it was sent before.
    std::uint32_t acknowledged = 0;
    std::uint16_t data_size = 0;
    bool syn = false;
    bool fin = false;
    bool rst = false;

    friend auto operator<=>(const packet_header&, const packet_header&) = default;
};

/// A reset to be sent to a caller with the service's address as its source.
/// Plain value.
struct flow_reset
{
    flow_key flow;
    /// Sequence number in the upstream's stream at which the caller accepts a reset.
    std::uint32_t sequence = 0;

    friend auto operator<=>(const flow_reset&, const flow_reset&) = default;
};

/// Number of the last retransmission that a caller makes of a SYN.
constexpr std::uint32_t last_retransmission = 2;

/// Returns true when an earlier copy of the SYN may have opened the flow. The last retransmission tells that none has.
inline bool may_have_opened(const packet_header& syn)
{
    return syn.acknowledged > 0 && syn.acknowledged < last_retransmission;
}

} // namespace galenabay::steer

template <> struct std::hash<galenabay::steer::flow_key>
{
    std::size_t operator()(const galenabay::steer::flow_key& key) const noexcept;
};
