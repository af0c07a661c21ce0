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

    /// Opens two flows to the suspect and retransmits the packet of one of them until a
    /// probe is requested; the other upstream answers meanwhile.
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

TEST(upstream_probe, silence_requests_one_probe)
{
    wait_without_answer();
    const auto requests = host.core.take_probe_requests();
    LONGS_EQUAL(1, requests.size());
    LONGS_EQUAL(token_of(suspect), requests.front().token);
    CHECK(requests.front().address == suspect.address);
    host.core.on_packet(data(1, token_of(suspect), 1, 5), at(700ms));
    CHECK(host.core.take_probe_requests().empty());
}

TEST(upstream_probe, an_unanswered_syn_requests_a_probe)
{
    test_host alone{{suspect}};
    alone.core.on_packet(syn(1), at(0ms));
    alone.run_until(100ms);
    CHECK(alone.core.take_probe_requests().empty());
    alone.run_until(400ms);
    LONGS_EQUAL(1, alone.core.take_probe_requests().size());
}

TEST(upstream_probe, silence_at_other_hosts_requests_no_probe_unless_they_could_not_connect)
{
    host.core.on_packet(data(1, token_of(suspect), 1, 5), at(0ms));
    host.run_until(1s);
    host.core.set_peer_count(8);
    host.core.on_remote_view(token_of(suspect), {.silence_votes = 3, .answered_ago = {}}, at(1s));
    CHECK(host.core.take_probe_requests().empty());
    receive_votes(1, 1s);
    LONGS_EQUAL(1, host.core.take_probe_requests().size());
}

TEST(upstream_probe, a_slow_answer_requests_no_probe)
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

TEST(upstream_probe, a_single_timeout_resets_nothing)
{
    wait_without_answer();
    host.core.take_probe_requests();
    receive_votes(1, 600ms);
    LONGS_EQUAL(0, resets_after(probe_result::unreachable, 850ms));
    LONGS_EQUAL(1, host.core.take_probe_requests().size());
    LONGS_EQUAL(2, resets_after(probe_result::unreachable, 1100ms));
}

TEST(upstream_probe, one_timeout_is_enough_when_several_hosts_report_the_upstream_as_silent)
{
    wait_without_answer();
    receive_votes(2, 600ms);
    LONGS_EQUAL(2, resets_after(probe_result::unreachable, 850ms));
}

TEST(upstream_probe, timeouts_reset_nothing_while_no_other_host_reports_the_upstream_as_silent)
{
    // This host's own link may be congested.
    wait_without_answer();
    receive_votes(0, 600ms);
    LONGS_EQUAL(0, resets_after(probe_result::unreachable, 850ms));
    LONGS_EQUAL(0, resets_after(probe_result::unreachable, 1100ms));
    check_forwarded(1200ms);
}

TEST(upstream_probe, an_accepted_connection_keeps_the_flows_whatever_other_hosts_report)
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

TEST(upstream_probe, a_pause_of_the_process_voids_probe_results)
{
    wait_without_answer();
    receive_votes(3, 600ms);
    host.core.on_tick(at(4s));
    LONGS_EQUAL(0, resets_after(probe_result::unreachable, 4s));
}

TEST(upstream_probe, a_lost_result_does_not_prevent_later_probes)
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
