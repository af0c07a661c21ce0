#include "steer_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::steer;
using namespace galenabay::steer::test;

TEST_GROUP(upstream_probe)
{
    const upstream_entry suspect = make_upstream("i-1", 1);
    const upstream_entry good = make_upstream("i-2", 2);
    test_host host{{suspect, good}};

    /// Two flows on the suspect, one of which waits for an answer, until a probe is
    /// asked for; the other upstream answers.
    void wait_without_answer()
    {
        host.core.on_packet(data(1, token_of(suspect), 1, 5), at(0ms));
        host.core.on_packet(data(2, token_of(suspect), 1, 6), at(0ms));
        for (const auto now : {200ms, 600ms})
        {
            host.run_until(now);
            host.core.on_packet(data(1, token_of(suspect), 1, 5), at(now));
            answer_from_good(now);
        }
    }

    void answer_from_good(base::duration now)
    {
        const auto position = static_cast<std::uint32_t>(now.count() / 1000);
        host.core.on_packet(data(3, token_of(good), position, position), at(now));
    }

    void receive_votes(std::size_t votes, base::duration now)
    {
        host.core.set_peer_count(8);
        host.core.on_remote_view(token_of(suspect),
                                 {.flows = 3, .silence_votes = votes, .unreachable_votes = votes, .answered_ago = {}},
                                 at(now));
    }

    void check_forwarded(base::duration now)
    {
        const auto decision = host.core.on_packet(data(2, token_of(suspect), 1, 6), at(now));
        CHECK(decision.action == steering_action::forward);
    }

    std::size_t resets_after(probe_result result, base::duration now)
    {
        return host.core.on_probe(token_of(suspect), result, at(now)).resets.size();
    }
};

TEST(upstream_probe, silence_asks_for_one_attempt_to_connect)
{
    wait_without_answer();
    const auto asked = host.core.take_probe_requests();
    LONGS_EQUAL(1, asked.size());
    LONGS_EQUAL(token_of(suspect), asked.front().token);
    CHECK(asked.front().address == suspect.address);
    host.core.on_packet(data(1, token_of(suspect), 1, 5), at(700ms));
    CHECK(host.core.take_probe_requests().empty());
}

TEST(upstream_probe, an_opening_packet_without_an_answer_asks_for_one_too)
{
    test_host alone{{suspect}};
    alone.core.on_packet(syn(1), at(0ms));
    alone.run_until(100ms);
    CHECK(alone.core.take_probe_requests().empty());
    alone.run_until(400ms);
    LONGS_EQUAL(1, alone.core.take_probe_requests().size());
}

TEST(upstream_probe, silence_at_other_hosts_asks_for_none_unless_they_could_not_connect)
{
    host.core.on_packet(data(1, token_of(suspect), 1, 5), at(0ms));
    host.run_until(1s);
    host.core.set_peer_count(8);
    host.core.on_remote_view(token_of(suspect), {.silence_votes = 3, .answered_ago = {}}, at(1s));
    CHECK(host.core.take_probe_requests().empty());
    receive_votes(1, 1s);
    LONGS_EQUAL(1, host.core.take_probe_requests().size());
}

TEST(upstream_probe, a_slow_answer_asks_for_none)
{
    host.core.on_packet(data(1, token_of(suspect), 1, 5), at(0ms));
    host.run_until(200ms);
    host.core.on_packet(data(1, token_of(suspect), 1, 5), at(200ms));
    host.run_until(500ms);
    CHECK(host.core.take_probe_requests().empty());
}

TEST(upstream_probe, a_refused_connection_resets_all_flows_at_once)
{
    wait_without_answer();
    receive_votes(0, 600ms);
    const auto effects = host.core.on_probe(token_of(suspect), probe_result::refused, at(610ms));
    LONGS_EQUAL(2, effects.resets.size());
    for (const auto& lost : effects.resets)
    {
        CHECK(lost.reason == steering_reason::upstream_silent);
        LONGS_EQUAL(token_of(suspect), lost.token);
    }
    for (std::uint16_t port = 10; port < 30; ++port)
    {
        LONGS_EQUAL(2, host.core.on_packet(syn(port), at(620ms)).upstream_number);
    }
}

TEST(upstream_probe, a_lost_attempt_alone_resets_nothing)
{
    wait_without_answer();
    host.core.take_probe_requests();
    receive_votes(1, 600ms);
    LONGS_EQUAL(0, resets_after(probe_result::unreachable, 850ms));
    LONGS_EQUAL(1, host.core.take_probe_requests().size());
    LONGS_EQUAL(2, resets_after(probe_result::unreachable, 1100ms));
}

TEST(upstream_probe, one_attempt_is_enough_when_several_hosts_find_the_upstream_silent)
{
    wait_without_answer();
    receive_votes(2, 600ms);
    LONGS_EQUAL(2, resets_after(probe_result::unreachable, 850ms));
}

TEST(upstream_probe, lost_attempts_reset_nothing_while_no_other_host_finds_the_upstream_silent)
{
    // This host's own link may be full.
    wait_without_answer();
    receive_votes(0, 600ms);
    LONGS_EQUAL(0, resets_after(probe_result::unreachable, 850ms));
    LONGS_EQUAL(0, resets_after(probe_result::unreachable, 1100ms));
    check_forwarded(1200ms);
}

TEST(upstream_probe, an_accepted_connection_keeps_the_flows_whatever_other_hosts_see)
{
    wait_without_answer();
    receive_votes(3, 600ms);
    LONGS_EQUAL(0, resets_after(probe_result::reachable, 610ms));
    receive_votes(3, 1500ms);
    LONGS_EQUAL(0, host.run_until(2s).resets.size());
    check_forwarded(2s);
}

TEST(upstream_probe, an_answer_during_the_attempts_keeps_the_flows)
{
    wait_without_answer();
    receive_votes(3, 600ms);
    host.core.on_packet(data(2, token_of(suspect), 101, 60), at(700ms));
    LONGS_EQUAL(0, resets_after(probe_result::refused, 850ms));
}

TEST(upstream_probe, a_pause_of_the_process_makes_the_attempts_void)
{
    wait_without_answer();
    receive_votes(3, 600ms);
    host.core.on_tick(at(4s));
    LONGS_EQUAL(0, resets_after(probe_result::unreachable, 4s));
}

TEST(upstream_probe, a_lost_result_does_not_end_the_attempts)
{
    wait_without_answer();
    LONGS_EQUAL(1, host.core.take_probe_requests().size());
    host.run_until(3s);
    host.core.on_packet(data(1, token_of(suspect), 1, 5), at(3s));
    LONGS_EQUAL(1, host.core.take_probe_requests().size());
}

TEST(upstream_probe, a_result_for_an_unknown_or_ended_upstream_changes_nothing)
{
    wait_without_answer();
    host.core.on_upstream(make_upstream("i-1", 1, 2000), at(700ms));
    LONGS_EQUAL(0, resets_after(probe_result::refused, 750ms));
    LONGS_EQUAL(0, host.core.on_probe(12345, probe_result::refused, at(750ms)).resets.size());
}
