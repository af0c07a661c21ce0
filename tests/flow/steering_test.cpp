#include <bench/flow_fleet.hpp>
#include <bench/revision_maker.hpp>

#include <CppUTest/TestHarness.h>

#include <map>

using namespace galenabay;
using namespace galenabay::bench;
using namespace galenabay::flow;

namespace
{

constexpr base::duration second{1'000'000};

base::time_point at_ms(std::int64_t milliseconds)
{
    return base::time_point{base::duration{1'000'000'000 + milliseconds * 1000}};
}

base::endpoint caller_of(std::uint32_t number)
{
    return base::endpoint::make_v4(0x0b000000 + number, static_cast<std::uint16_t>(1024 + number % 60000));
}

} // namespace

TEST_GROUP(steering)
{
    revision_maker revisions{{make_service("parts", 5683, 1, 14), make_service("titles", 5684, 101, 4)}};
    base::endpoint parts = make_service("parts", 5683, 1, 14).address;
    base::endpoint titles = make_service("titles", 5684, 101, 4).address;
    steering host{{"host-1", 4096, 1}};

    config::upstream_id id(std::uint32_t number)
    {
        return config::id_of(make_service("parts", 5683, 1, 1), make_upstream(number));
    }

    base::endpoint send(std::uint32_t caller, std::int64_t milliseconds)
    {
        return host.on_packet(caller_of(caller), parts, 0, at_ms(milliseconds)).upstream_endpoint;
    }
};

TEST(steering, drops_without_revision)
{
    const auto outcome = host.on_packet(caller_of(1), parts, 0, at_ms(0));
    CHECK(outcome.action == verdict::drop);
    CHECK(outcome.reason == drop_reason::no_revision);
}

TEST(steering, ignores_an_older_revision)
{
    const auto first = revisions.current();
    revisions.draft()[0].upstreams.resize(1);
    host.on_revision(revisions.accept(), at_ms(0));
    host.on_revision(first, at_ms(0));
    for (std::uint32_t i = 0; i < 100; ++i)
    {
        CHECK(send(i, 4000) == make_upstream(1).endpoint);
    }
}

TEST(steering, spreads_flows_by_weight)
{
    revisions.draft()[0].upstreams.resize(2);
    revisions.draft()[0].upstreams[1].weight = 300;
    host.on_revision(revisions.accept(), at_ms(0));
    int second_upstream = 0;
    for (std::uint32_t i = 0; i < 4000; ++i)
    {
        second_upstream += send(i, 4000) == make_upstream(2).endpoint ? 1 : 0;
    }
    CHECK(second_upstream > 2850 && second_upstream < 3150);
}

TEST(steering, reaches_only_upstreams_of_the_service)
{
    host.on_revision(revisions.current(), at_ms(0));
    CHECK(host.may_reach(parts, make_upstream(1).endpoint));
    CHECK_FALSE(host.may_reach(parts, make_upstream(101).endpoint));
    CHECK(host.may_reach(titles, make_upstream(101).endpoint));
    CHECK_FALSE(host.may_reach(base::endpoint::make_v4(1, 1), make_upstream(101).endpoint));
}

TEST(steering, endpoint_of_another_service_is_never_reached)
{
    host.on_revision(revisions.current(), at_ms(0));
    std::uint32_t caller = 0;
    while (send(caller, 0) != make_upstream(2).endpoint)
    {
        ++caller;
    }
    auto& services = revisions.draft();
    services[1].upstreams.push_back(services[0].upstreams[1]);
    services[0].upstreams.erase(services[0].upstreams.begin() + 1);
    host.on_revision(revisions.accept(), at_ms(1000));
    CHECK_FALSE(host.may_reach(parts, make_upstream(2).endpoint));
    const auto outcome = host.on_packet(caller_of(caller), parts, 0, at_ms(1000));
    CHECK(outcome.reason == drop_reason::upstream_gone);
}

TEST(steering, moved_address_keeps_known_flows_and_refuses_unknown_ones)
{
    host.on_revision(revisions.current(), at_ms(0));
    const auto before = send(1, 0);
    revisions.draft()[0].address = parts.with_port(6000);
    revisions.draft()[1].address = parts;
    host.on_revision(revisions.accept(), at_ms(1000));
    CHECK(send(1, 2000) == before);
    const auto unknown = host.on_packet(caller_of(2), parts, 0, at_ms(2000));
    CHECK(unknown.reason == drop_reason::address_moved);
    const auto later = host.on_packet(caller_of(2), parts, 0, at_ms(302'000));
    CHECK(later.action == verdict::forward);
    CHECK(later.service == base::hash_text("titles"));
}

TEST(steering, flows_are_forwarded_when_all_upstreams_are_reported_unhealthy)
{
    host.on_revision(revisions.current(), at_ms(0));
    for (std::uint32_t number = 1; number <= 14; ++number)
    {
        host.on_health(id(number), false, at_ms(100));
    }
    for (std::uint32_t i = 0; i < 200; ++i)
    {
        const auto outcome = host.on_packet(caller_of(i), parts, 0, at_ms(5000));
        CHECK(outcome.action == verdict::forward);
    }
}

TEST(steering, unhealthy_upstream_loses_only_its_own_flows)
{
    host.on_revision(revisions.current(), at_ms(0));
    std::map<std::uint32_t, base::endpoint> before;
    for (std::uint32_t i = 0; i < 500; ++i)
    {
        before[i] = send(i, 0);
    }
    host.on_health(id(3), false, at_ms(100));
    for (std::uint32_t i = 0; i < 500; ++i)
    {
        const auto after = send(i, 5000);
        CHECK(before[i] == make_upstream(3).endpoint ? after != before[i] : after == before[i]);
        before[i] = after;
    }
    host.on_health(id(3), true, at_ms(6000));
    for (std::uint32_t i = 0; i < 500; ++i)
    {
        CHECK(send(i, 7000) == before[i]);
    }
}

TEST(steering, upstream_that_answers_keeps_its_flows_despite_unhealthy_reports)
{
    host.on_revision(revisions.current(), at_ms(0));
    std::map<std::uint32_t, base::endpoint> before;
    for (std::uint32_t i = 0; i < 500; ++i)
    {
        before[i] = send(i, 0);
    }
    for (int ms = 100; ms <= 60'000; ms += 1000)
    {
        host.on_health(id(3), false, at_ms(ms));
        host.on_alive(id(3), at_ms(ms));
        const auto flow = static_cast<std::uint32_t>(ms / 200);
        CHECK(send(flow, ms + 900) == before[flow]);
    }
    for (std::uint32_t i = 1000; i < 1500; ++i)
    {
        CHECK(send(i, 60'500) != make_upstream(3).endpoint);
    }
}

TEST(steering, flood_of_new_flows_does_not_evict_long_lived_ones)
{
    host.on_revision(revisions.current(), at_ms(0));
    std::map<std::uint32_t, base::endpoint> feeds;
    for (std::uint32_t i = 0; i < 500; ++i)
    {
        send(i, 0);
        feeds[i] = send(i, 6000);
    }
    for (std::uint32_t i = 0; i < 20'000; ++i)
    {
        send(1'000'000 + i, 7000);
    }
    CHECK(host.counters().evicted_full > 15'000);
    revisions.draft()[0].upstreams.push_back(make_upstream(50));
    host.on_revision(revisions.accept(), at_ms(8000));
    for (const auto& [caller, upstream] : feeds)
    {
        CHECK(send(caller, 20'000) == upstream);
    }
}

TEST_GROUP(steering_fleet)
{
    revision_maker revisions{{make_service("parts", 5683, 1, 14)}};
    base::endpoint parts = make_service("parts", 5683, 1, 14).address;
    std::map<std::uint32_t, base::endpoint> flows;

    static fleet_settings make_settings()
    {
        fleet_settings settings;
        settings.hosts = 5;
        settings.table_size = 8192;
        return settings;
    }
    flow_fleet fleet{make_settings()};

    void setup() override
    {
        fleet.publish(revisions.current(), base::duration{0});
        fleet.advance(5 * second);
        for (std::uint32_t i = 0; i < 1000; ++i)
        {
            flows[i] = fleet.send(caller_of(i), parts).upstream;
        }
    }

    /// Sends one packet of each flow and counts the flows that changed upstream.
    int count_moved()
    {
        int moved = 0;
        for (auto& [caller, upstream] : flows)
        {
            const auto result = fleet.send(caller_of(caller), parts);
            moved += result.delivered && result.upstream != upstream ? 1 : 0;
        }
        return moved;
    }
};

TEST(steering_fleet, revision_that_reaches_hosts_seconds_apart_breaks_no_flow)
{
    revisions.draft()[0].upstreams.push_back(make_upstream(50));
    fleet.publish(revisions.accept(), 10 * second);
    for (int i = 0; i < 6; ++i)
    {
        fleet.advance(2 * second);
        LONGS_EQUAL(0, count_moved());
    }
}

TEST(steering_fleet, idle_flows_survive_two_concurrent_changes)
{
    revisions.draft()[0].upstreams.push_back(make_upstream(50));
    fleet.publish(revisions.accept(), 10 * second);
    revisions.draft()[0].upstreams[2].draining = true;
    fleet.publish(revisions.accept(), 10 * second);
    fleet.advance(45 * second);
    LONGS_EQUAL(0, count_moved());
}

TEST(steering_fleet, draining_upstream_gets_no_new_flow_after_three_seconds)
{
    revisions.draft()[0].upstreams[2].draining = true;
    const auto& next = revisions.accept();
    fleet.schedule(0, next, base::duration{0});
    for (std::size_t host = 1; host < fleet.size(); ++host)
    {
        fleet.schedule(host, next, 10 * second);
    }
    fleet.advance(3 * second + base::duration{100'000});
    for (std::uint32_t i = 0; i < 2000; ++i)
    {
        const auto result = fleet.send(caller_of(100'000 + i), parts);
        CHECK(!result.delivered || result.upstream != make_upstream(3).endpoint);
    }
    LONGS_EQUAL(0, count_moved());
}

TEST(steering_fleet, host_that_starts_empty_moves_no_flow)
{
    revisions.draft()[0].upstreams.push_back(make_upstream(50));
    fleet.publish(revisions.accept(), 2 * second);
    fleet.advance(20 * second);
    fleet.leave(1);
    fleet.advance(6 * second);
    fleet.start(1);
    fleet.advance(10 * second);
    LONGS_EQUAL(0, count_moved());
}

TEST(steering_fleet, killed_host_moves_no_flow_whose_packets_other_hosts_have_received)
{
    LONGS_EQUAL(0, count_moved());
    LONGS_EQUAL(0, count_moved());
    fleet.advance(6 * second);
    LONGS_EQUAL(0, count_moved());
    revisions.draft()[0].upstreams[2].draining = true;
    fleet.publish(revisions.accept(), 2 * second);
    fleet.advance(20 * second);
    fleet.kill(3);
    fleet.advance(10 * second);
    LONGS_EQUAL(0, count_moved());
}

// A host to which two versions were announced forgot the later one when the earlier one arrived,
// and its period of grace for the draining upstream began anew.
TEST(steering_fleet, grace_of_a_draining_upstream_does_not_start_anew_with_the_second_of_two_versions)
{
    revisions.draft()[0].upstreams.push_back(make_upstream(50));
    const auto first = revisions.accept();
    revisions.draft()[0].upstreams[2].draining = true;
    const auto next = revisions.accept();
    fleet.schedule(0, next, base::duration{0});
    fleet.schedule(1, first, base::duration{200'000});
    // Notices end 4 s after a change.
    const auto later = 4 * second + base::duration{600'000};
    for (std::size_t host = 1; host < fleet.size(); ++host)
    {
        fleet.schedule(host, first, later);
        fleet.schedule(host, next, later + base::duration{100'000});
    }
    fleet.advance(later + base::duration{200'000});
    for (std::uint32_t i = 0; i < 2000; ++i)
    {
        const auto result = fleet.send(caller_of(100'000 + i), parts);
        CHECK(!result.delivered || result.upstream != make_upstream(3).endpoint);
    }
}

// A host that resumed sent flows back to the failed upstream that they had left
// meanwhile, and handed its old entries to other hosts.
TEST(steering_fleet, host_that_resumes_moves_no_flow_back_to_a_failed_upstream)
{
    fleet.pause(1, 20 * second);
    fleet.report_health(config::id_of(revisions.draft()[0], make_upstream(3)), false, second);
    fleet.advance(6 * second);
    for (auto& [caller, upstream] : flows)
    {
        const auto result = fleet.send(caller_of(caller), parts);
        upstream = result.delivered ? result.upstream : upstream;
    }
    std::erase_if(flows, [](const auto& flow) { return flow.second == make_upstream(3).endpoint; });
    fleet.advance(13 * second + base::duration{900'000});
    for (int i = 0; i < 50; ++i)
    {
        fleet.advance(base::duration{100'000});
        LONGS_EQUAL(0, count_moved());
    }
}

// The records that only one host had were sent by the time of the flows' last packets
// before a change, so a host that was replaced took idle flows with it although their
// packets had been found there by a search.
TEST(steering_fleet, flow_that_was_searched_for_survives_the_loss_of_the_host_that_knew_it)
{
    for (std::uint32_t i = 0; i < 40; ++i)
    {
        flows[2000 + i] = fleet.send_to(1, caller_of(2000 + i), parts).upstream;
    }
    fleet.advance(second);
    for (std::uint32_t i = 0; i < 6000; ++i)
    {
        fleet.send_to(1, caller_of(10'000 + i), parts);
    }
    revisions.draft()[0].upstreams[2].weight = 900;
    fleet.publish(revisions.accept(), base::duration{0});
    fleet.advance(2 * second);
    for (int i = 0; i < 4; ++i)
    {
        LONGS_EQUAL(0, count_moved());
        fleet.advance(base::duration{300'000});
    }
    fleet.advance(2 * second);
    fleet.kill(1);
    fleet.advance(10 * second);
    LONGS_EQUAL(0, count_moved());
}
