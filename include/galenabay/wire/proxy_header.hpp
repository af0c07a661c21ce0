#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace galenabay::wire
{

/// Largest datagram that is received or sent, in bytes.
constexpr std::size_t max_datagram = 9216;
/// Largest PROXY header that is accepted, in bytes.
constexpr std::size_t max_proxy_header = 512;

/// PROXY protocol version 2 header (command PROXY, transport DGRAM) of a datagram
/// between a host and an upstream. Plain value.
///
/// In both directions the source is the caller and the destination the service
/// address. Two type-length-value fields of the application range carry the
/// request's remaining time (0xE0, 4 bytes, milliseconds) and attempt (0xE1,
/// 1 byte).
struct proxy_header
{
    base::endpoint caller;
    base::endpoint service;
    /// Milliseconds left to answer; 0 when absent.
    std::uint32_t deadline_ms = 0;
    /// 1 for the first attempt; 0 when absent.
    std::uint8_t attempt = 0;

    friend auto operator<=>(const proxy_header&, const proxy_header&) = default;
};

/// A datagram split into its header and payload.
struct proxied_datagram
{
    proxy_header header;
    std::span<const std::byte> payload;
};

/// Appends the encoded header to `out`: as INET when both addresses are IPv4, as
/// INET6 otherwise.
void append_proxy_header(const proxy_header& header, std::vector<std::byte>& out);

/// Splits a datagram into header and payload; `payload` points into `datagram`.
/// Errors: `malformed`, `out_of_range` (header too long).
base::result<proxied_datagram> parse_proxied(std::span<const std::byte> datagram);

} // namespace galenabay::wire
