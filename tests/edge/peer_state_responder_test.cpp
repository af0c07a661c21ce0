#include "../../src/edge/peer_state_responder.hpp"

#include <galenabay/base/hash.hpp>
#include <galenabay/peers/message_codec.hpp>

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::edge;
using namespace std::chrono_literals;

TEST_GROUP(peer_state_responder)
{
    shared_state state{base::endpoint{}};
    peer_state_responder responder{state};

    static base::time_point at(base::duration since_start)
    {
        return base::time_point{1h} + since_start;
    }
    /// Publishes routes with names that hardly compress.
    void publish(std::size_t routes)
    {
        auto known = std::make_shared<peers::edge_state>();
        known->configuration.version = 7;
        for (std::size_t i = 0; i < routes; ++i)
        {
            const auto name = std::to_string(base::hash_text(std::to_string(i)));
            known->configuration.routes.push_back({.name = name, .services = {{.service = "feed"}}});
        }
        state.publish(adapter::object_kind::configuration, std::move(known));
    }
    net::status_response respond(base::duration since_start)
    {
        return responder.respond(adapter::object_kind::configuration, at(since_start));
    }
};

TEST(peer_state_responder, serves_nothing_before_the_host_has_a_state)
{
    LONGS_EQUAL(net::status_unavailable, respond(0s).status);
}

TEST(peer_state_responder, serves_a_small_state_at_any_rate)
{
    publish(10);
    for (int i = 0; i < 100; ++i)
    {
        LONGS_EQUAL(net::status_ok, respond(0s).status);
    }
    LONGS_EQUAL(7, peers::decode_state(respond(0s).body).value().configuration.version);
}

// Failure: a state of more than 64 KiB was not served, and hosts that the store turned away kept an old one (review/7).
TEST(peer_state_responder, serves_a_large_state_at_a_limited_rate)
{
    publish(10'000);
    std::size_t bytes = 0;
    for (base::duration now{0}; now < 10s; now += 10ms)
    {
        const auto answer = respond(now);
        bytes += answer.status == net::status_ok ? answer.body.size() : 0;
    }
    CHECK(respond(20s).body.size() > max_unlimited_state_bytes);
    CHECK(bytes <= 11 * large_state_bytes_per_second);
    CHECK(bytes >= 8 * large_state_bytes_per_second);
}

TEST(peer_state_responder, leaves_a_state_to_the_store_that_takes_too_long)
{
    publish(60'000);
    LONGS_EQUAL(net::status_unavailable, respond(0s).status);
}

TEST(peer_state_responder, compresses_a_large_state)
{
    publish(2'000);
    const auto known = state.snapshot(adapter::object_kind::configuration);
    const auto body = respond(0s).body;
    CHECK(body.size() < peers::encode(*known).size());
    CHECK(peers::decode_state(body).value() == *known);
}

TEST(peer_state_responder, serves_the_latest_state)
{
    publish(10);
    const auto before = respond(0s).body;
    publish(11);
    CHECK(before != respond(0s).body);
}
