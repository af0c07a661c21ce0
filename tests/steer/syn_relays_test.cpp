#include "starting_fleet.hpp"
#include "steer_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace galenabay;
using namespace galenabay::steer;
using namespace galenabay::steer::test;

namespace
{

constexpr double rate = 4;

std::optional<std::size_t> first_rank(const upstream_entry&)
{
    return 0;
}

configuration stated_rate(double stated)
{
    auto made = make_configuration(1);
    made.limits = {{.service = "feed", .max_flows = 0, .warm_up_time = 20s, .warm_up_rate = stated}};
    return made;
}

struct fault_totals
{
    std::size_t admitted = 0;
    int opened_twice = 0;
};

/// Sums over fleets of nine hosts with faults and two new flows a second on each.
fault_totals run_with_faults(bool relays)
{
    fault_totals totals;
    for (std::uint64_t seed = 1; seed <= 24; ++seed)
    {
        starting_fleet fleet{{.configuration = stated_rate(rate),
                              .faults = true,
                              .hosts = 9,
                              .flows_per_second = 2,
                              .overshoot = 1.5,
                              .slack = 5,
                              .link_delay = 40ms,
                              .relays = relays},
                             seed};
        fleet.run(100s);
        LONGS_EQUAL(0, fleet.violations(rate * 1.5 + 5));
        totals.admitted += fleet.admitted();
        totals.opened_twice += fleet.syns().opened_twice();
    }
    return totals;
}

} // namespace

TEST_GROUP(syn_relays)
{
    steering_options options{
        .data_centre = "east",
        .warm_ups = {.self = {.host = "edge-1", .process_started_us = 1}, .overshoot = 1.5, .slack = 5}};
    steerer core{options, 7};
    upstream_entry entry = make_upstream("i-1", 1);

    void list(double stated = rate)
    {
        core.on_configuration(stated_rate(stated));
        entry.warm_up_left = 20s;
        core.on_upstream_list({entry}, {.epoch = 1, .number = 1}, at(0s));
        core.set_peer_count(1);
        core.on_tick(at(0s));
        core.take_warm_up_requests(first_rank, at(0s));
    }
    void own()
    {
        for (const auto& request : core.take_warm_up_requests(first_rank, at(1s)))
        {
            core.on_claim({.token = request.token, .result = claim_result::created, .epoch = 1}, at(1s));
        }
    }
    steering_decision open(std::uint16_t port, base::duration now, std::uint32_t copy = 0)
    {
        return core.on_packet(syn(port, copy), at(now));
    }
    steering_decision relayed(std::uint16_t port, std::uint8_t passes_left, base::duration now,
                              const char* receiver = "edge-1")
    {
        return core.on_relayed({.header = syn(port),
                                .receiver = host_key(receiver),
                                .service = service_key("feed"),
                                .passes_left = passes_left},
                               at(now));
    }
};

TEST(syn_relays, a_host_without_a_token_passes_a_syn_on_to_the_holders)
{
    list();
    const auto decision = open(1, 10ms);
    check_action(steering_action::relay, decision);
    check_reason(steering_reason::relayed, decision);
    LONGS_EQUAL(token_of(entry), decision.relay.token);
    LONGS_EQUAL(6, decision.relay.holders);
    LONGS_EQUAL(2, decision.relay.passes_left);
    CHECK(decision.relay.service == service_key("feed"));
    // What a host that knows no holder sends instead.
    CHECK(decision.reset.flow == syn(1).flow);
}

TEST(syn_relays, nothing_is_passed_on_where_no_service_states_a_rate)
{
    list(0);
    check_action(steering_action::forward, open(1, 10ms));
}

TEST(syn_relays, a_host_that_knows_no_other_one_refuses)
{
    list();
    core.set_peer_count(0);
    check_action(steering_action::reset, open(1, 10ms));
}

// Failure: packets of a relayed flow go through another host, so that the holder takes the SYN for unanswered and
// avoids the upstream, or counts the flow as load until its idle timeout.
TEST(syn_relays, a_relayed_flow_is_neither_evidence_nor_load)
{
    list();
    own();
    check_action(steering_action::forward, relayed(1, 0, 1s));
    check_action(steering_action::forward, relayed(2, 0, 1'300ms));
    for (auto now = base::duration{1'400ms}; now < 3s; now += 100ms)
    {
        core.on_tick(at(now));
    }
    LONGS_EQUAL(0, core.silence_count());
    LONGS_EQUAL(0, core.take_probe_requests().size());
    LONGS_EQUAL(0, core.registry().find(token_of(entry))->flows);
}

// Failure: a SYN goes round between hosts for ever, also when a datagram states more passes than there are.
TEST(syn_relays, a_syn_with_no_pass_left_is_refused)
{
    list();
    check_action(steering_action::reset, relayed(1, 0, 10ms));
    const auto decision = relayed(2, 255, 10ms);
    check_action(steering_action::relay, decision);
    LONGS_EQUAL(2, decision.relay.passes_left);
}

// Failure: a datagram that reaches a host that has taken over the address of another one opens a flow that a copy of
// the datagram opens at its receiver.
TEST(syn_relays, a_syn_for_another_host_is_dropped)
{
    list();
    own();
    check_action(steering_action::drop, relayed(1, 2, 1s, "edge-2"));
    check_action(steering_action::forward, relayed(1, 2, 1s));
}

// Failure: a copy of a SYN that was passed on finds a token here, and the flow is open on two upstreams.
TEST(syn_relays, copies_of_a_syn_follow_the_first_one)
{
    list();
    const auto first = open(1, 900ms);
    check_action(steering_action::relay, first);
    own();
    CHECK(open(1, 1s).relay == first.relay);
    CHECK(open(1, 1'100ms, 1).relay == first.relay);
    // The host that it was passed on to may be lost.
    check_action(steering_action::forward, open(1, 1'500ms, 2));
}

// Failure: copies of a relayed SYN load the upstream beyond its rate.
TEST(syn_relays, copies_of_a_relayed_syn_cost_a_token_each)
{
    list();
    own();
    check_action(steering_action::forward, relayed(1, 2, 1s));
    check_action(steering_action::drop, relayed(1, 2, 1s + 10ms));
    check_action(steering_action::forward, relayed(1, 2, 1'300ms));
}

// Failure: a SYN that comes back to a host on its last pass is dropped instead of refused, so that the caller waits.
TEST(syn_relays, a_syn_that_comes_back_is_decided_anew)
{
    list();
    check_action(steering_action::relay, open(1, 10ms));
    check_action(steering_action::reset, relayed(1, 0, 20ms));
}

// Failure: all hosts pass all flows on when demand is far above the rate, so that holders get thousands of datagrams
// and callers wait for what cannot be served.
TEST(syn_relays, most_flows_are_refused_at_once_when_demand_is_far_above_the_rate)
{
    list();
    core.set_peer_count(8);
    int passed_on = 0;
    for (std::uint16_t port = 1; port <= 500; ++port)
    {
        passed_on += open(port, port * 10ms).action == steering_action::relay ? 1 : 0;
    }
    // Twice the rate of the upstream over nine hosts, and one flow at the start.
    CHECK(passed_on >= 4 && passed_on <= 5);
}

// Failure: a thousand hosts send the few holders a flow each in the second in which a service opens.
TEST(syn_relays, hosts_send_few_datagrams)
{
    for (const std::size_t hosts : {9, 70, 1'000})
    {
        starting_fleet fleet{
            {.configuration = stated_rate(rate), .hosts = hosts, .flows_per_second = 2, .overshoot = 1.5, .slack = 5},
            5};
        fleet.run(6s);
        // Of at most 80 bytes each: 2 KB.
        CHECK(fleet.syns().datagrams() > 0 && fleet.syns().most_datagrams() <= 25);
    }
}

// Failure: relayed SYNs that are lost, late, repeated or for another host open flows on two upstreams, or exceed the
// limit.
TEST(syn_relays, no_more_flows_are_open_on_two_upstreams_than_without)
{
    const auto without = run_with_faults(false);
    const auto with = run_with_faults(true);
    const auto part_of = [](const fault_totals& totals)
    { return static_cast<double>(totals.opened_twice) / static_cast<double>(totals.admitted); };
    UT_PRINT(
        StringFromFormat("opened twice: %.4f, without relays %.4f", part_of(with), part_of(without)).asCharString());
    CHECK(without.opened_twice > 100 && part_of(with) <= part_of(without));
}
