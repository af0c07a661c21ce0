#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>
#include <galenabay/flow/flow_record.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace galenabay::wire
{

/// A caller's packet, relayed to the host that decides on it.
struct relayed_packet
{
    base::endpoint service;
    base::endpoint caller;
    std::vector<std::byte> payload;
    /// Number of hosts that relayed the packet.
    std::uint8_t hops = 0;

    friend bool operator==(const relayed_packet&, const relayed_packet&) = default;
};

/// Asks another host to record that a request is about to run or be refused
/// (schema DispatchIntent).
struct intent
{
    /// Key of the request.
    std::uint64_t request = 0;
    /// One of the values `dispatch::intent_to_*`.
    std::uint64_t upstream = 0;
    /// Identifies the sender's claim on the request; the reply repeats it.
    std::uint64_t sequence = 0;

    friend bool operator==(const intent&, const intent&) = default;
};

/// Accepts or declines an `intent` (schema DispatchIntentReply).
struct intent_reply
{
    std::uint64_t request = 0;
    std::uint64_t sequence = 0;
    bool accepted = false;

    friend bool operator==(const intent_reply&, const intent_reply&) = default;
};

/// Records of the record exchange of `flow::steering`.
struct flow_batch
{
    std::vector<flow::flow_record> records;

    friend bool operator==(const flow_batch&, const flow_batch&) = default;
};

/// One datagram between two hosts (schema PeerDatagram, packed encoding).
struct peer_datagram
{
    /// Name of the sending host.
    std::string from;
    std::variant<relayed_packet, intent, intent_reply, flow_batch> body;

    friend bool operator==(const peer_datagram&, const peer_datagram&) = default;
};

/// Encodes a datagram without checking the limits that decoding enforces.
std::vector<std::byte> encode_peer_datagram(const peer_datagram& value);

/// Decodes a datagram. Errors: `malformed`, `out_of_range` (datagram, name or
/// body too large).
base::result<peer_datagram> decode_peer_datagram(std::span<const std::byte> bytes);

} // namespace galenabay::wire
