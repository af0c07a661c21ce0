#include "fuzz.hpp"

#include <galenabay/wire/proxy_header.hpp>

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using wire::append_proxy_header;
using wire::parse_proxied;
using wire::proxy_header;

namespace
{

const base::endpoint caller = base::endpoint::make_v4(0x7f000007, 40001);
const base::endpoint service = base::endpoint::make_v4(0x7f000101, 5683);

std::vector<std::byte> encode(const proxy_header& header)
{
    std::vector<std::byte> bytes;
    append_proxy_header(header, bytes);
    return bytes;
}

/// Appends a TLV and corrects the header's length field.
void add_tlv(std::vector<std::byte>& bytes, std::uint8_t type, std::size_t claimed, std::size_t present)
{
    bytes.push_back(std::byte{type});
    bytes.push_back(static_cast<std::byte>(claimed >> 8));
    bytes.push_back(static_cast<std::byte>(claimed & 0xff));
    bytes.resize(bytes.size() + present);
    bytes[14] = static_cast<std::byte>((bytes.size() - 16) >> 8);
    bytes[15] = static_cast<std::byte>((bytes.size() - 16) & 0xff);
}

} // namespace

TEST_GROUP(proxy_header){};

TEST(proxy_header, has_the_layout_of_proxy_protocol_version_2)
{
    const auto bytes = encode({caller, service, 0, 0});
    const std::uint8_t expected[] = {0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49,
                                     0x54, 0x0a, 0x21, 0x12, 0x00, 0x0c, 127,  0,    0,    7,
                                     127,  0,    1,    1,    0x9c, 0x41, 0x16, 0x33};
    LONGS_EQUAL(sizeof expected, bytes.size());
    MEMCMP_EQUAL(expected, bytes.data(), sizeof expected);
}

TEST(proxy_header, parses_every_field_of_an_encoded_header)
{
    const auto caller6 = base::endpoint::parse("[2001:db8::9]:1").value();
    for (const auto& header : {proxy_header{caller, service, 0, 0}, proxy_header{caller, service, 4'000'000'000U, 2},
                               proxy_header{caller6, caller6, 7, 0}, proxy_header{caller6, service, 0, 255}})
    {
        auto bytes = encode(header);
        const std::size_t header_size = bytes.size();
        bytes.resize(bytes.size() + 5, std::byte{0x40});
        const auto parsed = parse_proxied(bytes);
        CHECK(parsed.has_value());
        CHECK(parsed.value().header == header);
        CHECK(parsed.value().payload.data() == bytes.data() + header_size);
        LONGS_EQUAL(5, parsed.value().payload.size());
    }
}

TEST(proxy_header, skips_unknown_fields)
{
    auto bytes = encode({caller, service, 250, 1});
    add_tlv(bytes, 0x04, 9, 9);
    const auto parsed = parse_proxied(bytes);
    CHECK(parsed.has_value());
    CHECK((parsed.value().header == proxy_header{caller, service, 250, 1}));
}

TEST(proxy_header, refuses_wrong_lengths)
{
    auto too_much_claimed = encode({caller, service, 0, 0});
    add_tlv(too_much_claimed, 0x04, 10, 9);
    CHECK_FALSE(parse_proxied(too_much_claimed).has_value());
    auto short_deadline = encode({caller, service, 0, 0});
    add_tlv(short_deadline, 0xe0, 3, 3);
    CHECK_FALSE(parse_proxied(short_deadline).has_value());
    auto long_attempt = encode({caller, service, 0, 0});
    add_tlv(long_attempt, 0xe1, 2, 2);
    CHECK_FALSE(parse_proxied(long_attempt).has_value());
    auto too_long = encode({caller, service, 0, 0});
    add_tlv(too_long, 0x04, 600, 600);
    CHECK(parse_proxied(too_long).error().code() == base::error_code::out_of_range);
}

TEST(proxy_header, refuses_every_truncation)
{
    const auto bytes = encode({caller, service, 9, 1});
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        const std::vector<std::byte> cut(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size));
        CHECK_FALSE(parse_proxied(test::exact_copy{cut}.bytes()).has_value());
    }
}

TEST(proxy_header, survives_random_and_mutated_input)
{
    base::random_source random{2026};
    const auto valid = encode({caller, service, 9, 1});
    std::size_t accepted = 0;
    for (int round = 0; round < 200'000; ++round)
    {
        const auto input = round % 2 == 0 ? test::random_bytes(random, 80) : test::mutate(valid, random);
        const test::exact_copy copy{input};
        if (const auto parsed = parse_proxied(copy.bytes()); parsed.has_value())
        {
            ++accepted;
            CHECK(parsed.value().payload.size() <= input.size() - 16);
        }
    }
    CHECK(accepted > 0);
}
