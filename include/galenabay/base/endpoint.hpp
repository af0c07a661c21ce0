#pragma once

#include <galenabay/base/result.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace galenabay::base
{

/// An IP address and a UDP or TCP port.
///
/// Immutable value of 18 bytes. IPv4 addresses are stored in their IPv6-mapped
/// form, so one type serves both families.
class endpoint
{
public:
    using address_bytes = std::array<std::uint8_t, 16>;

    /// The unspecified endpoint `[::]:0`.
    constexpr endpoint() noexcept = default;

    /// Parses a numeric IPv4 or IPv6 address. Errors: `malformed`.
    static result<endpoint> parse(std::string_view address, std::uint16_t port);

    /// Parses "1.2.3.4:80" or "[::1]:80". Errors: `malformed`.
    static result<endpoint> parse(std::string_view address_and_port);

    /// Makes an IPv4 endpoint; `address_host_order` is in host byte order.
    static endpoint make_v4(std::uint32_t address_host_order, std::uint16_t port) noexcept;
    static constexpr endpoint make_v6(const address_bytes& address, std::uint16_t port) noexcept
    {
        return endpoint{address, port};
    }

    bool is_v4() const noexcept;
    /// Host-order IPv4 address; meaningful only when `is_v4()`.
    std::uint32_t v4() const noexcept;
    /// Returns true for the IPv4 address of a single machine, with a port: the unspecified,
    /// multicast, reserved and broadcast addresses cannot be sent to.
    bool is_v4_unicast() const noexcept;
    const address_bytes& address() const noexcept { return address_; }
    std::uint16_t port() const noexcept { return port_; }
    endpoint with_port(std::uint16_t port) const noexcept { return endpoint{address_, port}; }

    /// Returns the address without the port and without brackets.
    std::string address_string() const;
    /// Returns "1.2.3.4:80" or "[::1]:80".
    std::string to_string() const;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;

private:
    constexpr endpoint(const address_bytes& address, std::uint16_t port) noexcept : address_{address}, port_{port} {}

    address_bytes address_{};
    std::uint16_t port_ = 0;
};

} // namespace galenabay::base
