#pragma once

#include "sockets.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace review
{

constexpr std::uint8_t flag_fin = 1;
constexpr std::uint8_t flag_syn = 16;
constexpr std::uint8_t flag_rst = 32;
constexpr std::uint8_t flag_ack = 64;

/// Both ends of a flow, as its client sees them.
struct flow_key
{
    endpoint client;
    endpoint service;

    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// A packet of the wire format of PROTOCOL.md. The data of a request or of its answer is the request's number.
struct packet
{
    static constexpr std::size_t header_size = 31;

    endpoint source;
    endpoint target;
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::uint32_t sum = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::optional<std::uint64_t> request;

    bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
    std::uint32_t data_size() const { return request ? 8 : 0; }

    /// The keyed sum of the clients and targets of these cases: over all fields but `echo`.
    std::uint32_t keyed_sum() const
    {
        std::uint64_t mixed = 0x9e3779b97f4a7c15U;
        for (const std::uint64_t part :
             {std::uint64_t{source.address}, std::uint64_t{source.port}, std::uint64_t{target.address},
              std::uint64_t{target.port}, std::uint64_t{flags}, std::uint64_t{sequence}, std::uint64_t{acknowledged},
              request.value_or(0), std::uint64_t{data_size()}})
        {
            mixed = (mixed ^ part) * 0xff51afd7ed558ccdU;
            mixed ^= mixed >> 29U;
        }
        return static_cast<std::uint32_t>(mixed) | 1U;
    }
    /// Its sender wrote it so.
    bool is_genuine() const { return sum == keyed_sum(); }

    std::vector<unsigned char> encode() const
    {
        std::vector<unsigned char> bytes;
        const auto put = [&](std::uint64_t value, int size)
        {
            for (int shift = (size - 1) * 8; shift >= 0; shift -= 8)
            {
                bytes.push_back(static_cast<unsigned char>(value >> static_cast<unsigned>(shift)));
            }
        };
        put(data_size(), 2);
        put(source.address, 4);
        put(target.address, 4);
        put(source.port, 2);
        put(target.port, 2);
        put(echo, 4);
        put(flags, 1);
        put(keyed_sum(), 4);
        put(sequence, 4);
        put(acknowledged, 4);
        if (request)
        {
            put(*request, 8);
        }
        return bytes;
    }

    static std::uint64_t read(std::span<const unsigned char> bytes, std::size_t at, std::size_t size)
    {
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < size; ++i)
        {
            value = value << 8U | bytes[at + i];
        }
        return value;
    }

    static std::optional<packet> decode(std::span<const unsigned char> bytes)
    {
        if (bytes.size() < header_size || (bytes.size() != header_size && bytes.size() != header_size + 8))
        {
            return std::nullopt;
        }
        packet made;
        made.source = {static_cast<std::uint32_t>(read(bytes, 2, 4)), static_cast<std::uint16_t>(read(bytes, 10, 2))};
        made.target = {static_cast<std::uint32_t>(read(bytes, 6, 4)), static_cast<std::uint16_t>(read(bytes, 12, 2))};
        made.echo = static_cast<std::uint32_t>(read(bytes, 14, 4));
        made.flags = bytes[18];
        made.sum = static_cast<std::uint32_t>(read(bytes, 19, 4));
        made.sequence = static_cast<std::uint32_t>(read(bytes, 23, 4));
        made.acknowledged = static_cast<std::uint32_t>(read(bytes, 27, 4));
        if (bytes.size() > header_size)
        {
            made.request = read(bytes, header_size, 8);
        }
        return made;
    }
};

inline void send_datagram(const descriptor& from, const std::vector<unsigned char>& bytes, const endpoint& to)
{
    const auto address = to.native();
    ::sendto(from.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

/// Calls `use(bytes, from)` with each datagram that has arrived.
template <typename Use> void receive_datagrams(const descriptor& from, Use use)
{
    unsigned char buffer[2'048];
    sockaddr_in sender{};
    socklen_t size = sizeof sender;
    ssize_t got = 0;
    while ((got = ::recvfrom(from.get(), buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&sender), &size)) >= 0)
    {
        use(std::span<const unsigned char>{buffer, static_cast<std::size_t>(got)}, endpoint_of(sender));
        size = sizeof sender;
    }
}

} // namespace review
