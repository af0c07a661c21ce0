#include <galenabay/base/endpoint.hpp>

#include <boost/endian/conversion.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace galenabay::base
{

namespace
{

constexpr std::size_t v4_offset = 12;
constexpr std::array<std::uint8_t, v4_offset> v4_prefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

error malformed(std::string_view text, const char* expected)
{
    return error::make(error_code::malformed, "parse_endpoint", std::string{text}, expected);
}

} // namespace

result<endpoint> endpoint::parse(std::string_view address, std::uint16_t port)
{
    const std::string text{address};
    in_addr v4_address{};
    if (inet_pton(AF_INET, text.c_str(), &v4_address) == 1)
    {
        return make_v4(boost::endian::big_to_native(v4_address.s_addr), port);
    }
    address_bytes bytes{};
    if (inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1)
    {
        return make_v6(bytes, port);
    }
    return malformed(address, "expected a numeric IPv4 or IPv6 address");
}

result<endpoint> endpoint::parse(std::string_view address_and_port)
{
    const auto colon = address_and_port.rfind(':');
    if (colon == std::string_view::npos)
    {
        return malformed(address_and_port, "expected ADDRESS:PORT");
    }
    std::uint16_t port = 0;
    const auto port_text = address_and_port.substr(colon + 1);
    const auto* last = port_text.data() + port_text.size();
    if (const auto [end, status] = std::from_chars(port_text.data(), last, port);
        status != std::errc{} || end != last || port_text.empty())
    {
        return malformed(address_and_port, "expected a port from 0 to 65535");
    }
    auto address = address_and_port.substr(0, colon);
    if (address.size() >= 2 && address.front() == '[' && address.back() == ']')
    {
        address = address.substr(1, address.size() - 2);
    }
    return parse(address, port);
}

endpoint endpoint::make_v4(std::uint32_t address_host_order, std::uint16_t port) noexcept
{
    address_bytes bytes{};
    std::copy(v4_prefix.begin(), v4_prefix.end(), bytes.begin());
    const std::uint32_t big = boost::endian::native_to_big(address_host_order);
    std::memcpy(bytes.data() + v4_offset, &big, sizeof big);
    return endpoint{bytes, port};
}

bool endpoint::is_v4() const noexcept
{
    return std::equal(v4_prefix.begin(), v4_prefix.end(), address_.begin());
}

std::uint32_t endpoint::v4() const noexcept
{
    std::uint32_t big = 0;
    std::memcpy(&big, address_.data() + v4_offset, sizeof big);
    return boost::endian::big_to_native(big);
}

bool endpoint::is_v4_unicast() const noexcept
{
    constexpr std::uint32_t first_multicast_octet = 224;
    const auto first_octet = v4() >> 24U;
    return is_v4() && port_ != 0 && first_octet != 0 && first_octet < first_multicast_octet;
}

std::string endpoint::address_string() const
{
    char text[INET6_ADDRSTRLEN] = {};
    if (is_v4())
    {
        inet_ntop(AF_INET, address_.data() + v4_offset, text, sizeof text);
    }
    else
    {
        inet_ntop(AF_INET6, address_.data(), text, sizeof text);
    }
    return text;
}

std::string endpoint::to_string() const
{
    const std::string address = address_string();
    const std::string port = std::to_string(port_);
    return is_v4() ? address + ":" + port : "[" + address + "]:" + port;
}

} // namespace galenabay::base
