#include <galenabay/wire/proxy_header.hpp>

#include <boost/endian/buffers.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace galenabay::wire
{

namespace
{

using base::error;
using base::error_code;

constexpr std::array<std::uint8_t, 12> signature{0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d,
                                                 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a};
constexpr std::uint8_t version_2_proxy = 0x21;
constexpr std::uint8_t inet_dgram = 0x12;
constexpr std::uint8_t inet6_dgram = 0x22;
constexpr std::uint8_t tlv_deadline = 0xe0;
constexpr std::uint8_t tlv_attempt = 0xe1;
constexpr std::size_t v4_size = 4;
constexpr std::size_t v6_size = 16;
constexpr std::size_t port_size = 2;

struct fixed_header
{
    std::array<std::uint8_t, 12> signature;
    std::uint8_t version_command;
    std::uint8_t family_transport;
    boost::endian::big_uint16_buf_t length;
};
static_assert(sizeof(fixed_header) == 16);

struct tlv_header
{
    std::uint8_t type;
    std::array<std::uint8_t, 2> length;
};
static_assert(sizeof(tlv_header) == 3);

error malformed(const char* detail)
{
    return error::make(error_code::malformed, "parse_proxy_header", "", detail);
}

template <typename T> void append_value(const T& value, std::vector<std::byte>& out)
{
    const auto bytes = std::as_bytes(std::span{&value, 1});
    out.insert(out.end(), bytes.begin(), bytes.end());
}

void append_address(const base::endpoint& value, std::size_t address_size, std::vector<std::byte>& out)
{
    const auto bytes = std::as_bytes(std::span{value.address()}).last(address_size);
    out.insert(out.end(), bytes.begin(), bytes.end());
}

template <typename T> void append_tlv(std::uint8_t type, T value, std::vector<std::byte>& out)
{
    append_value(type, out);
    append_value(boost::endian::native_to_big(static_cast<std::uint16_t>(sizeof value)), out);
    append_value(boost::endian::native_to_big(value), out);
}

template <typename T> T read_big(std::span<const std::byte> bytes)
{
    T value{};
    std::memcpy(&value, bytes.data(), sizeof value);
    return boost::endian::big_to_native(value);
}

base::endpoint read_endpoint(std::span<const std::byte> address, std::span<const std::byte> port)
{
    const auto port_number = read_big<std::uint16_t>(port);
    if (address.size() == v4_size)
    {
        return base::endpoint::make_v4(read_big<std::uint32_t>(address), port_number);
    }
    base::endpoint::address_bytes bytes{};
    std::memcpy(bytes.data(), address.data(), v6_size);
    return base::endpoint::make_v6(bytes, port_number);
}

bool read_known_tlv(std::uint8_t type, std::span<const std::byte> value, proxy_header& header)
{
    if (type == tlv_deadline)
    {
        if (value.size() != sizeof(std::uint32_t))
        {
            return false;
        }
        header.deadline_ms = read_big<std::uint32_t>(value);
    }
    else if (type == tlv_attempt)
    {
        if (value.size() != sizeof(std::uint8_t))
        {
            return false;
        }
        header.attempt = std::to_integer<std::uint8_t>(value.front());
    }
    return true;
}

bool read_tlvs(std::span<const std::byte> rest, proxy_header& header)
{
    while (!rest.empty())
    {
        if (rest.size() < sizeof(tlv_header))
        {
            return false;
        }
        const auto type = std::to_integer<std::uint8_t>(rest.front());
        const std::size_t length = read_big<std::uint16_t>(rest.subspan(1));
        rest = rest.subspan(sizeof(tlv_header));
        if (length > rest.size() || !read_known_tlv(type, rest.first(length), header))
        {
            return false;
        }
        rest = rest.subspan(length);
    }
    return true;
}

} // namespace

void append_proxy_header(const proxy_header& header, std::vector<std::byte>& out)
{
    const bool v4 = header.caller.is_v4() && header.service.is_v4();
    const std::size_t address_size = v4 ? v4_size : v6_size;
    const std::size_t start = out.size();
    fixed_header fixed{signature, version_2_proxy, v4 ? inet_dgram : inet6_dgram, {}};
    append_value(fixed, out);
    append_address(header.caller, address_size, out);
    append_address(header.service, address_size, out);
    append_value(boost::endian::native_to_big(header.caller.port()), out);
    append_value(boost::endian::native_to_big(header.service.port()), out);
    if (header.deadline_ms != 0)
    {
        append_tlv(tlv_deadline, header.deadline_ms, out);
    }
    if (header.attempt != 0)
    {
        append_tlv(tlv_attempt, header.attempt, out);
    }
    fixed.length = static_cast<std::uint16_t>(out.size() - start - sizeof fixed);
    std::memcpy(out.data() + start, &fixed, sizeof fixed);
}

base::result<proxied_datagram> parse_proxied(std::span<const std::byte> datagram)
{
    if (datagram.size() < sizeof(fixed_header))
    {
        return malformed("the datagram is shorter than the fixed header");
    }
    fixed_header fixed{};
    std::memcpy(&fixed, datagram.data(), sizeof fixed);
    if (fixed.signature != signature || fixed.version_command != version_2_proxy)
    {
        return malformed("the signature and command are not those of PROXY protocol version 2");
    }
    if (fixed.family_transport != inet_dgram && fixed.family_transport != inet6_dgram)
    {
        return malformed("the address family and transport are not INET or INET6 with DGRAM");
    }
    const std::size_t length = fixed.length.value();
    if (sizeof fixed + length > max_proxy_header)
    {
        return error::make(error_code::out_of_range, "parse_proxy_header", "", "the header is too long");
    }
    const std::size_t address_size = fixed.family_transport == inet_dgram ? v4_size : v6_size;
    const std::size_t block_size = 2 * address_size + 2 * port_size;
    if (length < block_size || length > datagram.size() - sizeof fixed)
    {
        return malformed("the header length does not fit the datagram");
    }
    const auto block = datagram.subspan(sizeof fixed, length);
    const auto ports = block.subspan(2 * address_size, 2 * port_size);
    proxied_datagram result{};
    result.header.caller = read_endpoint(block.first(address_size), ports.first(port_size));
    result.header.service = read_endpoint(block.subspan(address_size, address_size), ports.last(port_size));
    if (!read_tlvs(block.subspan(block_size), result.header))
    {
        return malformed("invalid type-length-value field");
    }
    result.payload = datagram.subspan(sizeof fixed + length);
    return result;
}

} // namespace galenabay::wire
