#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace galenabay::peers
{

/// A caller's SYN that a host passes on to another one, which may have room on a starting upstream.
/// Plain value.
struct relayed_syn
{
    /// The datagram as it came from the caller, at most `max_relayed_packet` bytes.
    std::vector<std::byte> packet;
    /// `host_key` of the receiver.
    std::uint32_t receiver = 0;
    /// `service_key` of the service that the first host selected.
    std::uint64_t service = 0;
    /// Times that the receiver may pass it on.
    std::uint8_t passes_left = 0;

    friend auto operator<=>(const relayed_syn&, const relayed_syn&) = default;
};

/// Largest packet that is passed on, in bytes. A message then has at most `max_relayed_size` bytes.
constexpr std::size_t max_relayed_packet = 48;
constexpr std::size_t max_relayed_size = 80;

} // namespace galenabay::peers
