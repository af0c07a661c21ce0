#include <galenabay/base/random.hpp>
#include <galenabay/peers/fleet_exchange.hpp>
#include <galenabay/peers/message_codec.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

using namespace galenabay;
using namespace galenabay::peers;

namespace
{

constexpr std::size_t word_size = 8;

steer::upstream_entry make_entry(const std::string& id)
{
    return {.id = id,
            .number = 77,
            .started_ms = 1785880304094,
            .service = "feed",
            .address = base::endpoint::make_v4(0x0a800009, 8080),
            .data_centre = "east",
            .slots = 3,
            .draining = false,
            .warm_up_left = std::chrono::milliseconds{250},
            .sequence = 31,
            .revision = {.epoch = 3, .number = 12}};
}

collector_stamp make_stamp(const std::string& name, const std::string& data_centre)
{
    return {.sender = {.name = name, .address = base::endpoint::make_v4(0x0a010002, 7720), .data_centre = data_centre},
            .started_us = 5,
            .sequence = 6,
            .hosts = 39};
}

host_status make_status(const std::string& name)
{
    host_status status;
    status.name = name;
    status.started_us = 5;
    status.sequence = 6;
    status.data_centre = "east";
    status.configuration_version = 7;
    status.upstreams_revision = {.epoch = 3, .number = 12};
    status.with_loads = true;
    status.loads = {{.token = 9, .flows = 3, .open_requests = 1}, {.token = 12, .flows = 1, .open_requests = 0}};
    status.silent = {9, 10};
    status.unreachable = {10};
    status.interval = std::chrono::milliseconds{500};
    return status;
}

/// One message of each kind.
std::vector<message> make_messages()
{
    const load_page page{.first = 8, .last = 100, .loads = make_status("").loads};
    const std::vector<upstream_votes> votes{{.token = 9, .silent = 2, .unreachable = 1}};
    auto joining = make_status("edge-3");
    joining.joining = true;
    return {
        make_status("edge-2"),
        joining,
        upstream_changes{.previous_revision = {.epoch = 3, .number = 11},
                         .revision = {.epoch = 3, .number = 12},
                         .entries = {make_entry("i-1"), make_entry("i-2")},
                         .removed = {{.id = "i-3", .revision = {.epoch = 3, .number = 12}}},
                         .data_centre = "east"},
        load_summary{.collector = make_stamp("edge-west", "west"),
                     .follows_store = true,
                     .configuration_version = 7,
                     .upstreams_revision = {.epoch = 3, .number = 12},
                     .page = page,
                     .votes = votes},
        load_digest{.collector = make_stamp("edge-2", "east"),
                    .remote_hosts = 100,
                    .page = page,
                    .remote_votes = votes,
                    .members = {make_stamp("edge-4", "east").sender}},
        member_list{.members = {make_stamp("edge-5", "west").sender}},
        steer::warm_up_shares{
            .id = "i-1",
            .started_ms = 1785880304094,
            .epoch = 3,
            .holders = {{.host = "edge-2", .process_started_us = 5}, {.host = "edge-1", .process_started_us = 6}}},
        relayed_syn{.packet = std::vector<std::byte>(31, std::byte{1}), .receiver = 2, .service = 3, .passes_left = 1}};
}

/// Undoes the packing of a message.
std::vector<std::byte> unpacked(const std::vector<std::byte>& packed)
{
    std::vector<std::byte> words;
    for (std::size_t i = 0; i < packed.size();)
    {
        const auto tag = std::to_integer<unsigned>(packed[i++]);
        for (unsigned bit = 0; bit < word_size; ++bit)
        {
            words.push_back((tag >> bit & 1U) != 0 ? packed[i++] : std::byte{0});
        }
        if (tag == 0x00 || tag == 0xff)
        {
            const auto count = std::to_integer<std::size_t>(packed[i++]) * word_size;
            for (std::size_t j = 0; j < count; ++j)
            {
                words.push_back(tag == 0 ? std::byte{0} : packed[i++]);
            }
        }
    }
    return words;
}

/// Packs whole words without making them shorter.
template <typename Bytes> Bytes packed(const std::vector<std::byte>& words)
{
    using value_type = typename Bytes::value_type;
    Bytes out;
    for (std::size_t i = 0; i + word_size <= words.size(); i += word_size)
    {
        out.push_back(static_cast<value_type>(0xff));
        for (std::size_t j = i; j < i + word_size; ++j)
        {
            out.push_back(static_cast<value_type>(words[j]));
        }
        out.push_back(static_cast<value_type>(0));
    }
    return out;
}

/// Changes bits, bytes or words at random: pointers that leave the message, point at each other
/// or at themselves, and counts of any size.
void damage(std::vector<std::byte>& words, base::random_source& random)
{
    for (std::uint64_t i = 0, edits = 1 + random.below(5); i < edits; ++i)
    {
        const auto at = random.below(words.size());
        const auto word = at / word_size * word_size;
        const auto other = random.below(words.size()) / word_size * word_size;
        switch (random.below(4))
        {
        case 0:
            words[at] ^= static_cast<std::byte>(1U << random.below(8));
            break;
        case 1:
            words[at] = static_cast<std::byte>(random.below(256));
            break;
        case 2:
            std::copy_n(words.begin() + static_cast<std::ptrdiff_t>(other), word_size,
                        words.begin() + static_cast<std::ptrdiff_t>(word));
            break;
        default:
            std::fill_n(words.begin() + static_cast<std::ptrdiff_t>(word), word_size, std::byte{0xff});
            break;
        }
    }
}

constexpr int rounds = 2'000;

} // namespace

/// Messages of other hosts that are damaged, of another version, or of another deployment.
TEST_GROUP(odd_messages)
{
    base::random_source random{36};
    base::time_point now{std::chrono::hours{1}};
    fleet_exchange exchange{{.name = "edge-1",
                             .data_centre = "east",
                             .started_us = 5,
                             .address = base::endpoint::make_v4(0x0a010001, 7720)},
                            {base::endpoint::make_v4(0x0a010009, 7720)},
                            {},
                            1};

    /// Applies a message as the packet thread does.
    void apply(const message& received)
    {
        now += std::chrono::milliseconds{20};
        const auto effects = exchange.on_message(received, base::endpoint::make_v4(0x0a010002, 7720), now);
        for (const auto& reply : effects.messages)
        {
            CHECK(!encode(reply.content).empty());
        }
        exchange.update_watch(true, now);
        for (const auto& sent : exchange.on_tick(make_status("edge-1"), now))
        {
            CHECK(!encode(sent.content).empty());
        }
        exchange.remote_loads(now);
        exchange.votes(now);
        exchange.with_newer_configuration(1, now);
        exchange.with_newer_upstreams({}, now);
        exchange.expire(now);
    }
};

TEST(odd_messages, the_packing_of_this_test_is_that_of_the_messages)
{
    for (const auto& one : make_messages())
    {
        CHECK(decode_message(packed<std::vector<std::byte>>(unpacked(encode(one)))).value() == one);
    }
}

// Class of failure: something from outside ends the process.
TEST(odd_messages, damaged_ones_end_no_process)
{
    std::size_t decoded = 0;
    const auto whole = make_messages();
    for (int round = 0; round < rounds; ++round)
    {
        auto words = unpacked(encode(whole[random.below(whole.size())]));
        damage(words, random);
        if (const auto read = decode_message(packed<std::vector<std::byte>>(words)); read)
        {
            ++decoded;
            apply(read.value());
        }
    }
    CHECK(decoded > 0);
}

TEST(odd_messages, damaged_states_end_no_process)
{
    edge_state state;
    state.configuration = {
        .version = 7,
        .routes = {{.name = "r",
                    .address = 0xc6120001,
                    .port = 443,
                    .services = {{.service = "feed", .weight = 1}, {.service = "other", .weight = 2}}}},
        .idle_timeout = std::chrono::seconds{15}};
    state.upstreams.entries = {make_entry("i-1"), make_entry("i-2")};
    const auto encoded = encode(state);
    std::vector<std::byte> bytes(encoded.size());
    std::transform(encoded.begin(), encoded.end(), bytes.begin(), [](char one) { return static_cast<std::byte>(one); });
    std::size_t decoded = 0;
    for (int round = 0; round < rounds; ++round)
    {
        auto words = unpacked(bytes);
        damage(words, random);
        if (const auto read = decode_state(packed<std::string>(words)); read)
        {
            ++decoded;
            CHECK(!encode(read.value()).empty());
        }
    }
    CHECK(decoded > 0);
}

TEST(odd_messages, random_bytes_end_no_process)
{
    for (int round = 0; round < rounds; ++round)
    {
        std::vector<std::byte> bytes(random.below(200));
        std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<std::byte>(random.below(256)); });
        if (const auto read = decode_message(bytes); read)
        {
            apply(read.value());
        }
    }
}

// A message that comes back to its sender, or that a host of the same name sends.
TEST(odd_messages, its_own_name_makes_no_host_its_peer)
{
    for (int i = 0; i < 10; ++i)
    {
        auto own = make_status("edge-1");
        own.sequence = static_cast<std::uint64_t>(i) + 100;
        apply(own);
        own.joining = true;
        apply(own);
        apply(load_digest{.collector = make_stamp("edge-1", "east"),
                          .remote_hosts = 100,
                          .page = {},
                          .remote_votes = {},
                          .members = {make_stamp("edge-1", "east").sender}});
    }
    LONGS_EQUAL(0, exchange.live_count(now));
}
