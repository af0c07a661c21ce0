// Included before CppUTest, which redefines `new`.
#include <platform/packet_header.hpp>
#include <platform/settings.hpp>
#include <platform/store_objects.hpp>

#include "../steer/steer_fixture.hpp"
#include "../wire/fuzz.hpp"

#include <span>
#include <string>
#include <string_view>

using namespace galenabay;
using namespace galenabay::adapter;
using namespace std::chrono_literals;

namespace
{

std::string mutated(std::string_view valid, base::random_source& random)
{
    const auto bytes = test::mutate(std::as_bytes(std::span{valid}), random);
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

} // namespace

/// Valid input from outside with bytes that are changed, inserted or cut off. Failure: one malformed packet, answer or
/// file ends the process, by an exception, an access outside its bytes or a broken invariant.
TEST_GROUP(mutated_input)
{
    base::random_source random{20261206};
};

TEST(mutated_input, packets_end_no_process)
{
    constexpr int packets = 20'000;
    const auto upstream = steer::test::make_upstream("i-1", 1);
    steer::test::test_host host{{upstream, steer::test::make_upstream("i-2", 2)}};
    std::size_t decoded = 0;
    std::size_t forwarded = 0;
    for (int i = 0; i < packets; ++i)
    {
        // The ends of a reset are those of its sender; of the flags only SYN, ACK and none are sent by callers.
        auto packet = encode_reset({.flow = {.caller_address = steer::test::service_address,
                                             .service_address = 0x64400007,
                                             .caller_port = steer::test::service_port,
                                             .service_port = static_cast<std::uint16_t>(random.below(50))},
                                    .sequence = 7});
        constexpr std::size_t flags_at = 18;
        packet[flags_at] = static_cast<std::byte>(random.below(2) * 16);
        write_token(packet, token_of(upstream));
        const test::exact_copy received{test::mutate(packet, random)};
        if (const auto header = decode_header(received.bytes()); header)
        {
            ++decoded;
            const auto decision = host.core.on_packet(*header, steer::test::at(i * 1ms));
            forwarded += decision.action == steer::steering_action::forward ? 1 : 0;
            LONGS_EQUAL(header_size, encode_reset(decision.reset).size());
        }
        host.run_until(i * 1ms);
    }
    CHECK(decoded > packets / 10);
    CHECK(forwarded > packets / 100);
}

TEST(mutated_input, answers_of_the_store_end_no_process)
{
    constexpr int rounds = 1'500;
    const std::string upstreams =
        R"({"items":[{"meta":{"name":"i-1","revision":9},"spec":{"service":"feed","address":"10.128.0.9:8080",)"
        R"("zone":"east","version":"v1","max-concurrency":3,"state":"ready","warmup-left-ms":250,"sequence":4,)"
        R"("born":1785880304094}},{"meta":{"name":"i-2","revision":10},"spec":{}}],"more":true,"current-rev":530})";
    const std::string changes =
        R"({"events":[{"deleted":false,"object":{"meta":{"name":"main","revision":9},"spec":{"version":7,"routes":)"
        R"([{"name":"r","host":"198.18.0.1","path-prefix":"/8443/","aim-ms":400,"priority":1,"traffic-split":)"
        R"([{"service":"a","weight":90}]}],"services":[{"name":"a","warmup-s":2.5,"warmup-per-s":12}]}}}],)"
        R"("current-rev":9})";
    const std::string single =
        R"({"meta":{"name":"i-3-1000","revision":4},"spec":{"host":"edge-1","process-started-us":1785880304094}})";
    std::size_t decoded = 0;
    for (int round = 0; round < rounds; ++round)
    {
        const auto list = mutated(upstreams, random);
        decoded += decode_list(object_kind::upstreams, list, "store", "i-0").has_value() ? 1 : 0;
        decoded += decode_list(object_kind::evacuations, list, "store").has_value() ? 1 : 0;
        decoded += decode_changes(object_kind::configuration, mutated(changes, random), "store").has_value() ? 1 : 0;
        decoded += decode_single(object_kind::warm_ups, mutated(single, random), "store").has_value() ? 1 : 0;
        decoded += decode_epoch(mutated("12", random), "store").has_value() ? 1 : 0;
    }
    CHECK(decoded > rounds);
}

TEST(mutated_input, settings_end_no_process)
{
    constexpr int files = 2'000;
    const std::string valid =
        "node: \"edge-1\"\nzone: \"east\"\nbind-addrs:\n  datagram-addr: \"10.1.0.10:8172\"\n"
        "  readiness-addr: \"10.1.0.10:8167\"\nport-range: [7720, 7735]\nseeds: [\"10.1.0.11:8166\"]\nbounds:\n"
        "  config-ms: 3000\n  grace-s: 6.5\n  flow-ttl-s: 60\n  evacuate-ms: 5000\n  warmup-overshoot: 1.5\n"
        "  warmup-slack: 5\nplatform:\n  address: \"10.200.1.7:8169\"\n";
    CHECK(parse_settings(valid, "f").has_value());
    std::size_t parsed = 0;
    for (int i = 0; i < files; ++i)
    {
        if (const auto read = parse_settings(mutated(valid, random), "f"); read)
        {
            ++parsed;
            CHECK(read.value().config_bound >= 0s && read.value().config_bound <= 24h);
            CHECK(read.value().evacuation_bound.value_or(0s) <= 24h);
            CHECK(read.value().warm_up_overshoot >= 0 && read.value().warm_up_overshoot <= 1e6);
        }
    }
    CHECK(parsed > 0);
}
