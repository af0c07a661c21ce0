#pragma once

#include "sockets.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace review
{

constexpr std::uint8_t flag_fin = 1;
constexpr std::uint8_t flag_syn = 16;
constexpr std::uint8_t flag_rst = 32;
constexpr std::uint8_t flag_ack = 64;
constexpr std::uint8_t flag_bounced = 128;

/// The two ends of a flow, as the client's packets name them.
struct flow_key
{
    endpoint client;
    endpoint service;

    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// A packet of the users' platform: a head of 31 bytes and data.
struct packet
{
    endpoint from;
    endpoint to;
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::uint32_t sum = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::string data;

    bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
    /// Sequence numbers that the packet takes.
    std::uint32_t length() const
    {
        return static_cast<std::uint32_t>(data.size()) + (has(flag_syn) ? 1 : 0) + (has(flag_fin) ? 1 : 0);
    }

    /// Keyed sum over everything but `echo` and BOUNCED.
    std::uint32_t expected_sum() const
    {
        std::uint32_t hash = 0x9d2c5680U;
        const auto mix = [&](std::uint32_t value) { hash = (hash ^ value) * 16777619U + (hash >> 15U); };
        mix(from.address);
        mix(to.address);
        mix((std::uint32_t{from.port} << 16U) | to.port);
        mix(flags & static_cast<std::uint8_t>(~flag_bounced));
        mix(sequence);
        mix(acknowledged);
        mix(static_cast<std::uint32_t>(data.size()));
        for (const char c : data)
        {
            mix(static_cast<unsigned char>(c));
        }
        return hash == 0 ? 1 : hash;
    }

    std::string encode() const
    {
        std::string bytes;
        const auto add = [&](std::uint64_t value, int size)
        {
            for (int i = size - 1; i >= 0; --i)
            {
                bytes += static_cast<char>((value >> (8U * static_cast<unsigned>(i))) & 255U);
            }
        };
        add(data.size(), 2);
        add(from.address, 4);
        add(to.address, 4);
        add(from.port, 2);
        add(to.port, 2);
        add(echo, 4);
        add(flags, 1);
        add(sum, 4);
        add(sequence, 4);
        add(acknowledged, 4);
        return bytes + data;
    }

    static std::optional<packet> decode(const std::string& bytes)
    {
        constexpr std::size_t head_size = 31;
        if (bytes.size() < head_size)
        {
            return std::nullopt;
        }
        const auto get = [&](std::size_t at, int size)
        {
            std::uint64_t value = 0;
            for (int i = 0; i < size; ++i)
            {
                value = (value << 8U) | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(i)]);
            }
            return static_cast<std::uint32_t>(value);
        };
        packet read;
        read.from = {get(2, 4), static_cast<std::uint16_t>(get(10, 2))};
        read.to = {get(6, 4), static_cast<std::uint16_t>(get(12, 2))};
        read.echo = get(14, 4);
        read.flags = static_cast<std::uint8_t>(get(18, 1));
        read.sum = get(19, 4);
        read.sequence = get(23, 4);
        read.acknowledged = get(27, 4);
        read.data = bytes.substr(head_size);
        return read.data.size() == get(0, 2) ? std::optional{read} : std::nullopt;
    }
};

/// Returns the value of a header field of an HTTP message, or nothing.
inline std::string header_of(const std::string& message, const std::string& name)
{
    const auto at = message.find("\r\n" + name + ": ");
    if (at == std::string::npos)
    {
        return {};
    }
    const auto begin = at + name.size() + 4;
    return message.substr(begin, message.find("\r\n", begin) - begin);
}

} // namespace review
