#include "queueing_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::steer;
using namespace galenabay::steer::test;

namespace
{

constexpr std::array<std::uint64_t, 4> seeds{5, 10, 11, 12};

queueing_fleet run_fleet(const queueing_fleet::plan& plan)
{
    queueing_fleet fleet{plan};
    fleet.run();
    return fleet;
}

double in_time(const queueing_fleet::counts& of, std::size_t rank)
{
    return of.in_time[rank] / of.requests[rank];
}

queueing_fleet::counts burst_of(const queueing_fleet& fleet)
{
    return fleet.between(queueing_fleet::burst_begin, queueing_fleet::burst_end);
}

double served_share(const queueing_fleet& fleet)
{
    const std::chrono::duration<double> time = queueing_fleet::burst_end - queueing_fleet::burst_begin;
    return burst_of(fleet).served / fleet.capacity() / time.count();
}

/// Requests in time of the heavy caller, relative to the mean of the other less urgent ones.
double heavy_ratio(const queueing_fleet& fleet)
{
    double others = 0;
    for (auto caller = queueing_fleet::urgent_callers + 1; caller < queueing_fleet::callers; ++caller)
    {
        others += fleet.in_time_by_caller[caller];
    }
    const auto count = static_cast<double>(queueing_fleet::callers - queueing_fleet::urgent_callers - 1);
    return fleet.in_time_by_caller[queueing_fleet::urgent_callers] * count / others;
}

/// Plays a burst of twice the room and checks what callers need: the urgent route gets 0.97 of its worth, total worth
/// is not lower than without admission, no more is refused than the flows beyond the room and 5 % of the room, and of
/// the refused flows no more than 5 % while slots are free, which late sums cannot show exactly.
void check_burst(queueing_fleet::plan plan)
{
    constexpr double urgent_worth = 0.97;
    constexpr double tolerance = 0.05;
    for (const std::uint64_t seed : {5U, 10U})
    {
        plan.seed = seed;
        auto without = plan;
        without.has_admission = false;
        const auto before = run_fleet(without);
        const auto fleet = run_fleet(plan);
        const auto begin = queueing_fleet::burst_begin;
        const auto end = plan.loses_upstreams ? begin + 10s : queueing_fleet::burst_end;
        const auto all = fleet.between(begin, end);
        const auto settled = fleet.between(queueing_fleet::settled, end);
        const double room =
            fleet.capacity() * (plan.loses_upstreams ? 0.5 : 1) * std::chrono::duration<double>(end - begin).count();
        UT_PRINT(StringFromFormat("%zu hosts: urgent worth %.3f, settled %.3f; total %.3f of that without; "
                                  "admitted %.3f, served %.3f of the room; refused %.0f, with free slots %.0f, "
                                  "by the sums %.0f",
                                  plan.hosts, all.worth(0), settled.worth(0),
                                  all.total_worth() / before.between(begin, end).total_worth(), all.arrivals / room,
                                  all.served / room, all.refused, fleet.refused_untruly, fleet.refused_with_free_slots)
                     .asCharString());
        CHECK(all.worth(0) >= urgent_worth);
        CHECK(settled.worth(0) >= urgent_worth);
        CHECK(all.total_worth() >= before.between(begin, end).total_worth());
        CHECK(all.arrivals >= (1 - tolerance) * room);
        CHECK(fleet.refused_untruly <= tolerance * all.refused);
        CHECK(fleet.refused_with_free_slots <= tolerance * all.refused);
        DOUBLES_EQUAL(0, fleet.between(0s, begin).refused, 0);
    }
}

} // namespace

TEST_GROUP(admission){};

// Four times the demand of the less urgent route: without admission, upstreams reject urgent flows and
// others alike.
TEST(admission, urgent_flows_are_served_in_full_while_demand_is_four_times_as_high)
{
    for (const std::uint64_t seed : seeds)
    {
        const auto before = run_fleet({.has_admission = false, .seed = seed});
        const auto after = run_fleet({.seed = seed});
        CHECK(in_time(burst_of(before), 0) < 0.75);
        CHECK(in_time(burst_of(after), 0) >= 0.98);
        CHECK(served_share(after) >= 0.9);
        CHECK(burst_of(before).rejected > 0.6 * burst_of(before).arrivals);
        CHECK(burst_of(after).rejected < 0.2 * burst_of(after).arrivals);
        const auto settled = after.between(queueing_fleet::settled, queueing_fleet::burst_end);
        CHECK(settled.rejected < 0.15 * settled.arrivals);
    }
}

TEST(admission, nothing_is_refused_before_the_burst_and_from_a_second_after_it)
{
    for (const std::uint64_t seed : seeds)
    {
        const auto fleet = run_fleet({.seed = seed});
        DOUBLES_EQUAL(0, fleet.between(std::chrono::seconds{0}, queueing_fleet::burst_begin).refused, 0);
        const auto opened = queueing_fleet::burst_end + std::chrono::milliseconds{1'000};
        const auto after = fleet.between(opened, queueing_fleet::end);
        CHECK(after.refused <= 0.01 * after.requests[1]);
        CHECK(in_time(after, 1) > 0.97);
    }
}

// Demand that the upstreams can take must not be refused: 0.89 of the capacity here. At 0.95, chance
// lets the demand exceed the capacity for moments, and then refusals must not cost an answer.
TEST(admission, nothing_is_refused_while_there_is_room)
{
    for (const auto seed : seeds)
    {
        const auto fleet = run_fleet({.burst = 1.8, .seed = seed});
        DOUBLES_EQUAL(0, fleet.between(std::chrono::seconds{0}, queueing_fleet::end).refused, 0);
        const auto nearly_full = run_fleet({.burst = 2, .seed = seed});
        CHECK(in_time(burst_of(nearly_full), 1) > 0.99);
    }
}

TEST(admission, a_heavy_caller_does_not_crowd_out_the_others)
{
    const auto before = run_fleet({.has_admission = false, .has_heavy_caller = true});
    const auto after = run_fleet({.has_heavy_caller = true});
    CHECK(heavy_ratio(before) > 8);
    CHECK(heavy_ratio(after) < 3);
    CHECK(in_time(burst_of(after), 0) >= 0.98);
    CHECK(served_share(after) >= 0.9);
}

TEST(admission, data_centres_and_callers_are_refused_alike)
{
    const auto fleet = run_fleet({});
    const double east = fleet.refused_by_centre[0] / fleet.offered_by_centre[0];
    const double west = fleet.refused_by_centre[1] / fleet.offered_by_centre[1];
    DOUBLES_EQUAL(east, west, 0.03);
    // A caller makes some 20 tries a second, so that 60 are three seconds.
    CHECK(fleet.longest_refusals > 0 && fleet.longest_refusals < 60);
    for (auto caller = queueing_fleet::urgent_callers; caller < queueing_fleet::callers; ++caller)
    {
        // About 35 in the mean.
        CHECK(fleet.in_time_by_caller[caller] >= 15);
    }
}

// Hosts that decide by the same late sums must not all open and close at the same time.
TEST(admission, load_does_not_oscillate_with_sums_a_second_late)
{
    const auto fleet = run_fleet({.sum_delay = 1s});
    double least = 2;
    for (auto begin = queueing_fleet::settled + 2s; begin < queueing_fleet::burst_end; begin += 500ms)
    {
        least = std::min(least, fleet.between(begin, begin + 500ms).served / fleet.capacity() / 0.5);
    }
    CHECK(least > 0.7);
    CHECK(in_time(burst_of(fleet), 0) >= 0.98);
    CHECK(served_share(fleet) >= 0.85);
}

// Without sums a host cannot tell a shortage from its own load: upstreams then reject.
TEST(admission, nothing_is_refused_without_sums)
{
    const auto fleet = run_fleet({.loses_sums = true});
    const auto lost_at = queueing_fleet::burst_begin + 3s;
    CHECK(fleet.between(queueing_fleet::settled, lost_at).refused > 0);
    DOUBLES_EQUAL(0, fleet.between(lost_at + 200ms, queueing_fleet::end).refused, 0);
}

// Demand of twice the room in fleets in which hosts decide and select upstreams by late loads. Before, the urgent
// route got 0.92 to 0.98 of its worth, upstreams rejected a third of what was admitted although they had free
// slots, and total worth fell below that without admission when demand moved.
TEST(admission, urgent_flows_come_first_with_late_loads_and_what_upstreams_take_is_admitted)
{
    constexpr std::array<double, 2> demand{0.4, 0.4};
    check_burst({.has_late_loads = true, .demand = demand});
    check_burst({.has_late_loads = true, .demand = demand, .upstreams = 4, .hosts = 36});
    check_burst({.sum_delay = 1s, .has_late_loads = true, .demand = demand, .upstreams = 10, .hosts = 150});
    check_burst({.has_late_loads = true, .demand = demand, .moves_demand = true, .hosts = 100});
    check_burst({.has_late_loads = true, .demand = demand, .loses_host = true, .hosts = 60});
}

// Hosts with two flows a second have too little evidence of their own, and the first second of a burst passes before
// the sums show it.
TEST(admission, urgent_flows_come_first_with_few_flows_on_each_host)
{
    check_burst({.has_late_loads = true, .demand = {0.4, 0.4}, .upstreams = 4, .hosts = 400});
}

// Hosts learn of lost upstreams by flows that they do not answer, urgent ones included.
TEST(admission, urgent_flows_come_first_while_half_of_the_upstreams_are_gone)
{
    check_burst({.has_late_loads = true, .demand = {0.3, 0.5}, .burst = 1, .loses_upstreams = true, .hosts = 100});
}

// Below the room nothing may be refused, also by hosts that know each other's loads late. Before, up to 2,743
// flows were refused at 0.9 of the capacity, because upstreams that all hosts selected rejected a fifth.
TEST(admission, nothing_is_refused_below_the_room_with_late_loads)
{
    double arrivals = 0;
    double rejected = 0;
    for (const auto seed : seeds)
    {
        const auto fleet =
            run_fleet({.has_late_loads = true, .demand = {0.4, 0.5}, .burst = 1, .hosts = 100, .seed = seed});
        const auto all = fleet.between(0s, queueing_fleet::end);
        DOUBLES_EQUAL(0, all.refused, 0);
        CHECK(in_time(all, 0) > 0.99 && in_time(all, 1) > 0.99);
        arrivals += all.arrivals;
        rejected += all.rejected;
    }
    // 0.08 when hosts always select the upstream that was less loaded a second ago.
    UT_PRINT(StringFromFormat("rejected %.4f", rejected / arrivals).asCharString());
    CHECK(rejected < 0.06 * arrivals);
}

// Rejections are counted by another part; until then only the open requests show a shortage.
TEST(admission, urgent_flows_come_first_when_rejections_are_not_counted)
{
    const auto before = run_fleet({.has_admission = false});
    const auto after = run_fleet({.counts_rejections = false});
    CHECK(in_time(burst_of(after), 0) > in_time(burst_of(before), 0) + 0.1);
}

// Failure: refused callers try again, so that more was offered than the estimate although there was no demand for it,
// and the estimate followed what was served downwards. In a trial with 32 upstreams, 69 of 100 requests were refused 12
// s after a burst.
TEST(admission, an_estimate_does_not_hold_a_shortage_up_by_its_own_refusals)
{
    capacity_estimate estimate;
    CHECK(estimate.update(
        {.offered = 9'000, .admitted = 9'000, .rejected = 5'000, .occupancy = 8, .occupancy_limit = 3, .hosts = 70},
        at(0s)));
    const auto begun_with = estimate.flows_per_second().value();
    // Hosts with few flows admit less than the estimate. One request for each slot is the round trip of callers.
    for (auto now = 4s; now < 20s; now += 1s)
    {
        estimate.update(
            {.offered = 9'000, .admitted = 1'500, .rejected = 0, .occupancy = 1.6, .occupancy_limit = 3, .hosts = 70},
            at(now));
        CHECK(estimate.flows_per_second().value() >= begun_with);
    }
    // Queues are short.
    estimate.update({.offered = 9'000, .admitted = 1'500, .occupancy = 1.4, .occupancy_limit = 3, .hosts = 70},
                    at(20s));
    CHECK(estimate.update({.offered = 9'000, .admitted = 1'500, .occupancy = 1.4, .occupancy_limit = 3, .hosts = 70},
                          at(21s)));
    CHECK_FALSE(estimate.flows_per_second().has_value());
}

// A host with few flows a second sees a burst only by some rejections; a share derived from so few would refuse the
// flows that admission is to protect.
TEST(admission, own_rejections_refuse_less_urgent_flows_only)
{
    service_admission state{2};
    state.update({}, 0s, {.slots = 2, .open_requests = 0}, 1, 400ms, at(0s));
    for (std::uint32_t caller = 0; caller < 6; ++caller)
    {
        CHECK(state.admit(0, caller, 0.9, 0, at(100ms)));
        state.count_forwarded(at(100ms));
    }
    state.count_rejected(6, at(150ms));
    for (std::uint32_t caller = 0; caller < 20; ++caller)
    {
        CHECK(state.admit(0, caller, 0.9, 0, at(200ms)));
        CHECK_FALSE(state.admit(1, caller, 0.9, 0, at(200ms)));
    }
    LONGS_EQUAL(20, state.take_refused_with_free_slots());
}

// A caller that is refused by its turn must come first within a bounded time, whatever the share.
TEST(admission, a_turn_comes_within_three_slots_divided_by_the_share)
{
    for (const double share : {0.9, 0.5, 0.3, 0.1, 0.02})
    {
        for (std::uint32_t caller = 0; caller < 50; ++caller)
        {
            std::size_t refused = 0;
            for (int slot = 0; slot < 2'000; ++slot)
            {
                refused = caller_turn(caller, 1h + slot * turn_time) < share ? 0 : refused + 1;
                CHECK(static_cast<double>(refused) <= 3 / share);
            }
        }
    }
}

// A copy of a SYN may belong to a flow that another host has forwarded: a reset would be untrue.
TEST(admission, only_the_first_copy_of_a_syn_is_refused)
{
    steerer host{{}, 7};
    auto routes = make_configuration(1);
    routes.routes.front().answer_target = 400ms;
    host.on_configuration(routes);
    auto upstream = make_upstream("a", 1);
    upstream.slots = 1;
    host.on_upstream_list({upstream}, {}, at(0s));
    host.on_tick(at(0s));
    std::uint16_t port = 0;
    bool is_refusing = false;
    const auto open_some = [&](base::duration when)
    {
        for (int i = 0; i < 20; ++i)
        {
            const auto decision = host.on_packet(syn(++port), at(when));
            is_refusing = decision.reason == steering_reason::no_room;
            is_refusing ? void() : void(host.on_packet(data(port, decision.token, 1, 0), at(when)));
        }
    };
    auto when = 0ms;
    for (; when < 3s && !is_refusing; when += 100ms)
    {
        host.on_tick(at(when));
        open_some(when);
        const auto own = host.report_demands(at(when));
        host.on_demands(fleet_demand{.local = {.services = own, .age = 0s}, .remote = {}, .hosts = 1}, at(when));
    }
    CHECK(host.admissions().of(0).is_short());
    std::size_t refused = 0;
    for (std::uint32_t caller = 0; caller < 100; ++caller)
    {
        auto first = syn(++port);
        first.flow.caller_address += caller;
        const auto decision = host.on_packet(first, at(when));
        refused += decision.reason == steering_reason::no_room ? 1 : 0;
        first.acknowledged = 1;
        CHECK(host.on_packet(first, at(when)).action == steering_action::forward);
    }
    CHECK(refused > 0);
    check_reason(steering_reason::token, host.on_packet(data(1, token_of(upstream), 101, 0), at(when)));
}

TEST(admission, is_off_unless_routes_state_urgencies_or_an_answer_target)
{
    auto routes = make_configuration(1);
    LONGS_EQUAL(0, admitted_services(routes).size());
    routes.routes.push_back(routes.routes.front());
    routes.routes.back().port += 1;
    routes.routes.back().urgency = 7;
    const auto services = admitted_services(routes);
    LONGS_EQUAL(1, services.size());
    LONGS_EQUAL(0, class_of(services, "feed", 0).rank);
    LONGS_EQUAL(1, class_of(services, "feed", 7).rank);
    CHECK(class_of(services, "other", 0).service == admission_class::no_service);
}
