#include "steer_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay::steer;
using namespace galenabay::steer::test;

/// Flows around the restart of an upstream under its id and address, at 20 s. One host learns of
/// it at once, the other one later.
TEST_GROUP(restarted_upstream)
{
    const upstream_entry before = make_upstream("i-1", 1, 1000);
    const upstream_entry after = make_upstream("i-1", 1, 2000);
    test_host early{{before}, 1};
    test_host late{{before}, 2};

    void setup() override
    {
        early.core.set_peer_count(8);
        late.core.set_peer_count(8);
    }

    /// A flow that sends a request through `host` each 200 ms in a time, and gets its answer.
    void use(test_host & host, std::uint16_t port, std::chrono::milliseconds from, std::chrono::milliseconds until)
    {
        for (auto now = from; now < until; now += 200ms)
        {
            host.run_until(now);
            const auto sent = static_cast<std::uint32_t>(now.count());
            check_action(steering_action::forward,
                         host.core.on_packet(data(port, token_of(before), sent, sent), at(now)));
        }
    }
};

// Failure (edge_soak seeds 312, 506 and 507): hosts reset flows that were open on a restarted
// upstream, because a host that did not know of the restart had opened them by the earlier token.
TEST(restarted_upstream, a_flow_that_another_host_opened_by_the_earlier_token_continues)
{
    early.run_until(20s);
    late.run_until(20s);
    LONGS_EQUAL(0, early.core.on_upstream(after, at(20s)).resets.size());
    const auto opened = late.core.on_packet(syn(1), at(20'500ms));
    LONGS_EQUAL(token_of(before), opened.token);
    // Packets reach either host, each of them by the token that the flow's last packet had.
    const auto followed = early.core.on_packet(data(1, opened.token, 1, 500), at(20'600ms));
    check_action(steering_action::forward, followed);
    LONGS_EQUAL(token_of(after), followed.token);
    LONGS_EQUAL(opened.upstream_number, followed.upstream_number);
    CHECK(opened.upstream == followed.upstream);
    check_action(steering_action::forward, late.core.on_packet(data(1, opened.token, 101, 600), at(20'700ms)));
    late.run_until(21s);
    LONGS_EQUAL(0, late.core.on_upstream(after, at(21s)).resets.size());
    LONGS_EQUAL(token_of(after), late.core.on_packet(data(1, opened.token, 201, 700), at(21s)).token);
    LONGS_EQUAL(token_of(after), late.core.on_packet(data(1, token_of(after), 201, 700), at(21'200ms)).token);
    LONGS_EQUAL(1, late.core.registry().find(token_of(after))->flows);
    LONGS_EQUAL(0, late.core.registry().find(token_of(before))->flows);
    LONGS_EQUAL(0, early.run_until(30s).resets.size() + late.run_until(30s).resets.size());
}

// Failure that the above must not cause: callers of the ended incarnation learn of it late. The
// second flow is recent, but the incarnation answered a request that was sent after it was opened.
TEST(restarted_upstream, flows_that_were_open_on_the_earlier_incarnation_are_reset_at_once)
{
    use(late, 1, 100ms, 18s);
    late.core.on_packet(syn(2), at(17'500ms));
    late.core.on_packet(data(2, token_of(before), 1, 500), at(17'600ms));
    use(late, 1, 18s, 19s);
    late.run_until(20s);
    LONGS_EQUAL(2, late.core.on_upstream(after, at(20s)).resets.size());
    // The resets may be lost.
    check_reason(steering_reason::upstream_ended, late.core.on_packet(data(1, token_of(before), 1, 1), at(20'200ms)));
    check_reason(steering_reason::upstream_ended, late.core.on_packet(data(2, token_of(before), 1, 1), at(20'600ms)));
    // A caller may use the port again.
    check_action(steering_action::forward, late.core.on_packet(syn(2), at(20'700ms)));
}

// A caller acknowledges an answer with its next request, so that the earlier incarnation seems to
// answer after its end; a flow that was opened on the new one by then was taken for one of before.
TEST(restarted_upstream, a_late_acknowledgement_does_not_count_flows_to_the_earlier_incarnation)
{
    use(late, 1, 100ms, 19s);
    late.run_until(19'100ms);
    // The request is sent twice, or the host would take it for abandoned.
    late.core.on_packet(data(1, token_of(before), 18'900, 18'900), at(19'100ms));
    late.run_until(20'300ms);
    late.core.on_packet(syn(2), at(20'300ms));
    late.core.on_packet(data(2, token_of(before), 1, 500), at(20'400ms));
    late.core.on_packet(data(2, token_of(before), 101, 600), at(20'450ms));
    late.core.on_packet(data(1, token_of(before), 20'500, 20'500), at(20'500ms));
    const auto effects = late.core.on_upstream(after, at(21s));
    LONGS_EQUAL(1, effects.resets.size());
    LONGS_EQUAL(1, effects.resets.front().reset.flow.caller_port);
}

// Failure: as in the first test, while the store could not be read for longer than a restart takes
// to become known otherwise.
TEST(restarted_upstream, a_flow_that_was_opened_while_the_store_was_away_continues)
{
    for (auto now = 1s; now < 12s; now += 1s)
    {
        late.run_until(now);
        late.core.on_store_failure(at(now));
    }
    late.core.on_packet(syn(1), at(2s));
    late.core.on_packet(data(1, token_of(before), 1, 500), at(2'100ms));
    LONGS_EQUAL(0, late.core.on_upstream(after, at(12s)).resets.size());
    check_action(steering_action::forward, late.core.on_packet(data(1, token_of(before), 101, 600), at(12s)));
}

// Failure: the host that watches the store could not read it for longer than a restart takes to become known otherwise,
// and this host, which had read nothing itself, reset a live flow. The restart was registered some seconds after the
// store had returned.
TEST(restarted_upstream, a_flow_that_was_opened_while_nobody_watched_the_store_continues)
{
    late.run_until(1s);
    late.core.on_packet(syn(1), at(1s));
    late.core.on_packet(data(1, token_of(before), 1, 500), at(1'100ms));
    for (auto now = 2s; now < 12s; now += 1s)
    {
        late.run_until(now);
        late.core.on_store_unwatched(at(now));
    }
    late.run_until(16s);
    LONGS_EQUAL(0, late.core.on_upstream(after, at(16s)).resets.size());
}

// Failure: with the upstream's clock set back, a restart takes effect 2.5 s after it is known, or later while the store
// is unavailable. Flows that were opened on the new incarnation before it was known were reset then.
TEST(restarted_upstream, a_flow_that_was_opened_before_a_restart_with_the_clock_set_back_was_known_continues)
{
    late.run_until(1s);
    late.core.on_packet(syn(1), at(1s));
    late.core.on_packet(data(1, token_of(before), 1, 500), at(1'100ms));
    late.run_until(5s);
    const auto set_back = make_upstream("i-1", 1, 500);
    LONGS_EQUAL(0, late.core.on_upstream(set_back, at(5s)).resets.size());
    LONGS_EQUAL(0, late.run_until(9s).resets.size());
    LONGS_EQUAL(token_of(set_back), late.core.on_packet(data(1, token_of(before), 101, 600), at(9s)).token);
}

// A packet by the earlier token must not reach what took the address over.
TEST(restarted_upstream, a_flow_does_not_continue_on_another_service_or_address)
{
    auto elsewhere = after;
    elsewhere.address = make_upstream("i-2", 2).address;
    early.core.on_upstream(elsewhere, at(1s));
    check_reason(steering_reason::upstream_ended, early.core.on_packet(data(1, token_of(before), 1, 1), at(1s)));
    auto other = after;
    other.service = "other";
    late.core.on_upstream(other, at(1s));
    check_reason(steering_reason::upstream_ended, late.core.on_packet(data(1, token_of(before), 1, 1), at(1s)));
}

TEST(restarted_upstream, a_flow_continues_after_two_restarts_until_the_last_incarnation_ends)
{
    const auto last = make_upstream("i-1", 1, 3000);
    early.core.on_upstream(after, at(1s));
    early.core.on_upstream(last, at(2s));
    LONGS_EQUAL(token_of(last), early.core.on_packet(data(1, token_of(before), 1, 1), at(2s)).token);
    early.core.on_upstream_removed("i-1", {1, 50}, at(3s));
    LONGS_EQUAL(1, early.run_until(9s).resets.size());
    check_reason(steering_reason::upstream_ended, early.core.on_packet(data(2, token_of(before), 1, 1), at(9s)));
}
