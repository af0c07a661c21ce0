#pragma once

#include <galenabay/net/udp_socket.hpp>
#include <galenabay/steer/packet_header.hpp>

#include <boost/endian/conversion.hpp>

#include <array>
#include <cstdint>
#include <cstring>
#include <optional>
#include <span>
#include <vector>

namespace galenabay::edge_soak
{

constexpr std::uint8_t flag_fin = 1;
constexpr std::uint8_t flag_syn = 16;
constexpr std::uint8_t flag_rst = 32;
constexpr std::uint8_t flag_ack = 64;

/// A packet between a caller and an upstream. Its payload is the number of a request, or
/// empty. `checksum` only distinguishes packets of the endpoints from resets that a host
/// sends.
struct wire_packet
{
    static constexpr std::size_t header_size = 31;
    static constexpr std::uint32_t endpoint_checksum = 0x5a5a5a5a;

    std::uint32_t source = 0;
    std::uint32_t target = 0;
    std::uint16_t source_port = 0;
    std::uint16_t target_port = 0;
    std::uint32_t token = 0;
    std::uint8_t flags = 0;
    std::uint32_t checksum = endpoint_checksum;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::optional<std::uint64_t> request;

    bool has(std::uint8_t flag) const noexcept { return (flags & flag) != 0; }
    std::uint32_t size() const noexcept { return request ? sizeof(std::uint64_t) : 0; }

    /// Returns the flow of a packet that a caller sent.
    steer::flow_key flow() const
    {
        return {.caller_address = source,
                .service_address = target,
                .caller_port = source_port,
                .service_port = target_port};
    }

    std::vector<unsigned char> encode() const
    {
        std::vector<unsigned char> bytes(header_size + size());
        put(bytes, 0, static_cast<std::uint16_t>(size()));
        put(bytes, 2, source);
        put(bytes, 6, target);
        put(bytes, 10, source_port);
        put(bytes, 12, target_port);
        put(bytes, 14, token);
        put(bytes, 18, flags);
        put(bytes, 19, checksum);
        put(bytes, 23, sequence);
        put(bytes, 27, acknowledged);
        if (request)
        {
            put(bytes, header_size, *request);
        }
        return bytes;
    }

    static std::optional<wire_packet> decode(std::span<const unsigned char> bytes)
    {
        if (bytes.size() < header_size)
        {
            return std::nullopt;
        }
        wire_packet packet{.source = get<std::uint32_t>(bytes, 2),
                           .target = get<std::uint32_t>(bytes, 6),
                           .source_port = get<std::uint16_t>(bytes, 10),
                           .target_port = get<std::uint16_t>(bytes, 12),
                           .token = get<std::uint32_t>(bytes, 14),
                           .flags = get<std::uint8_t>(bytes, 18),
                           .checksum = get<std::uint32_t>(bytes, 19),
                           .sequence = get<std::uint32_t>(bytes, 23),
                           .acknowledged = get<std::uint32_t>(bytes, 27),
                           .request = {}};
        if (bytes.size() >= header_size + sizeof(std::uint64_t))
        {
            packet.request = get<std::uint64_t>(bytes, header_size);
        }
        return packet;
    }

private:
    template <typename T> static void put(std::vector<unsigned char>& bytes, std::size_t at, T value)
    {
        boost::endian::endian_store<T, sizeof(T), boost::endian::order::big>(bytes.data() + at, value);
    }
    template <typename T> static T get(std::span<const unsigned char> bytes, std::size_t at)
    {
        return boost::endian::endian_load<T, sizeof(T), boost::endian::order::big>(bytes.data() + at);
    }
};

/// Sends a packet as one datagram. Send errors count as packet loss.
inline void send_packet(const net::udp_socket& socket, const wire_packet& packet, const base::endpoint& to)
{
    const auto bytes = packet.encode();
    net::packet datagram;
    datagram.assign(std::as_bytes(std::span{bytes}));
    datagram.peer = to;
    const std::array<net::packet*, 1> single{&datagram};
    net::send_batch(socket.descriptor(), single);
}

} // namespace galenabay::edge_soak
