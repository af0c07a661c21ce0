#include "steer_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace galenabay;
using namespace galenabay::steer;
using namespace galenabay::steer::test;

TEST_GROUP(failure_detection){};

TEST(failure_detection, avoids_a_silent_upstream_and_resets_its_waiting_flows_when_a_connection_fails)
{
    const auto silent = make_upstream("i-1", 1);
    const auto good = make_upstream("i-2", 2);
    test_host host{{silent, good}};
    host.core.on_packet(data(1, token_of(silent), 1, 5), at(0ms));
    host.core.on_packet(data(2, token_of(good), 1, 5), at(0ms));
    host.run_until(200ms);
    check_action(steering_action::forward, host.core.on_packet(data(1, token_of(silent), 1, 5), at(200ms)));
    host.core.on_packet(data(2, token_of(good), 101, 400), at(300ms));
    host.run_until(600ms);
    check_action(steering_action::forward, host.core.on_packet(data(1, token_of(silent), 1, 5), at(600ms)));
    for (std::uint16_t port = 10; port < 30; ++port)
    {
        LONGS_EQUAL(2, host.core.on_packet(syn(port), at(700ms)).upstream_number);
    }
    std::uint32_t answered = 500;
    for (auto now = 800ms; now < 3'000ms; now += 100ms)
    {
        LONGS_EQUAL(0, host.run_until(now).resets.size());
        host.core.on_packet(data(2, token_of(good), answered, answered), at(now));
        answered += 10;
    }
    check_action(steering_action::forward, host.core.on_packet(data(1, token_of(silent), 1, 5), at(3'000ms)));
    const auto effects = host.core.on_probe(token_of(silent), probe_result::refused, at(3'001ms));
    LONGS_EQUAL(1, effects.resets.size());
    CHECK(effects.resets.front().reset.flow == make_flow(1));
    STRCMP_EQUAL(name_of(steering_reason::upstream_silent), name_of(effects.resets.front().reason));
}

// Pattern: an upstream fails some requests and answers others. A host that has not found the
// other hosts yet must not end its live flows (edge_soak seeds 2007 and 2014).
TEST(failure_detection, a_host_alone_does_not_reset_flows_of_an_upstream_that_fails_some_requests)
{
    const auto grey = make_upstream("i-1", 1);
    const auto good = make_upstream("i-2", 2);
    test_host host{{grey, good}};
    host.core.on_packet(data(1, token_of(grey), 1, 5), at(0ms));
    host.core.on_packet(data(2, token_of(good), 1, 5), at(0ms));
    for (const auto now : {200ms, 600ms, 1'400ms})
    {
        host.run_until(now);
        host.core.on_packet(data(2, token_of(good), 101, 400 + static_cast<std::uint32_t>(now.count())), at(now));
        check_action(steering_action::forward, host.core.on_packet(data(1, token_of(grey), 1, 5), at(now)));
    }
}

TEST(failure_detection, a_retransmission_to_an_upstream_that_answers_other_flows_resets_nothing)
{
    const auto lossy = make_upstream("i-1", 1);
    test_host host{{lossy, make_upstream("i-2", 2)}};
    std::uint32_t answered = 5;
    for (auto now = 0ms; now <= 1400ms; now += 100ms)
    {
        host.run_until(now);
        host.core.on_packet(data(2, token_of(lossy), 1 + answered, answered), at(now));
        answered += 10;
        if (now == 0ms || now == 200ms || now == 600ms || now == 1400ms)
        {
            check_action(steering_action::forward, host.core.on_packet(data(1, token_of(lossy), 1, 5), at(now)));
        }
    }
}

TEST(failure_detection, a_host_that_reaches_no_upstream_resets_nothing)
{
    const auto first = make_upstream("i-1", 1);
    const auto second = make_upstream("i-2", 2);
    test_host host{{first, second}};
    for (const auto now : {0ms, 200ms, 600ms, 1400ms})
    {
        host.run_until(now);
        check_action(steering_action::forward, host.core.on_packet(data(1, token_of(first), 1, 5), at(now)));
        check_action(steering_action::forward, host.core.on_packet(data(2, token_of(second), 1, 5), at(now)));
    }
}

// A suspended machine's steady clock stands still, so that no gap between ticks shows it.
TEST(failure_detection, packets_queued_while_the_machine_was_suspended_are_no_evidence_of_silence)
{
    const auto upstream = make_upstream("i-1", 1);
    test_host host{{upstream, make_upstream("i-2", 2)}};
    host.core.on_packet(data(1, token_of(upstream), 1, 5), at(0ms));
    host.run_until(600ms);
    host.core.on_pause(at(600ms));
    for (int retransmission = 0; retransmission < 3; ++retransmission)
    {
        host.core.on_packet(data(1, token_of(upstream), 1, 5), at(600ms));
    }
    CHECK_FALSE(host.core.is_silent(*host.core.registry().find(token_of(upstream)), at(600ms)));
}

TEST(failure_detection, packets_queued_during_a_pause_are_no_evidence_of_silence)
{
    const auto upstream = make_upstream("i-1", 1);
    const auto other = make_upstream("i-2", 2);
    test_host host{{upstream, other}};
    host.core.on_packet(data(1, token_of(upstream), 1, 5), at(0ms));
    host.core.on_tick(at(3s));
    host.core.on_packet(data(2, token_of(other), 1, 9), at(3s));
    for (int retransmission = 0; retransmission < 3; ++retransmission)
    {
        check_action(steering_action::forward, host.core.on_packet(data(1, token_of(upstream), 1, 5), at(3s)));
    }
}

TEST(failure_detection, with_other_hosts_a_silent_upstreams_flow_is_reset_only_when_one_of_them_confirms_it)
{
    const auto silent = make_upstream("i-1", 1);
    const auto good = make_upstream("i-2", 2);
    for (const std::size_t votes : {0U, 1U})
    {
        test_host host{{silent, good}};
        host.core.set_peer_count(8);
        host.core.on_packet(data(1, token_of(silent), 1, 5), at(0ms));
        host.core.on_packet(data(2, token_of(good), 1, 5), at(0ms));
        host.run_until(200ms);
        host.core.on_packet(data(1, token_of(silent), 1, 5), at(200ms));
        host.core.on_packet(data(2, token_of(good), 101, 400), at(300ms));
        host.run_until(600ms);
        host.core.on_packet(data(1, token_of(silent), 1, 5), at(600ms));
        host.run_until(1600ms);
        host.core.on_remote_view(
            token_of(silent), {.flows = 3, .open_requests = 1, .silence_votes = votes, .answered_ago = {}}, at(1600ms));
        check_action(steering_action::forward, host.core.on_packet(data(1, token_of(silent), 1, 5), at(1600ms)));
        LONGS_EQUAL(1, host.core.silence_count());
        LONGS_EQUAL(0, host.core.on_probe(token_of(silent), probe_result::unreachable, at(1850ms)).resets.size());
        host.core.on_remote_view(token_of(silent),
                                 {.flows = 3, .silence_votes = votes, .unreachable_votes = votes, .answered_ago = {}},
                                 at(1900ms));
        const auto effects = host.core.on_probe(token_of(silent), probe_result::unreachable, at(2100ms));
        LONGS_EQUAL(votes, effects.resets.size());
    }
}

// Pattern: silence at several hosts is no proof that an upstream failed; with two other hosts
// that could not connect either, one failed connection is.
TEST(failure_detection, resets_all_flows_of_an_upstream_that_several_hosts_cannot_connect_to)
{
    const auto silent = make_upstream("i-1", 1);
    test_host host{{silent, make_upstream("i-2", 2)}};
    host.core.set_peer_count(8);
    host.core.on_packet(data(1, token_of(silent), 1, 5), at(0ms));
    host.core.on_packet(data(2, token_of(silent), 1, 6), at(0ms));
    host.run_until(200ms);
    host.core.on_packet(data(1, token_of(silent), 1, 5), at(200ms));
    host.run_until(600ms);
    host.core.on_packet(data(1, token_of(silent), 1, 5), at(600ms));
    LONGS_EQUAL(0, host.run_until(800ms).resets.size());
    host.core.on_remote_view(token_of(silent), {.flows = 3, .open_requests = 1, .silence_votes = 2, .answered_ago = {}},
                             at(800ms));
    LONGS_EQUAL(0, host.run_until(1700ms).resets.size());
    host.core.on_remote_view(
        token_of(silent),
        {.flows = 3, .open_requests = 1, .silence_votes = 2, .unreachable_votes = 2, .answered_ago = {}}, at(1700ms));
    LONGS_EQUAL(2, host.core.on_probe(token_of(silent), probe_result::unreachable, at(1750ms)).resets.size());
}

TEST(failure_detection, votes_of_others_reset_nothing_on_an_upstream_that_answers_here)
{
    const auto upstream = make_upstream("i-1", 1);
    test_host host{{upstream, make_upstream("i-2", 2)}};
    host.core.set_peer_count(8);
    host.core.on_packet(data(1, token_of(upstream), 1, 5), at(0ms));
    host.core.on_remote_view(token_of(upstream),
                             {.flows = 3, .open_requests = 1, .silence_votes = 5, .answered_ago = {}}, at(100ms));
    LONGS_EQUAL(0, host.run_until(2s).resets.size());
}

TEST(failure_detection, avoids_an_upstream_that_refuses_new_flows)
{
    // A stopped upstream resets new flows, which only the callers see.
    const auto stopped = make_upstream("i-1", 1);
    test_host host{{stopped, make_upstream("i-2", 2), make_upstream("i-3", 3)}};
    std::uint16_t port = 1;
    for (int refused = 0; refused < 2; ++port)
    {
        const auto opened = host.core.on_packet(syn(port), at(0ms));
        if (opened.upstream_number != 1)
        {
            host.core.on_packet(data(port, opened.token, 1, 1), at(10ms));
        }
        refused += opened.upstream_number == 1 ? 1 : 0;
    }
    host.run_until(300ms);
    for (int flow = 0; flow < 30; ++flow, ++port)
    {
        CHECK(host.core.on_packet(syn(port), at(300ms)).upstream_number != 1);
    }
    CHECK(host.core.is_avoided_locally(*host.core.registry().find(token_of(stopped)), at(300ms)));
    LONGS_EQUAL(1, host.core.silence_count());
}

TEST(failure_detection, a_single_unanswered_syn_avoids_nothing)
{
    test_host host{{make_upstream("i-1", 1), make_upstream("i-2", 2)}};
    host.core.on_packet(syn(1), at(0ms));
    host.run_until(300ms);
    LONGS_EQUAL(0, host.core.silence_count());
}

TEST(failure_detection, an_upstream_that_answers_some_requests_at_another_host_keeps_its_flows)
{
    // The upstream drops part of the requests, and three hosts see only dropped ones.
    const auto failing = make_upstream("i-1", 1);
    test_host host{{failing, make_upstream("i-2", 2)}};
    host.core.set_peer_count(8);
    for (const auto now : {0ms, 200ms, 600ms, 1400ms, 3000ms})
    {
        host.run_until(now);
        host.core.on_remote_view(token_of(failing),
                                 {.flows = 9, .open_requests = 4, .silence_votes = 3, .answered_ago = 900ms}, at(now));
        check_action(steering_action::forward, host.core.on_packet(data(1, token_of(failing), 1, 5), at(now)));
    }
    LONGS_EQUAL(0, host.run_until(3500ms).resets.size());
}

// Failure: votes that other hosts' votes led to kept each other alive; after a burst, hosts avoided upstreams with room
// for more than 5 s.
TEST(failure_detection, votes_of_others_lead_to_no_vote_and_end_when_the_upstream_answers_others)
{
    const auto upstream = make_upstream("i-1", 1);
    test_host host{{upstream, make_upstream("i-2", 2)}};
    const auto view = [&](base::duration now, base::duration answered_ago)
    {
        host.run_until(now);
        host.core.on_remote_view(token_of(upstream), {.flows = 9, .silence_votes = 1, .answered_ago = answered_ago},
                                 at(now));
        std::set<std::uint64_t> used;
        for (std::uint16_t flow = 0; flow < 30; ++flow)
        {
            const auto port = static_cast<std::uint16_t>(now / 1ms + flow);
            const auto opened = host.core.on_packet(syn(port), at(now));
            used.insert(opened.upstream_number);
            host.core.on_packet(fin(port, opened.token, 1, 1), at(now));
            host.core.registry().find(token_of(upstream))->last_progress = at(0s);
        }
        return used.size();
    };
    host.core.registry().find(token_of(upstream))->unanswered_syns = 1;
    LONGS_EQUAL(1, view(1s, 1s));
    CHECK_FALSE(host.core.is_avoided_locally(*host.core.registry().find(token_of(upstream)), at(1s)));
    // The link from this host may be cut, until an upstream of the data centre has answered here.
    LONGS_EQUAL(1, view(1'600ms, 100ms));
    LONGS_EQUAL(2, view(1'800ms, 300ms));
    // Nor do votes and one unanswered SYN then lead to avoidance.
    std::uint16_t port = 50'000;
    while (host.core.on_packet(syn(++port), at(1'800ms)).upstream_number != 1)
    {
    }
    host.run_until(2'100ms);
    CHECK(host.core.registry().find(token_of(upstream))->avoid_until < at(2'100ms));
    // The answer is too old to speak against the votes.
    LONGS_EQUAL(1, view(3'200ms, 1'700ms));
}

// Failure: SYNs that an upstream without room had refused counted as its flows for 15 s; with `max-conns` stated, it
// looked full although it had none.
TEST(failure_detection, a_syn_without_an_answer_is_no_load_until_the_answer_comes)
{
    test_host host{{make_upstream("i-1", 1)}};
    const auto token = host.core.on_packet(syn(1), at(0ms)).token;
    const auto& upstream = *host.core.registry().find(token);
    LONGS_EQUAL(1, upstream.flows);
    host.run_until(300ms);
    LONGS_EQUAL(0, upstream.flows);
    host.core.on_packet(data(1, token, 1, 1), at(300ms));
    LONGS_EQUAL(1, upstream.flows);
    host.core.on_packet(fin(1, token, 101, 500), at(320ms));
    LONGS_EQUAL(0, upstream.flows);
    host.core.on_packet(syn(2), at(320ms));
    host.run_until(4s);
    LONGS_EQUAL(0, host.core.flow_count());
}

// Failure: upstreams without room were avoided until few were left, which then had no room either.
TEST(failure_detection, weak_evidence_excludes_none_when_it_would_exclude_most_upstreams_of_a_service)
{
    test_host host{
        {make_upstream("i-1", 1), make_upstream("i-2", 2), make_upstream("i-3", 3), make_upstream("i-4", 4)}};
    const auto upstream = [&](std::uint64_t number) -> auto&
    {
        return *host.core.registry().find(token_of(make_upstream("i-" + std::to_string(number), number)));
    };
    std::uint16_t port = 0;
    const auto count_used = [&](base::duration now)
    {
        host.run_until(now);
        std::set<std::uint64_t> used;
        for (int flow = 0; flow < 50; ++flow)
        {
            used.insert(host.core.on_packet(syn(++port), at(now)).upstream_number);
        }
        // Their SYNs are no evidence.
        host.core.registry().for_each([&](auto& one) { one.last_progress = at(now + 1ms); });
        return used.size();
    };
    upstream(1).avoid_until = at(10s);
    upstream(2).voted_until = at(10s);
    LONGS_EQUAL(2, count_used(200ms));
    upstream(3).avoid_until = at(10s);
    LONGS_EQUAL(4, count_used(400ms));
    LONGS_EQUAL(3, host.core.ignored_doubt_count());
    LONGS_EQUAL(4, host.core.usable_count());
    LONGS_EQUAL(0, host.core.avoided_count());
    // One that refused a connection and one that several hosts cannot connect to leave two.
    upstream(1).probes.failed_at = at(500ms);
    upstream(2).unreachable_votes = 2;
    LONGS_EQUAL(1, count_used(600ms));
    LONGS_EQUAL(1, host.core.usable_count());
    LONGS_EQUAL(3, host.core.avoided_count());
    const auto changes = host.core.take_avoidance_changes();
    LONGS_EQUAL(2, changes.size());
    CHECK(changes.front() == (avoidance_change{.service = "feed", .ignored = true, .counts = {4, 0, 3}}));
    CHECK(changes.back().lasted > 0s && changes.back().counts == (avoidance_counts{4, 2, 1}));
    // An upstream that does not answer callers for `silence_limit` is excluded in any case.
    upstream(1).probes.failed_at = {};
    upstream(2).unreachable_votes = 0;
    upstream(3).silent_until = at(10s);
    LONGS_EQUAL(3, count_used(800ms));
}

// Failure: after a burst, upstreams that ran and had room again were avoided for another 2.5 s.
TEST(failure_detection, an_upstream_that_accepts_a_connection_is_avoided_until_the_next_attempt_only)
{
    test_host host{{make_upstream("i-1", 1)}};
    const auto token = host.core.on_packet(syn(1), at(0ms)).token;
    host.core.on_packet(syn(2), at(0ms));
    host.run_until(300ms);
    const auto& upstream = *host.core.registry().find(token);
    CHECK(host.core.is_avoided_locally(upstream, at(2s)));
    host.core.on_probe(token, probe_result::reachable, at(310ms));
    host.core.on_packet(syn(3), at(400ms));
    host.run_until(700ms);
    CHECK(host.core.is_avoided_locally(upstream, at(1'300ms)));
    CHECK_FALSE(host.core.is_avoided_locally(upstream, at(1'310ms)));
}

// Failure: six of ten upstreams hang, so that they accept attempts to connect and answer no SYN. Unanswered SYNs did
// not exclude them, since they are more than half, and they looked less loaded than the others: 60 of 100 flows a
// second went there for as long as it lasted.
TEST(failure_detection, upstreams_that_hang_are_avoided_even_if_they_are_the_most)
{
    constexpr std::size_t upstream_count = 10;
    constexpr std::size_t hanging_count = 6;
    std::vector<upstream_entry> entries;
    for (std::size_t i = 1; i <= upstream_count; ++i)
    {
        entries.push_back(make_upstream("h-" + std::to_string(i), 100 + i));
    }
    test_host fleet{entries};
    std::multimap<base::duration, packet_header> repeated;
    int late_syns = 0;
    std::uint16_t port = 1;
    const auto open = [&](const packet_header& first, base::duration now)
    {
        const auto decision = fleet.core.on_packet(first, at(now));
        if (decision.upstream_number <= 100 + hanging_count)
        {
            late_syns += now >= 2s ? 1 : 0;
            auto next = first;
            ++next.acknowledged;
            repeated.emplace(now + 200ms * next.acknowledged, next);
            return;
        }
        fleet.core.on_packet(data(first.flow.caller_port, decision.token, 1, 500), at(now));
        fleet.core.on_packet(fin(first.flow.caller_port, decision.token, 101, 2'500), at(now));
    };
    for (auto now = 0ms; now < 6s; now += 10ms)
    {
        fleet.run_until(now);
        for (const auto& request : fleet.core.take_probe_requests())
        {
            fleet.core.on_probe(request.token, probe_result::reachable, at(now));
        }
        for (; !repeated.empty() && repeated.begin()->first <= now; repeated.erase(repeated.begin()))
        {
            if (repeated.begin()->second.acknowledged <= last_retransmission)
            {
                open(repeated.begin()->second, now);
            }
        }
        open(syn(port++), now);
    }
    // Each is tried again every `avoid_time`, by the flows of half a second.
    CHECK(late_syns < 100);
}
