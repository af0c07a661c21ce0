#include <galenabay/base/endpoint.hpp>

#include <CppUTest/TestHarness.h>

using galenabay::base::endpoint;

TEST_GROUP(endpoint){};

TEST(endpoint, parses_and_prints_ipv4)
{
    const auto parsed = endpoint::parse("192.0.2.7:5683");
    CHECK(parsed.has_value());
    CHECK(parsed.value().is_v4());
    STRCMP_EQUAL("192.0.2.7:5683", parsed.value().to_string().c_str());
}

TEST(endpoint, parses_and_prints_ipv6)
{
    const auto parsed = endpoint::parse("[2001:db8::1]:53");
    CHECK(parsed.has_value());
    CHECK_FALSE(parsed.value().is_v4());
    STRCMP_EQUAL("[2001:db8::1]:53", parsed.value().to_string().c_str());
}

TEST(endpoint, refuses_malformed_text)
{
    for (const char* text : {"", "1.2.3.4", "1.2.3.4:", "1.2.3.4:65536", "1.2.3:80", "name:80", "1.2.3.4:8x"})
    {
        CHECK_FALSE(endpoint::parse(text).has_value());
    }
}

TEST(endpoint, orders_by_address_then_port)
{
    CHECK(endpoint::make_v4(1, 9) < endpoint::make_v4(2, 1));
    CHECK(endpoint::make_v4(1, 1) < endpoint::make_v4(1, 2));
}
