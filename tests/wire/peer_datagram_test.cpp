#include "fuzz.hpp"

#include <galenabay/wire/peer_datagram.hpp>
#include <galenabay/wire/proxy_header.hpp>

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using wire::decode_peer_datagram;
using wire::encode_peer_datagram;
using wire::peer_datagram;

namespace
{

std::vector<peer_datagram> samples()
{
    const auto service = base::endpoint::make_v4(0x7f000101, 5683);
    const auto caller = base::endpoint::parse("[2001:db8::7]:9").value();
    base::random_source random{1};
    auto payload = test::random_bytes(random, 1);
    payload.resize(wire::max_datagram);
    for (auto& value : payload)
    {
        value = static_cast<std::byte>(random.below(256));
    }
    return {
        {"host-1", wire::relayed_packet{service, caller, payload, 2}},
        {"host-1", wire::relayed_packet{service, caller, {}, 0}},
        {"host-2", wire::intent{~0ULL, 5, 6}},
        {"", wire::intent_reply{1, 2, true}},
        {std::string(63, 'h'), wire::flow_batch{std::vector<flow::flow_record>(512, {~0ULL, 1, 2})}},
        {"host-3", wire::flow_batch{}},
    };
}

/// kj allocates an object per thread at its first exception and keeps it. The
/// exception is thrown before the first test, so that the leak check of a test
/// does not count the object.
const bool first_exception_thrown = !decode_peer_datagram(std::vector<std::byte>(3, std::byte{0xff})).has_value();

} // namespace

TEST_GROUP(peer_datagram){};

TEST(peer_datagram, decoding_restores_every_kind_of_body)
{
    for (const auto& sample : samples())
    {
        const auto decoded = decode_peer_datagram(encode_peer_datagram(sample));
        CHECK(decoded.has_value());
        CHECK(decoded.value() == sample);
    }
}

TEST(peer_datagram, refuses_names_batches_and_payloads_that_are_too_large)
{
    const peer_datagram long_name{std::string(64, 'h'), wire::intent{}};
    CHECK_FALSE(decode_peer_datagram(encode_peer_datagram(long_name)).has_value());
    const peer_datagram many{"h", wire::flow_batch{std::vector<flow::flow_record>(513)}};
    CHECK_FALSE(decode_peer_datagram(encode_peer_datagram(many)).has_value());
    const peer_datagram large{"h", wire::relayed_packet{{}, {}, std::vector<std::byte>(wire::max_datagram + 1), 0}};
    CHECK_FALSE(decode_peer_datagram(encode_peer_datagram(large)).has_value());
}

TEST(peer_datagram, survives_random_and_mutated_input)
{
    CHECK(first_exception_thrown);
    base::random_source random{443};
    std::size_t accepted = 0;
    std::vector<std::vector<std::byte>> valid;
    for (const auto& sample : samples())
    {
        valid.push_back(encode_peer_datagram(sample));
    }
    for (int round = 0; round < 20'000; ++round)
    {
        const auto& original = valid[random.below(valid.size())];
        const auto input = round % 2 == 0 ? test::random_bytes(random, 80) : test::mutate(original, random);
        const test::exact_copy copy{input};
        accepted += decode_peer_datagram(copy.bytes()).has_value() ? 1 : 0;
    }
    CHECK(accepted > 0);
}
