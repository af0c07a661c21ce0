#include <galenabay/base/random.hpp>
#include <galenabay/peers/answer_time_report_codec.hpp>
#include <galenabay/peers/message_codec.hpp>

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::peers;
using namespace std::chrono_literals;

namespace
{

steer::upstream_entry make_entry(const std::string& id)
{
    return {.id = id,
            .number = 77,
            .started_ms = 1785880304094,
            .service = "feed",
            .address = base::endpoint::make_v4(0x0a800009, 8080),
            .data_centre = "east",
            .slots = 3,
            .draining = true,
            .warm_up_left = std::chrono::milliseconds{250},
            .sequence = 31,
            .revision = {.epoch = 3, .number = 12}};
}

steer::demand_sum make_demands()
{
    return {.services = {{.service = 5, .open_requests = 7, .admitted = 320, .rejected = 3, .offered = {16, 900}},
                         {.service = 0xfedc'ba98'7654'3210, .offered = {1}}},
            .age = std::chrono::milliseconds{750}};
}

host_status make_status()
{
    return {.name = "edge-east-1",
            .started_us = 5,
            .sequence = 6,
            .data_centre = "east",
            .follows_store = true,
            .store_lost = true,
            .leaving = false,
            .configuration_version = 7,
            .upstreams_revision = {.epoch = 3, .number = 12},
            .upstreams_digest = 41,
            .with_loads = true,
            .loads = {{.token = 9, .flows = 3, .open_requests = 1}},
            .silent = {9, 10},
            .unreachable = {10},
            .joining = true,
            .interval = std::chrono::milliseconds{1'170},
            .evacuations = steer::evacuation_set{.revision = {.epoch = 3, .number = 14},
                                                 .evacuations = {{.data_centre = "west", .revision_number = 13}}},
            .demands = make_demands().services};
}

collector_stamp make_stamp()
{
    return {
        .sender = {.name = "edge-east-1", .address = base::endpoint::make_v4(0x0a010001, 7720), .data_centre = "east"},
        .started_us = 5,
        .sequence = 6,
        .hosts = 39};
}

load_page make_page()
{
    return {.first = 8, .last = 100, .loads = {{.token = 9, .flows = 3, .open_requests = 1}}};
}

} // namespace

TEST_GROUP(message_codec){};

TEST(message_codec, encodes_and_decodes_a_status)
{
    const auto status = make_status();
    const auto decoded = decode_message(encode(message{status}));
    CHECK(std::get<host_status>(decoded.value()) == status);
}

TEST(message_codec, encodes_and_decodes_a_summary)
{
    const load_summary summary{.collector = make_stamp(),
                               .follows_store = true,
                               .configuration_version = 7,
                               .upstreams_revision = {.epoch = 3, .number = 12},
                               .page = make_page(),
                               .votes = {{.token = 9, .silent = 2, .unreachable = 1}},
                               .relayed = true,
                               .evacuations = make_status().evacuations,
                               .demands = make_demands()};
    CHECK(std::get<load_summary>(decode_message(encode(message{summary})).value()) == summary);
}

TEST(message_codec, encodes_and_decodes_a_digest)
{
    const load_digest digest{
        .collector = make_stamp(),
        .remote_hosts = 156,
        .page = make_page(),
        .remote_votes = {{.token = 9, .silent = 2, .unreachable = 1}},
        .members = {make_stamp().sender},
        .evacuations = make_status().evacuations,
        .local_demands = make_demands(),
        .remote_demands = {.services = {{.service = 9, .offered = {0, 4}}}, .age = std::chrono::milliseconds{20}}};
    CHECK(std::get<load_digest>(decode_message(encode(message{digest})).value()) == digest);
}

TEST(message_codec, encodes_and_decodes_a_list_of_members)
{
    const member_list list{.members = {make_stamp().sender}};
    CHECK(std::get<member_list>(decode_message(encode(message{list})).value()) == list);
}

TEST(message_codec, encodes_and_decodes_the_shares_of_a_starting_upstream)
{
    steer::warm_up_shares shares{.id = "i-1", .started_ms = 1785880304094, .epoch = 3, .holders = {}};
    for (std::uint64_t i = 0; i < steer::max_share_holders; ++i)
    {
        shares.holders.push_back(
            {.host = "edge-east-" + std::to_string(100 + i), .process_started_us = 1'785'880'304'094'123 + i});
    }
    const auto encoded = encode(message{shares});
    CHECK(std::get<steer::warm_up_shares>(decode_message(encoded).value()) == shares);
    // Failure: a datagram that states a million holders took the memory of a small host.
    shares.holders.push_back(shares.holders.front());
    CHECK(std::get<steer::warm_up_shares>(decode_message(encode(message{shares})).value()).holders.empty());
    // An owner sends up to 25 of these a second, and a host has 22 KB/s for all messages.
    CHECK(encoded.size() <= 600);
}

TEST(message_codec, encodes_and_decodes_changes)
{
    const upstream_changes changes{.previous_revision = {.epoch = 2, .number = 40},
                                   .revision = {.epoch = 3, .number = 12},
                                   .entries = {make_entry("i-1"), make_entry("i-2")},
                                   .removed = {{.id = "i-3", .revision = {.epoch = 3, .number = 11}}},
                                   .data_centre = "east"};
    const auto decoded = decode_message(encode(message{changes}));
    CHECK(std::get<upstream_changes>(decoded.value()) == changes);
}

TEST(message_codec, encodes_and_decodes_a_state)
{
    edge_state state;
    state.configuration.version = 7;
    state.configuration.routes.push_back({.name = "r",
                                          .address = 1,
                                          .port = 80,
                                          .services = {{.service = "a", .weight = 90}},
                                          .urgency = 2,
                                          .answer_target = std::chrono::milliseconds{400}});
    state.configuration.limits.push_back(
        {.service = "a", .max_flows = 2'000, .warm_up_time = std::chrono::milliseconds{2'500}, .warm_up_rate = 12.5});
    state.upstreams.revision = {.epoch = 3, .number = 12};
    state.upstreams.entries.push_back(make_entry("i-1"));
    state.evacuations = make_status().evacuations;
    state.starting = {{.id = "i-1", .share_rate = 0.75}};
    state.limited_flows = 12;
    state.relayed_syns = 13;
    state.opened_for_others = 14;
    CHECK(decode_state(encode(state)).value() == state);
}

// Failure: the traffic of relaying exceeds its limit, or a host steers bytes that are no SYN.
TEST(message_codec, a_relayed_syn_is_small_and_a_larger_packet_is_not_read)
{
    relayed_syn relayed{.packet = std::vector<std::byte>(max_relayed_packet, std::byte{0x5a}),
                        .receiver = 0xfedcba98,
                        .service = 0xfedcba9876543210,
                        .passes_left = 3};
    const auto encoded = encode(message{relayed});
    CHECK(encoded.size() <= max_relayed_size);
    CHECK(decode_message(encoded).value() == message{relayed});
    relayed.packet.push_back(std::byte{0x5a});
    CHECK(std::get<relayed_syn>(decode_message(encode(message{relayed})).value()).packet.empty());
}

TEST(message_codec, corrupt_bytes_do_not_crash_the_decoder_and_empty_ones_are_rejected)
{
    const auto encoded = encode(message{make_status()});
    for (std::uint64_t seed = 1; seed <= 3000; ++seed)
    {
        base::random_source random{seed};
        auto bytes = encoded;
        for (std::uint64_t flips = 1 + random.below(6); flips > 0; --flips)
        {
            bytes[random.below(bytes.size())] = static_cast<std::byte>(random.below(256));
        }
        bytes.resize(random.below(bytes.size() + 1));
        // Corrupt bytes may decode or not, but must not crash; what decodes can be encoded.
        if (const auto decoded = decode_message(bytes); decoded)
        {
            CHECK(!encode(decoded.value()).empty());
        }
    }
    CHECK_FALSE(decode_message({}).has_value());
    CHECK_FALSE(decode_state("").has_value());
}

// Failure: a part of another host's state, received without a length, was taken for a state with fewer upstreams.
TEST(message_codec, a_state_that_is_broken_off_is_never_taken_for_a_whole_one)
{
    edge_state state;
    state.configuration.version = 7;
    state.upstreams.entries = {make_entry("i-1"), make_entry("i-2")};
    const auto encoded = encode(state);
    for (std::size_t size = 0; size < encoded.size(); ++size)
    {
        CHECK_FALSE(decode_state(encoded.substr(0, size)).has_value());
    }
}

// Failure: a registration without a number, from another host, ended the process at the first
// packet that was steered to it.
TEST(message_codec, leaves_out_unusable_registrations_of_other_hosts)
{
    auto without_number = make_entry("i-2");
    without_number.number = 0;
    auto without_port = make_entry("i-3");
    without_port.address = base::endpoint::make_v4(0x0a800009, 0);
    auto multicast = make_entry("i-4");
    multicast.address = base::endpoint::make_v4(0xe0000001, 8080);
    const upstream_changes sent{
        .previous_revision = {},
        .revision = {.epoch = 3, .number = 12},
        .entries = {make_entry("i-1"), without_number, without_port, make_entry(""), multicast, make_entry("i-5")},
        .removed = {},
        .data_centre = "east"};
    const auto decoded = decode_message(encode(message{sent}));
    const auto& read = std::get<upstream_changes>(decoded.value());
    LONGS_EQUAL(2, read.entries.size());
    CHECK(read.entries[0] == make_entry("i-1"));
    CHECK(read.entries[1] == make_entry("i-5"));
    LONGS_EQUAL(4, read.unusable);
    LONGS_EQUAL(4, decode_state(encode(edge_state{.configuration = {}, .upstreams = sent})).value().upstreams.unusable);
}

// Failure: times far out of range overflowed when they were added to the current time.
TEST(message_codec, bounds_the_times_of_other_hosts)
{
    auto cold = make_entry("i-1");
    cold.warm_up_left = base::duration::max();
    const steer::configuration endless{.version = 7, .routes = {}, .idle_timeout = base::duration::min()};
    const edge_state sent{
        .configuration = endless,
        .upstreams = {.previous_revision = {}, .revision = {}, .entries = {cold}, .removed = {}, .data_centre = {}}};
    const auto read = decode_state(encode(sent));
    CHECK(read.value().upstreams.entries[0].warm_up_left == std::chrono::hours{1});
    CHECK(read.value().configuration.idle_timeout == base::duration{0});
    auto status = make_status();
    status.interval = std::chrono::milliseconds{4'000'000'000};
    const auto heard = decode_message(encode(message{status}));
    CHECK(std::get<host_status>(heard.value()).interval == std::chrono::minutes{1});
}

TEST(message_codec, leaves_out_members_that_cannot_be_sent_to)
{
    const member_list sent{
        .members = {{.name = "a", .address = base::endpoint::make_v4(0x0a010001, 0), .data_centre = "east"},
                    {.name = "b", .address = base::endpoint::make_v4(0x0a010002, 7720), .data_centre = "east"}}};
    const auto read = decode_message(encode(message{sent}));
    LONGS_EQUAL(1, std::get<member_list>(read.value()).members.size());
    STRCMP_EQUAL("b", std::get<member_list>(read.value()).members[0].name.c_str());
}

// Failure: an answer that ended early, or one with names that need escapes, is shown as complete or as another one.
TEST(message_codec, estimates_are_decoded_only_when_complete)
{
    const steer::answer_time_report report{
        .upstreams = {{.service = "fe\"ed", .id = "i-1", .relative = 3.5, .samples = 12, .newest_sample_ago = 240ms},
                      {.service = "feed", .id = "i-2"}},
        .left_out = 3};
    const auto text = encode(report);
    CHECK(decode_answer_times(text).value() == report);
    for (std::size_t size = 0; size < text.size(); ++size)
    {
        CHECK(decode_answer_times(text.substr(0, size)).error().code() == base::error_code::malformed);
    }
    CHECK_FALSE(decode_answer_times(R"({"upstreams":[{"service":"a","id":"b","relative":"1"}],"left_out":0})"));
    CHECK_FALSE(decode_answer_times(R"({"upstreams":7,"left_out":0})"));
    CHECK_FALSE(decode_answer_times(std::string(100'000, '[')));
}
