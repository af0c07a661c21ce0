#include <platform/packet_header.hpp>
#include <platform/settings.hpp>
#include <platform/store_objects.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

using namespace galenabay;
using namespace galenabay::adapter;
using namespace std::chrono_literals;

namespace
{

constexpr const char* settings_text = R"(node: "edge-east-1"
zone: "east"
bind-addrs:
  datagram-addr: "10.1.0.10:8172"
  readiness-addr: "10.1.0.10:8167"
port-range:
  - 7720
  - 7735
seeds:
  - "10.1.0.10:8166"
data-dir: null
something-new: [1, 2]
bounds:
  config-ms: 3000
  grace-s: 6.5
  flow-ttl-s: 60
platform:
  address: "10.200.1.7:8169"
)";

std::string without(const std::string& part)
{
    std::string text{settings_text};
    return text.erase(text.find(part), part.size());
}

/// Returns the example packet of the wire format's description: a SYN without a token.
std::array<std::byte, header_size> syn_packet()
{
    constexpr std::array<unsigned char, header_size> bytes{
        0x00, 0x00, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x01, 0xbb, 0x00, 0x00,
        0x00, 0x00, 0x10, 0xa1, 0xb2, 0xc3, 0xd5, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00};
    std::array<std::byte, header_size> packet{};
    std::transform(bytes.begin(), bytes.end(), packet.begin(), [](unsigned char byte) { return std::byte{byte}; });
    return packet;
}

std::string list_of(const std::string& spec)
{
    return R"({"items":[{"meta":{"name":"i-7f3a91c2","revision":9},"spec":)" + spec +
           R"(,"status":null}],"more":false,"current-rev":530})";
}

constexpr const char* registration =
    R"({"service":"feed","address":"10.128.0.9:8080","zone":"east","version":"v1","max-concurrency":3,)"
    R"("state":"ready","warmup-left-ms":250,"sequence":4,"born":1785880304094})";

/// Returns the fault of a list's only object; empty when the object can be used.
std::string fault_of(const std::string& spec)
{
    const auto page = decode_list(object_kind::upstreams, list_of(spec), "store");
    CHECK(page.has_value());
    CHECK_EQUAL(page.value().objects.front().fault.empty(), page.value().objects.front().upstream.has_value());
    return page.value().objects.front().fault;
}

std::string with(const std::string& from, const std::string& to)
{
    std::string text{registration};
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(settings_file){};

TEST(settings_file, is_decoded_and_unknown_keys_are_ignored)
{
    const auto read = parse_settings(settings_text, "f");
    CHECK(read.has_value());
    STRCMP_EQUAL("edge-east-1", read.value().host.c_str());
    STRCMP_EQUAL("10.1.0.10:7720", read.value().peers.to_string().c_str());
    STRCMP_EQUAL("10.200.1.7:8169", read.value().store.to_string().c_str());
    CHECK(read.value().stop_bound == 6500ms);
    LONGS_EQUAL(1, read.value().seeds.size());
    STRCMP_EQUAL("10.1.0.10:7720", read.value().seeds.front().to_string().c_str());
    CHECK(read.value().config_bound == 3s);
    CHECK_FALSE(read.value().evacuation_bound.has_value());
}

TEST(settings_file, bounds_of_evacuations_and_of_warm_up_are_optional)
{
    const std::string bounds = "  flow-ttl-s: 60\n";
    const auto with = [&](const std::string& more)
    {
        std::string text{settings_text};
        return parse_settings(text.insert(text.find(bounds), more), "f");
    };
    const auto read = with("  evacuate-ms: 5000\n  warmup-overshoot: 1.5\n  warmup-slack: 5\n");
    CHECK(read.value().evacuation_bound == 5s);
    DOUBLES_EQUAL(1.5, read.value().warm_up_overshoot, 0);
    DOUBLES_EQUAL(5, read.value().warm_up_slack, 0);
    STRCMP_CONTAINS("warmup-slack", with("  warmup-slack: .inf\n").error().detail().c_str());
    STRCMP_CONTAINS("evacuate-ms", with("  evacuate-ms: soon\n").error().detail().c_str());
}

TEST(settings_file, an_error_contains_the_key_that_is_missing_or_wrong)
{
    const auto missing = parse_settings(without("  config-ms: 3000\n"), "f");
    STRCMP_CONTAINS("bounds.config-ms is missing", missing.error().detail().c_str());
    const auto wrong = parse_settings(without("10.200.1.7:"), "f");
    STRCMP_CONTAINS("platform.address", wrong.error().detail().c_str());
    STRCMP_CONTAINS("f:", wrong.error().peer().c_str());
}

TEST(settings_file, rejects_text_without_settings)
{
    for (const auto* text : {"", "a: [", "- 1", "\x01\x02\xff", "just words"})
    {
        CHECK_FALSE(parse_settings(text, "f").has_value());
    }
    CHECK(load_settings("/nonexistent/settings.yaml").error().code() == base::error_code::io_failure);
}

TEST_GROUP(packet_header){};

TEST(packet_header, decodes_the_example_of_the_wire_format)
{
    const auto packet = syn_packet();
    const auto header = decode_header(packet);
    CHECK(header.has_value());
    CHECK(header->syn);
    LONGS_EQUAL(0x64400007, header->flow.caller_address);
    LONGS_EQUAL(40001, header->flow.caller_port);
    LONGS_EQUAL(443, header->flow.service_port);
    LONGS_EQUAL(0x11223344, header->sequence);
    LONGS_EQUAL(0, header->token);
}

TEST(packet_header, rejects_datagrams_of_another_size)
{
    auto packet = syn_packet();
    CHECK_FALSE(decode_header(std::span{packet}.first(header_size - 1)).has_value());
    packet[1] = std::byte{1};
    CHECK_FALSE(decode_header(packet).has_value());
}

TEST(packet_header, writes_and_decodes_a_token)
{
    auto packet = syn_packet();
    write_token(packet, 0xdeadbeef);
    LONGS_EQUAL(0xdeadbeef, decode_header(packet)->token);
}

TEST(packet_header, encodes_a_reset_with_addresses_and_ports_swapped)
{
    const auto packet = syn_packet();
    const auto reset = encode_reset({.flow = decode_header(packet)->flow, .sequence = 0});
    const auto read = decode_header(reset);
    CHECK(read->rst);
    LONGS_EQUAL(0xc6120001, read->flow.caller_address);
    LONGS_EQUAL(443, read->flow.caller_port);
    LONGS_EQUAL(40001, read->flow.service_port);
}

TEST(packet_header, the_upstream_number_is_big_endian)
{
    const auto bytes = encode_upstream_number(0x61065d6876);
    CHECK(bytes[3] == std::byte{0x61});
    CHECK(bytes[7] == std::byte{0x76});
}

TEST_GROUP(store_objects){};

TEST(store_objects, decodes_a_registration)
{
    const auto page = decode_list(object_kind::upstreams, list_of(registration), "store");
    const auto& entry = *page.value().objects.front().upstream;
    STRCMP_EQUAL("feed", entry.service.c_str());
    LONGS_EQUAL(0x7f3a91c2, entry.number);
    LONGS_EQUAL(3, entry.slots);
    CHECK(entry.warm_up_left == 250ms);
    CHECK(entry.started_ms == 1785880304094ULL);
    CHECK_FALSE(entry.draining);
    LONGS_EQUAL(530, page.value().revision.number);
    STRCMP_EQUAL("i-7f3a91c2", page.value().last_name.c_str());
}

// Other writers may put entries with any content into the store.
TEST(store_objects, a_registration_with_an_unusable_field_is_no_upstream)
{
    STRCMP_EQUAL("state", fault_of(with("\"ready\"", "\"resting\"")).c_str());
    STRCMP_EQUAL("state", fault_of(with("\"state\":\"ready\",", "")).c_str());
    STRCMP_EQUAL("address", fault_of(with("10.128.0.9:8080", "nowhere")).c_str());
    STRCMP_EQUAL("address", fault_of(with("\"10.128.0.9:8080\"", "12")).c_str());
    STRCMP_EQUAL("max-concurrency", fault_of(with(":3,", ":\"3\",")).c_str());
    STRCMP_EQUAL("max-concurrency", fault_of(with(":3,", ":0,")).c_str());
    STRCMP_EQUAL("warmup-left-ms", fault_of(with(":250", ":null")).c_str());
    STRCMP_EQUAL("born", fault_of(with("1785880304094", "\"yesterday\"")).c_str());
    STRCMP_EQUAL("sequence", fault_of(with("\"sequence\":4,", "")).c_str());
    STRCMP_EQUAL("version", fault_of(with("\"v1\"", "7")).c_str());
    STRCMP_EQUAL("service", fault_of(with("\"feed\"", "[]")).c_str());
    STRCMP_EQUAL("spec", fault_of("\"\\u0000garbage\"").c_str());
    STRCMP_EQUAL("spec", fault_of("null").c_str());
}

TEST(store_objects, an_unusable_entry_does_not_affect_the_others)
{
    const std::string body = R"({"items":[{"meta":{"name":"i-1"},"spec":7},{"meta":{"name":"i-2"},"spec":)" +
                             std::string{registration} + R"(},{"spec":{}}],"more":true,"current-rev":5})";
    const auto page = decode_list(object_kind::upstreams, body, "store");
    LONGS_EQUAL(2, page.value().objects.size());
    CHECK(page.value().objects[1].upstream.has_value());
    CHECK(page.value().more);
}

TEST(store_objects, decodes_a_configuration_with_a_traffic_split)
{
    const std::string spec =
        R"({"version":7,"routes":[{"name":"r","host":"198.18.0.1","path-prefix":"/8443/","type":"idempotent",)"
        R"("traffic-split":[{"service":"a","weight":90},{"service":"b","weight":10}]},)"
        R"({"name":"q","host":"198.18.0.2","path-prefix":"/80/","service":"b"}],"limits":{"idle-timeout-ms":15000}})";
    const std::string body =
        R"({"events":[{"deleted":false,"object":{"meta":{"name":"main"},"spec":)" + spec + R"(}}],"current-rev":9})";
    const auto page = decode_changes(object_kind::configuration, body, "store");
    const auto& decoded = *page.value().objects.front().configuration;
    LONGS_EQUAL(7, decoded.version);
    LONGS_EQUAL(2, decoded.routes.size());
    LONGS_EQUAL(8443, decoded.routes[0].port);
    LONGS_EQUAL(90, decoded.routes[0].services[0].weight);
    STRCMP_EQUAL("b", decoded.routes[1].services[0].service.c_str());
    CHECK(decoded.idle_timeout == 15s);
}

TEST(store_objects, decodes_what_a_configuration_states_of_routes_and_services)
{
    const std::string spec =
        R"({"version":7,"routes":[{"name":"r","host":"198.18.0.1","path-prefix":"/80/","aim-ms":400,"priority":2,)"
        R"("service":"a"},{"name":"q","host":"198.18.0.2","path-prefix":"/80/","priority":"x","service":"b"}],)"
        R"("services":[{"name":"a","max-conns":2000,"warmup-s":2.5,"warmup-per-s":12.5},{"max-conns":1},7,)"
        R"({"name":"b","max-conns":-1,"warmup-s":-2,"warmup-per-s":"x"}]})";
    const auto page = decode_list(
        object_kind::configuration,
        R"({"items":[{"meta":{"name":"main"},"spec":)" + spec + R"(}],"more":false,"current-rev":9})", "store");
    const auto& decoded = *page.value().objects.front().configuration;
    LONGS_EQUAL(2, decoded.routes[0].urgency);
    CHECK(decoded.routes[0].answer_target == 400ms);
    LONGS_EQUAL(0, decoded.routes[1].urgency);
    const std::vector<galenabay::steer::service_limits> limits{
        {.service = "a", .max_flows = 2000, .warm_up_time = 2500ms, .warm_up_rate = 12.5},
        {.service = "b", .max_flows = 0, .warm_up_time = 0ms, .warm_up_rate = 0}};
    CHECK(decoded.limits == limits);
}

TEST(store_objects, an_evacuation_without_a_readable_specification_evacuates_nothing)
{
    const auto page = decode_list(
        object_kind::evacuations,
        R"({"items":[{"meta":{"name":"east"},"spec":{}},{"meta":{"name":"west"},"spec":"x"}],"more":false,"current-rev":9})",
        "store");
    CHECK(page.value().objects[0].is_evacuation);
    CHECK_FALSE(page.value().objects[1].is_evacuation);
    STRCMP_EQUAL("spec", page.value().objects[1].fault.c_str());
}

TEST(store_objects, the_owner_of_a_starting_upstream_is_read_as_it_was_written)
{
    const steer::share_holder owner{.host = "edge-1", .process_started_us = 1'785'880'304'094'123};
    const auto name = warm_up_object_name("i-3", 1'000);
    STRCMP_EQUAL("i-3-1000", name.c_str());
    const steer::share_holder other{.host = "edge-2", .process_started_us = 7};
    for (const auto& holders : {std::vector{owner}, std::vector{owner, other}})
    {
        const auto body = encode_warm_up(name, holders);
        const auto read = decode_single(object_kind::warm_ups, body, "store");
        CHECK(read.value().warm_up == holders);
        STRCMP_EQUAL(name.c_str(), read.value().name.c_str());
        // One process has no list, as in an object of an earlier release.
        CHECK_EQUAL(holders.size() > 1, body.find("shares") != std::string::npos);
    }
}

// Failure: an answer that cannot be read must not make this host an owner.
TEST(store_objects, an_unreadable_owner_of_a_starting_upstream_is_none)
{
    for (const auto* spec :
         {"{}", R"({"host":""})", R"({"host":"a"})", R"({"host":"a","process-started-us":"1"})",
          R"({"process-started-us":1})", "null", R"({"host":"a","process-started-us":1,"shares":[]})",
          R"({"host":"a","process-started-us":1,"shares":null})",
          R"({"host":"a","process-started-us":1,"shares":[{"host":"a"}]})",
          R"({"host":"a","process-started-us":1,"shares":[{"host":"a","process-started-us":2}]})"})
    {
        const auto body = std::string{R"({"meta":{"name":"i-3-1000"},"spec":)"} + spec + "}";
        const auto read = decode_single(object_kind::warm_ups, body, "store");
        CHECK(read.value().warm_up.empty());
        CHECK_FALSE(read.value().fault.empty());
    }
    CHECK_FALSE(decode_single(object_kind::warm_ups, "{}", "store").has_value());
}

TEST(store_objects, a_removed_object_has_no_fault)
{
    const auto page =
        decode_changes(object_kind::upstreams,
                       R"({"events":[{"deleted":true,"object":{"meta":{"name":"i-1"}}}],"current-rev":9})", "store");
    CHECK(page.value().objects.front().removed);
    CHECK(page.value().objects.front().fault.empty());
}

TEST(store_objects, rejects_an_answer_that_is_no_page)
{
    for (const auto* body : {"", "{", "[]", "{\"items\":1}", "{\"items\":[]}", "{\"events\":[],\"current-rev\":1}"})
    {
        CHECK_FALSE(decode_list(object_kind::upstreams, body, "store").has_value());
    }
}
